GO ?= go
BIN := bin

.PHONY: build test lint fmt-check proto demo faults soak bench slopes

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./standin/cmd/... ./bench/cmd/...

# Packages whose tests run a few dozen processes each and check time limits.
PROCESS_TESTS := ./standin/faults ./standin/soak

# The command that CI runs: format check, linters and tests. It does not need the
# platform's test kit. The process tests run after the others and one after the other:
# beside each other and the compiler they starve for processor time.
test: fmt-check lint
	@failed=0; \
	$(GO) test -timeout 600s $$($(GO) list ./... | grep -vxF "$$($(GO) list $(PROCESS_TESTS))") || failed=1; \
	$(GO) test -timeout 600s -p 1 $(PROCESS_TESTS) || failed=1; \
	exit $$failed

fmt-check:
	@out=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); if [ -n "$$out" ]; then echo "gofmt differs:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) vet -tags faultinjection ./...
	$(GO) tool staticcheck ./...

# Regenerates the committed protobuf code. Needs protoc (Debian package
# protobuf-compiler).
proto:
	mkdir -p $(BIN)
	GOBIN=$(CURDIR)/$(BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative api/*.proto
	gofmt -w api/*.go

demo: build
	scripts/demo.sh

SEED ?= 1
MINUTES ?= 2

faults: build
	scripts/faults.sh $(SEED) $(MINUTES)

# Runs seeds one after the other for MINUTES, starting with SEED.
soak: build
	$(BIN)/standin-soak -seed $(SEED) -minutes $(MINUTES)

bench: build
	scripts/bench.sh $(SEED)

slopes: build
	scripts/slopes.sh
