# Two commands do it all on a fresh machine: make demo and make test.
SHELL := /bin/bash
TOOLS := $(CURDIR)/.tools
LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
export PATH := $(TOOLS):$(PATH)
GOFILES := $(shell git ls-files '*.go')

.PHONY: packages build demo demo-faults demo-disks test bench fuzz generate lint format rename-tool spec soak tools slopes plots

build:
	go build -o bin/ ./cmd/...

demo: build
	bash demo/run

# Harder faults, and lost disks, between the same processes.
demo-faults: build
	bash demo/faults

demo-disks: build
	bash demo/disks

test: packages lint
	go vet ./...
	bash .ci/check-promises
	bash .ci/check-platform
	bash .ci/known-red
	bash .ci/go-test
	$(MAKE) --no-print-directory spec

packages:
	bash .ci/install

lint: tools
	@unformatted=$$(gofmt -l $(GOFILES)); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	golangci-lint run ./...
	bash .ci/check-generated

format:
	gofmt -w $(GOFILES)

tools: $(TOOLS)/golangci-lint-$(LINT_VERSION) $(TOOLS)/protoc-gen-go

# The linter is installed as a program of its own, so that its requirements stay out of our modules.
$(TOOLS)/golangci-lint-$(LINT_VERSION):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	touch $@

$(TOOLS)/protoc-gen-go: tools/go.mod tools/go.sum
	cd tools && go build -o $(TOOLS)/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	touch $@

# Renames an identifier in all packages: gopls rename -w FILE:LINE:COLUMN NAME.
rename-tool: $(TOOLS)/gopls-$(GOPLS_VERSION)

$(TOOLS)/gopls-$(GOPLS_VERSION):
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	touch $@

generate: tools
	protoc --go_out=. --go_opt=module=daisyswitch --go-drpc_out=. --go-drpc_opt=module=daisyswitch wire/wire.proto

spec:
	bash spec/run

bench:
	bash .ci/bench

fuzz:
	bash .ci/fuzz

# Random faults against real processes: make soak SEEDS=50 FIRST=1 KEEP=folder
SEEDS ?= 50
FIRST ?= 0
SIDE ?= 4
KEEP ?=
soak:
	go test ./platform/soak -run 'TestSeeds|TestWorkspaces$$' -count=1 -timeout 60m -parallel $(SIDE) -v -soak.seeds $(SEEDS) -soak.first $(FIRST) -soak.keep "$(KEEP)"

slopes:
	go build -o bin/ ./cmd/slopes
	bin/slopes

plots:
	go build -o bin/ ./cmd/plots
	bin/plots
