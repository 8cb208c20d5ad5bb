# The habits of this repository. `make demo` runs it, `make test` tests it.
GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINT := $(TOOLS)/golangci-lint
export GOFLAGS := -buildvcs=false

# Bounds the tests of one package, far above what they take beside other work on a machine.
TEST_TIMEOUT := 60m

# Tests that fail for a known fault: the first field of each line of KNOWN-RED.txt.
KNOWN_RED := $(shell cut -d, -f1 KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

SKIP_KNOWN_RED := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# Its tests bound the memory of a process, and run without other load.
ALONE := lemonstream.dev/lemonstream/crowd

.PHONY: all bench build capacity clean demo drift format fuzz lint prove reference test unit

all: build

build:
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh
	./scripts/demo-jobs.sh

test: lint unit drift demo
	@echo "make test: all parts passed"

unit: build
	go vet ./...
	go test -race -count=1 -timeout $(TEST_TIMEOUT) $(SKIP_KNOWN_RED) $$(go list ./... | grep -vx $(ALONE))
	go test -race -count=1 -timeout $(TEST_TIMEOUT) $(SKIP_KNOWN_RED) $(ALONE)
	# With the race detector, its long days in virtual time run on one processor only.
	go test -count=1 -timeout $(TEST_TIMEOUT) $(SKIP_KNOWN_RED) ./feed

lint: $(LINT)
	$(LINT) run ./...
	$(LINT) fmt --diff ./...

format: $(LINT)
	$(LINT) fmt ./...

reference: build
	./bin/lemonstreamd reference > docs/operators/settings.md

drift: build
	./bin/lemonstreamd reference | diff -u docs/operators/settings.md -

capacity: build
	./scripts/capacity.sh

bench: build
	./bin/lemonmeasure

prove:
	@go test -count=1 -v ./carry ./entry ./intake ./once ./owner ./shard ./witness | grep '^promise=' | sort

fuzz:
	PROVE_CHECKS=2000 go test -count=1 -timeout 60m ./admit ./carry ./once ./place
	go test -run '^$$' -fuzz FuzzParseDaemon -fuzztime 60s ./settings
	go test -run '^$$' -fuzz FuzzEnvelope -fuzztime 60s ./member

clean:
	rm -rf bin

$(LINT):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
