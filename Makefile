# Every command a newcomer or CI needs. The linter is pinned here and is built
# from its own module, so it stays out of go.mod.
GO ?= go
LINT_VERSION := v2.15.0
LINT := $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

.PHONY: build test race lint fmt bench bench-day demo run fuzz soak

build:
	$(GO) build -o bin/ ./cmd/...

# Tests and subtests that KNOWN-RED.txt lists are skipped; scenarios and
# combinations also read the file themselves.
RUN_KNOWN_RED ?=
KNOWN_RED = $(if $(RUN_KNOWN_RED),,$(shell grep -oE "^Test[A-Za-z0-9_]+(/[A-Za-z0-9_]+)?$$" KNOWN-RED.txt | sed -E "s/[^/]+/^&\$$/g" | paste -sd "|"))

test: build
	$(GO) test -count=1 -skip "$(KNOWN_RED)" ./...

race:
	$(GO) test -count=1 -race ./internal/... ./client/...

lint:
	$(LINT) fmt --diff
	$(LINT) run ./...

fmt:
	$(LINT) fmt

# Each parser of outside input is searched for a short time; a failure leaves
# its input in testdata/fuzz of the package, from where "make test" repeats it.
# A target is PACKAGE:NAME:EXECUTIONS. The search is limited by executions,
# because the fuzz engine sometimes reports the end of a time limit as a failure
# ("context deadline exceeded", no input).
FUZZ := internal/api:FuzzDecodeObject:130000 internal/api:FuzzDecodeStored:100000 \
	internal/relay:FuzzReader:40000 internal/settings:FuzzParse:50000 \
	internal/intent:FuzzDecodeHead:12000 internal/intent:FuzzDecodeSegment:9000 \
	internal/burn:FuzzMerge:16000 internal/burn:FuzzMergeHistogram:12000 \
	internal/server:FuzzChatRequest:30000 internal/server:FuzzRequestID:36000 \
	internal/server:FuzzLastEventID:16000 internal/server:FuzzContinuation:8000 \
	internal/peer:FuzzHandle:20000 internal/peer:FuzzRecord:20000 internal/peer:FuzzFeed:30000 \
	internal/quarantine:FuzzMerge:12000 internal/gateway:FuzzEventSplitter:12000 internal/peering:FuzzMessage:8000 \
	internal/upstreamstate:FuzzMerge:60000 internal/callerbody:FuzzRequestFraming:20000 internal/responsehead:FuzzHead:40000 internal/fleetload:FuzzReceive:30000 \
	platform:FuzzParseSettings:16000 platform:FuzzDecodeConfig:20000 \
	platform:FuzzDecodeUpstream:40000 platform:FuzzDecodeCall:6000

fuzz:
	set -e; for target in $(FUZZ); do \
		package=$${target%%:*}; limit=$${target##*:}; name=$${target#*:}; name=$${name%:*}; \
		$(GO) test -tags fuzz ./$$package -run '^$$' -fuzz "^$$name$$" -fuzztime $${limit}x; \
	done

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

demo: build
	./bin/rattantide demo -bin bin

run: build
	./bin/rattantide demo -bin bin -stay

# The users' kit is not part of the repository; KIT and SITE name where it lies.
KIT ?= ../given/kit/more/system
SITE ?= $(KIT)/sites/khacdau-hoian.toml
DAY ?= quiet-1

bench-day:
	@if [ ! -x $(KIT)/bin/fleetbench ]; then echo "bench-day: no kit in $(KIT); set KIT"; exit 0; fi; \
	$(KIT)/bin/fleetbench run $(SITE) $(DAY) --why "make bench-day"

# Other seeds and more daemons than in the tests: make soak SEEDS=100-120 NODES=40
SEEDS ?= 1-10
NODES ?= 3

soak:
	SOAK_SEEDS=$(SEEDS) SOAK_NODES=$(NODES) $(GO) test -v -count=1 -timeout 60m ./test/soak
