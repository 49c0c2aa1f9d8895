.PHONY: build dev test race lint fmt generate bench soak

build: ## Build the one binary into bin/.
	CGO_ENABLED=1 go build -o bin/primrosewell ./cmd/primrosewell

dev: build ## Run a daemon with stand-ins on loopback and print a curl line.
	./bin/primrosewell dev

test: ## Run every test that CI runs.
	CGO_ENABLED=1 go test ./...

lint: ## Formatter and linter; both must be clean.
	go tool gofumpt -l $$(git ls-files '*.go' | grep -v -E '\.(pb|connect)\.go$$') | (! grep .)
	golangci-lint run ./...

fmt: ## Format the source.
	go tool gofumpt -w $$(git ls-files '*.go' | grep -v -E '\.(pb|connect)\.go$$')

generate: ## Regenerate the inner protocol; needs protoc. The output is committed.
	./internal/peer/generate.sh
