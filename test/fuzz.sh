#!/bin/sh
# Runs each fuzz target for a few seconds; FUZZTIME sets how long.
set -eu
for file in $(grep -rl --include='*_test.go' '^func Fuzz' internal pkg cmd); do
	dir=$(dirname "$file")
	for target in $(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' "$file"); do
		echo "$dir $target"
		go test "./$dir" -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZTIME:-5s}"
	done
done
