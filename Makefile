.PHONY: known soak settings build test race lint fuzz run measure-terms measure-members fleet even starts scale capacity capacity-page

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -count=1 -race ./...

lint:
	test -z "$$(gofmt -l balance internal cmd)"
	go vet ./...
	go tool staticcheck ./...

# Every parser of a wire, for as long as it is let; FUZZ=1m make fuzz
fuzz:
	go test -run '^$$' -fuzz FuzzParsers -fuzztime $${FUZZ:-30s} ./internal/pg
	go test -run '^$$' -fuzz FuzzDiscovery -fuzztime $${FUZZ:-30s} ./internal/discovery
	go test -run '^$$' -fuzz FuzzParse -fuzztime $${FUZZ:-30s} ./internal/termsfile

# What terms of routes cost and bring, beside the last program without them: some five minutes, with the machine to itself.
BEFORE_TERMS = fb7de3c
measure-terms: build
	rm -rf bin/before && git worktree prune && git worktree add -f --detach bin/before $(BEFORE_TERMS)
	cd bin/before && go build -o ../sedgestream-before ./cmd/sedgestream
	git worktree remove --force bin/before
	go run ./internal/lab/routeterms -before bin/sedgestream-before
	go run ./internal/lab/routeterms -before bin/sedgestream-before -only pair
	go test -run '^$$' -bench . ./internal/decide/terms
	go test -run '^$$' -bench Job -count 5 ./internal/dispatch

# What membership costs and how soon it knows, in simulated time and with up to 300 processes: some ten minutes, with the machine to itself.
measure-members: build
	go run ./internal/lab/memberscost

# A day of faults among many processes: SEED=7 ROUTERS=297 FAULTS=20 PERIOD=1s make fleet. A failed day's folder is named.
fleet:
	go test -count=1 -v -timeout 3h -run FleetThroughFaults ./cmd/sedgestream -fleet.seed $${SEED:-28} -fleet.routers $${ROUTERS:-297} \
		-fleet.faults $${FAULTS:-10} -fleet.period $${PERIOD:-1s}
	go test -count=1 -v -timeout 1h ./internal/lab/membersim -sim.seeds $${SEEDS:-200}

# Even load among many processes and more nodes than in CI: ROUTERS=300 NODES=15 make even; then a day by every way to choose.
even: build
	go test -count=1 -v -timeout 1h -run EvenLoad ./cmd/sedgestream -even.routers $${ROUTERS:-300} -even.nodes $${NODES:-15}
	bin/sedgestream lab even docs/days/even.json --processes

# 300 members that start at the same moment.
starts:
	go test -count=1 -v -timeout 1h -run StartTogether ./cmd/sedgestream -start.routers $${ROUTERS:-297}

# Real routers and planners among hollow routers, at a part of the target's size: SIZE=1/2 make scale
scale: build
	bin/sedgestream lab scale --size $${SIZE:-1/8}

# The figures of docs/CAPACITY.md, measured anew, and its tables: some ten minutes, with the machine to itself. PART=clients for one.
capacity: build
	go run ./internal/lab/capacitycost -only "$${PART:-}"

# Its tables alone, from docs/measured/capacity.json.
capacity-page:
	go run ./internal/lab/capacitycost -only page

# One router by the configuration that ROUTER_CONFIG names; see README.md.
run: build
	exec bin/sedgestream

# The program started with drawn configurations, of values that the pages document and such that they don't: SEED=7 COUNT=1000 make settings
settings:
	go test -count=1 -timeout 3h -run TestSettingsDrawn ./cmd/sedgestream -space.seed $${SEED:-1} -space.draws $${COUNT:-1000}

# What KNOWN-RED.txt lists, each test COUNT times alone, beside LOAD busy processes and stopped now and then: COUNT=50 LOAD=8 make known; ONLY=Soak for some.
known:
	go run ./internal/lab/knownred -plays $${COUNT:-50} -busy $${LOAD:-8} -parallel $${PARALLEL:-2} -seed $${SEED:-1} -logs "$${LOGS:-}" \
		-only "$${ONLY:-}" KNOWN-RED.txt

# Days of restarts and faults on real processes, a line each and a summary: SEED=1 COUNT=50 PARALLEL=6 make soak; LOGS=folder keeps the logs of days that broke,
# BAD=true has bad clients beside the usual ones.
soak:
	go test -count=1 -v -timeout 3h -run 'TestSoak$$' ./cmd/sedgestream -soak.seed $${SEED:-1} -soak.count $${COUNT:-50} -soak.parallel $${PARALLEL:-6} \
		-soak.logs "$${LOGS:-}" -soak.bad=$${BAD:-false}
