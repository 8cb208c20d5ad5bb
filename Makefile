# The habits of this repository. `make demo` runs it, `make test` tests it.
GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINT := $(TOOLS)/golangci-lint
export GOFLAGS := -buildvcs=false

.PHONY: all build demo test unit lint format bench capacity prove fuzz reference clean

all: build

build:
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test: lint unit drift demo
	@echo "make test: all parts passed"

unit: build
	go vet ./...
	go test -race -count=1 ./...

lint: $(LINT)
	$(LINT) run ./...
	$(LINT) fmt --diff ./...

format: $(LINT)
	$(LINT) fmt ./...

reference: build
	./bin/lemonstreamd reference > docs/operators/settings.md

.PHONY: drift
drift: build
	./bin/lemonstreamd reference | diff -u docs/operators/settings.md -

capacity: build
	./scripts/capacity.sh

bench:
	go test -run '^$$' -bench . -benchtime 1s ./...

clean:
	rm -rf bin

$(LINT):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
