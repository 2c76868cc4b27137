#!/bin/sh
# Builds the stand-ins of the scripted cases 11 to 15. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
