.PHONY: build test lint unit model demo bench capacity generate

build:
	go build -o bin/ ./cmd/...

# test is what CI runs: formatter, linter, all tests, model check.
test: lint unit model

lint:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi
	go vet ./...
	go tool revive -config revive.toml -set_exit_status -exclude internal/wire/... ./...

unit:
	sh scripts/unit.sh

model:
	sh spec/check.sh

demo: build
	bash scripts/demo.sh

bench:
	go run ./internal/bench/run

capacity:
	go run ./internal/bench/slope/run

generate:
	go generate ./...
