# Every command a newcomer or CI needs. The linter is pinned here and is built
# from its own module, so it stays out of go.mod.
GO ?= go
LINT_VERSION := v2.15.0
LINT := $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

.PHONY: build test race lint fmt bench demo run fuzz

build:
	$(GO) build -o bin/ ./cmd/...

test: build
	$(GO) test -count=1 ./...

race:
	$(GO) test -count=1 -race ./internal/... ./client/...

lint:
	$(LINT) fmt --diff
	$(LINT) run ./...

fmt:
	$(LINT) fmt

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

demo: build
	./bin/rattantide demo -bin bin

run: build
	./bin/rattantide demo -bin bin -stay
