.PHONY: build test lint fmt demo fuzz soak clean

build:
	go build -o bin/ ./cmd/...

# SKIP leaves out the tests that match a pattern. CI uses it for the tests in KNOWN-RED.txt only.
# The process tests build and run the binaries. The test cache does not detect changes of these, so -count=1 disables it.
# Packages with crowds of clients wait for each other, and the time that they wait counts towards their time limit.
test:
	go test -race -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') ./...

lint:
	test -z "$$(go tool gofumpt -l cmd internal pkg platform test)"
	go vet ./...
	go tool staticcheck ./...

fmt:
	go tool gofumpt -w cmd internal pkg platform test

demo: build
	bin/chestnutmux-demo --bin bin

fuzz:
	sh test/fuzz.sh

clean:
	rm -rf bin

# Runs the soak test, which injects faults, with a seed and a length, for example: make soak SEED=7 LENGTH=60s
SEED ?= 1
LENGTH ?= 12s
soak:
	go test -count=1 -v ./test/soak -args -seed $(SEED) -length $(LENGTH)
