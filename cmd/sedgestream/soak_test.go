package main

import (
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"

	"sedgestream/internal/lab/soak"
)

var (
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the first soak scenario")
	soakCount    = flag.Int("soak.count", 4, "number of soak scenarios")
	soakParallel = flag.Int("soak.parallel", 2, "number of soak scenarios that run at a time")
	soakLevel    = flag.String("soak.level", "info", "log level of the routers")
	soakBad      = flag.Bool("soak.bad", false, "whether soak scenarios have bad clients beside the usual ones")
	soakLogs     = flag.String("soak.logs", "", "folder for the logs of failed soak scenarios; none if empty")
)

// Scenarios of drawn faults and series of signals among real processes: no rule is broken in any of them, by the
// records of clients and nodes. The test is not parallel with others, since processes that get no CPU for long are
// outside of what the pages promise.
func TestSoak(t *testing.T) {
	scenarios := make([]*soak.Scenario, *soakCount)
	for i := range scenarios {
		scenarios[i] = soak.NewScenario(*soakSeed + uint64(i))
		if *soakBad {
			scenarios[i].AddBadClients()
		}
	}
	runSoak(t, scenarios)
}

// The same with bad clients beside the usual ones, whose answers are judged: slow writers, half messages, floods, new names, clients that
// close unread. Memory is judged as well.
func TestSoakWithBadClients(t *testing.T) {
	const firstSeed, count = 200, 2
	scenarios := make([]*soak.Scenario, count)
	for i := range scenarios {
		scenarios[i] = soak.NewScenario(firstSeed + uint64(i))
		scenarios[i].AddBadClients()
	}
	runSoak(t, scenarios)
}

// runSoak runs scenarios, -soak.parallel of them at a time.
func runSoak(t *testing.T, drawn []*soak.Scenario) {
	program := soak.Program{Path: os.Args[0], Env: []string{routerProcessEnv + "=1", "SEDGESTREAM_LOG_LEVEL=" + *soakLevel}}
	outcomes := make([]*soak.Outcome, len(drawn))
	slots := make(chan struct{}, *soakParallel)
	var scenarios sync.WaitGroup
	for i := range outcomes {
		scenarios.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			outcomes[i] = runSoakScenario(t, program, drawn[i])
		})
	}
	scenarios.Wait()
	t.Log(soak.Summary(outcomes))
}

// runSoakScenario runs a scenario, logs its outcome, and fails the test if a rule was broken.
func runSoakScenario(t *testing.T, program soak.Program, scenario *soak.Scenario) *soak.Outcome {
	folder := t.TempDir()
	outcome := soak.NewOutcome(soak.Run(t, program, scenario, folder))
	t.Log(outcome)
	if len(outcome.Findings) > 0 {
		t.Errorf("seed %d:\n%s", scenario.Seed, outcome.Details())
		keepSoakLogs(t, folder, scenario.Seed)
	}
	return outcome
}

// keepSoakLogs copies the folder of a scenario to that of -soak.logs, if set.
func keepSoakLogs(t *testing.T, folder string, seed uint64) {
	if *soakLogs == "" {
		return
	}
	target := filepath.Join(*soakLogs, strconv.FormatUint(seed, 10))
	if err := os.CopyFS(target, os.DirFS(folder)); err != nil {
		t.Error(err)
	}
}
