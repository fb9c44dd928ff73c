# chestnutfield: build, test and demo.
GO ?= go
BIN := bin
TOOLS := $(CURDIR)/.tools
GOLANGCI_VERSION := v2.15.0
PACKAGES := ./...

.PHONY: build test lint fmt vet demo bench fuzz tools generate clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test -count=1 $(PACKAGES)

demo: build
	$(BIN)/chestnutlab demo

tools: $(TOOLS)/golangci-lint

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

fmt:
	@out=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$out" || { echo "gofmt needed: $$out"; exit 1; }

vet:
	$(GO) vet $(PACKAGES)

lint: tools
	$(TOOLS)/golangci-lint run $(PACKAGES)

clean:
	rm -rf $(BIN)
