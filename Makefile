.PHONY: build test lint fmt demo bench fuzz clean

build:
	go build -o bin/ ./cmd/...

test:
	go test -race ./...

lint:
	test -z "$$(go tool gofumpt -l cmd internal pkg)"
	go vet ./...
	go tool staticcheck ./...

fmt:
	go tool gofumpt -w cmd internal pkg

demo: build
	bin/chestnutmux-demo --bin bin

clean:
	rm -rf bin
