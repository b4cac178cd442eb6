.PHONY: check test build generate demo

check:
	.ci/run

test:
	go test ./...

build:
	go build -o bin/ ./cmd/...

generate:
	.ci/generate

demo:
	go run ./cmd/relaydev demo
