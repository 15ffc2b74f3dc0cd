.PHONY: build test race lint fuzz run measure-terms

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -count=1 -race ./...

lint:
	test -z "$$(gofmt -l balance internal cmd)"
	go vet ./...

# Every parser of a wire, for as long as it is let; FUZZ=1m make fuzz
fuzz:
	go test -run '^$$' -fuzz FuzzParsers -fuzztime $${FUZZ:-30s} ./internal/pg
	go test -run '^$$' -fuzz FuzzDiscovery -fuzztime $${FUZZ:-30s} ./internal/list
	go test -run '^$$' -fuzz FuzzParse -fuzztime $${FUZZ:-30s} ./internal/termsfile

# One router by the configuration that ROUTER_CONFIG names; see README.md.
run: build
	exec bin/sedgestream
