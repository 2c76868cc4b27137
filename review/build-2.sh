#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. The programs of the project come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/standin2
