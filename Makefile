.PHONY: build dev gateway test hardload review lint fmt generate bench bench-decisions soak limits recover order repeat brittle

build: ## Build the one binary into bin/.
	CGO_ENABLED=1 go build -o bin/primrosewell ./cmd/primrosewell

dev: build ## Run a daemon with stand-ins on loopback and print a curl line.
	./bin/primrosewell dev

gateway: build ## Run a gateway with stand-ins on loopback and print curl lines.
	./bin/primrosewell gateway-dev

test: ## Run every test that CI runs.
	status=0; CGO_ENABLED=1 go test -count=1 ./... || status=1; \
	CGO_ENABLED=1 go test -tags hardload -count=1 -timeout 20m ./test/hardload || status=1; \
	CGO_ENABLED=1 go test -tags review -count=1 -timeout 30m ./review || status=1; exit $$status # One after the other, apart from other load.

hardload: ## The tests of memory and descriptors under hard load, one at a time.
	CGO_ENABLED=1 go test -tags hardload -count=1 -timeout 20m ./test/hardload

review: ## The cases of the review, one at a time; one that can't run fails.
	CGO_ENABLED=1 go test -tags review -count=1 -timeout 30m ./review

lint: ## Formatter and linter; both must be clean.
	go tool gofumpt -l $$(git ls-files '*.go' | grep -v -E '\.(pb|connect)\.go$$') | (! grep .)
	golangci-lint run --build-tags bench,hardload,review ./...

fmt: ## Format the source.
	go tool gofumpt -w $$(git ls-files '*.go' | grep -v -E '\.(pb|connect)\.go$$')

bench: build ## Measure speed beside direct calls; prints figures, asserts none.
	CGO_ENABLED=1 go test -tags bench -count=1 -timeout 60m ./test/e2e -ginkgo.label-filter bench -ginkgo.fail-on-empty -v | grep -vE "^(=== |--- )"

bench-decisions: build ## The decision bench: tables, and a plot in bench-out/.
	mkdir -p bench-out
	./bin/primrosewell bench decisions -plot bench-out/decisions.png

SEEDS ?= 1-50
LENGTH ?= 12s
FLEET ?= 6x6

soak: ## Random faults against gateways as processes: make soak SEEDS=1-50 LENGTH=12s FLEET=6x6.
	mkdir -p bench-out
	SOAK_SEEDS=$(SEEDS) SOAK_LENGTH=$(LENGTH) SOAK_FLEET=$(FLEET) CGO_ENABLED=1 go test -count=1 -timeout 120m ./test/e2e -ginkgo.label-filter soak -ginkgo.fail-on-empty -v -ginkgo.v | tee bench-out/soak-$(SEEDS)-$(FLEET).log | grep -aE "sent,|FAIL|^ok"

limits: ## Endpoints that name limits before gateways as processes: make limits LENGTH=30s FLEET=24x8.
	RIG_LENGTH=$(LENGTH) SOAK_FLEET=$(FLEET) CGO_ENABLED=1 go test -count=1 -timeout 30m ./test/e2e -ginkgo.label-filter limits -ginkgo.fail-on-empty -v -ginkgo.v | grep -aE "gateways, |which names|FAIL|^ok"

recover: ## Gateways as processes that reach no endpoint: make recover LENGTH=30s FLEET=24x8.
	RIG_LENGTH=$(LENGTH) SOAK_FLEET=$(FLEET) CGO_ENABLED=1 go test -count=1 -timeout 30m ./test/e2e -ginkgo.label-filter recover -ginkgo.fail-on-empty -v -ginkgo.v | grep -aE "gateways, |cut gateways|FAIL|^ok"

order: ## Streams resumed at gateways as processes that a new version doesn't reach: make order LENGTH=30s FLEET=24x8.
	RIG_LENGTH=$(LENGTH) SOAK_FLEET=$(FLEET) CGO_ENABLED=1 go test -count=1 -timeout 30m ./test/e2e -ginkgo.label-filter order -ginkgo.fail-on-empty -v -ginkgo.v | grep -aE "gateways, |holds events|^ *127[.0-9]* time=.*event=resume|FAIL|^ok"

brittle: ## Brittle endpoints before gateways as processes: make brittle LENGTH=30s FLEET=24x8.
	RIG_LENGTH=$(LENGTH) SOAK_FLEET=$(FLEET) CGO_ENABLED=1 go test -count=1 -timeout 30m ./test/e2e -ginkgo.label-filter brittle -ginkgo.fail-on-empty -v -ginkgo.v | grep -aE "gateways, |falls between|FAIL|^ok"

repeat: ## The failure tests, ten times over.
	for i in 1 2 3 4 5 6 7 8 9 10; do CGO_ENABLED=1 go test -count=1 -timeout 30m ./test/e2e || exit 1; done

generate: ## Regenerate the inner protocol; needs protoc. The output is committed.
	./internal/peer/generate.sh
