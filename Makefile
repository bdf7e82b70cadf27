GO ?= go
LINTER_VERSION = v2.15.0
LINTER = bin/golangci-lint-$(LINTER_VERSION)
BUF_VERSION = v1.75.0
BUF = bin/buf-$(BUF_VERSION)

.PHONY: build test fmt lint bench proto

build:
	$(GO) build -o bin/arbutusstep ./cmd/arbutusstep

# The linter is built from its own pinned module, so that its dependencies never mix with ours.
$(LINTER):
	GOBIN=$(CURDIR)/bin $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)
	mv bin/golangci-lint $(LINTER)

fmt: $(LINTER)
	$(LINTER) fmt ./...

lint: $(LINTER)
	$(LINTER) fmt --diff ./...
	$(LINTER) run ./...

# SKIP names tests to pass over; CI gives those of KNOWN-RED.txt.
test: lint
	$(GO) test -race -count=1 $(if $(SKIP),-skip '$(SKIP)') ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Compiles the messages between nodes without protoc, of which many systems have no version that knows editions.
$(BUF):
	GOBIN=$(CURDIR)/bin $(GO) install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	mv bin/buf $(BUF)

proto: $(BUF)
	$(GO) build -modfile=tools/go.mod -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	$(BUF) generate --path internal/wire --template '{"version":"v2","plugins":[{"local":"bin/protoc-gen-go","out":".","opt":"paths=source_relative"}]}'

# Plays fresh seeds of the soak: real processes with faults from outside.
# SEEDS is how many; KEEP names a folder for the logs of those that fail.
.PHONY: soak
SEEDS ?= 50
soak:
	$(GO) test -count=1 -timeout 4h ./internal/soak -run Soak -seeds $(SEEDS) $(if $(KEEP),-keep $(KEEP))

# Prints the slopes from which docs/CAPACITY.md is worked out; takes about half an hour.
.PHONY: capacity
capacity: build
	$(GO) run ./internal/sizing/cmd -binary bin/arbutusstep
	$(GO) test -run '^$$' -bench Settle -benchmem ./internal/sizing
