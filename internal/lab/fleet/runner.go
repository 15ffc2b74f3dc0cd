package fleet

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"sedgestream/internal/lab/bench"
	"sedgestream/internal/lab/day"
	"sedgestream/internal/standin"
)

// Runner runs scenarios for the commands of the laboratory.
type Runner struct {
	Program string    // path of the program whose processes are started
	Out     io.Writer // for progress and the verdict
	Folder  string    // for logs, the recorded scenario and the report; "": a temporary one, removed if no rule was violated
	Report  string    // path of the report; "" for report.html in the folder
}

// ErrViolations is returned after a scenario in which rules or guarantees were violated.
var ErrViolations = errors.New("the scenario violated rules or guarantees")

// Times in probe periods.
const (
	convergenceGrace = 200 // after the last fault, within which all instances have to agree
	leaseTermPeriods = 4   // in the term of a lease
)

// NewNodes starts the stand-in nodes of a scenario, for each group a primary and replicas, which refuse writes.
func NewNodes(t standin.TB, fleet *day.Fleet) (nodes []*standin.Node) {
	for group := range fleet.Groups {
		for index := range fleet.NodesPerGroup {
			role := "copy"
			if index == 0 {
				role = "source"
			}
			node := standin.NewNode(t, role)
			node.Group, node.RejectReplicaWrites = 2+group, true
			node.UseServiceModel(&standin.ServiceModel{Cores: fleet.Cores, MeanTime: fleet.WorkTime, ReportsInFlight: true})
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Run runs a scenario and prints its verdict.
func (r *Runner) Run(scenario *day.Scenario) (err error) {
	b := &bench.TB{}
	defer b.Close()
	folder := r.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "sedgestream-day-"); err != nil {
			return err
		}
	} else if err = os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	settings := standin.ShortTimeoutSettings
	if scenario.Fleet.SettingsFile != "" {
		text, err := os.ReadFile(scenario.Fleet.SettingsFile)
		if err != nil {
			return err
		}
		settings = string(text)
	}
	// An interrupted run leaves no process behind.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		if _, received := <-signals; received {
			fmt.Fprintln(r.Out, "interrupted; logs are in", folder)
			b.Close()
			os.Exit(1)
		}
	}()
	defer close(signals)
	fleet := &scenario.Fleet
	fmt.Fprintf(r.Out, "starting %d planners and %d routers among %d groups of %d nodes; logs go to %s\n", fleet.Planners,
		fleet.Routers, fleet.Groups, fleet.NodesPerGroup, folder)
	harness := New(b, Config{
		Program:          r.Program,
		Planners:         fleet.Planners,
		Routers:          fleet.Routers,
		Standalone:       fleet.Standalone,
		Nodes:            NewNodes(b, fleet),
		Settings:         settings,
		ProbePeriod:      scenario.Period,
		LeaseTerm:        leaseTermPeriods * scenario.Period,
		ClientsPerRouter: fleet.ClientsPerRouter,
		ClientPause:      fleet.ClientPause,
		Folder:           folder,
		Seed:             scenario.Seed,
		ReportLoads:      fleet.ReportLoads,
		ReadsOnly:        fleet.ReadsOnly,
		TrafficSpread:    fleet.TrafficSpread,
		Progress:         func(line string) { fmt.Fprintln(r.Out, line) },
	})
	verdict := harness.Run(scenario, convergenceGrace)
	report := r.Report
	if report == "" {
		report = filepath.Join(folder, "report.html")
	}
	if err = harness.WriteReport(report, verdict); err != nil {
		return fmt.Errorf("the report was not written: %w", err)
	}
	fmt.Fprintf(r.Out, "\n%v\n", verdict)
	if verdict.Evenness != nil {
		fmt.Fprintf(r.Out, "\nload of replicas, by the nodes' ledgers: %v\n", verdict.Evenness)
	}
	if len(verdict.Violations) > 0 {
		fmt.Fprintf(r.Out, "the scenario, each process's log and the report are in %s\n", folder)
		return ErrViolations
	}
	if r.Folder == "" && r.Report == "" {
		if report, err = copyReport(report); err != nil {
			return err
		}
	}
	fmt.Fprintf(r.Out, "the report: %s\n", report)
	if r.Folder == "" {
		os.RemoveAll(folder)
	}
	return nil
}

// copyReport copies the report out of the folder that is removed, and returns the path of the copy.
func copyReport(report string) (path string, err error) {
	text, err := os.ReadFile(report)
	if err != nil {
		return "", err
	}
	file, err := os.CreateTemp("", "sedgestream-report-*.html")
	if err != nil {
		return "", err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Close()); err != nil {
		os.Remove(file.Name())
		return "", fmt.Errorf("the report was not copied: %w", err)
	}
	return file.Name(), nil
}

// DemoScenario is a scenario of some twenty seconds for newcomers: one router is killed and comes back, a node starts cold, and one
// router is cut off.
func DemoScenario() *day.Scenario {
	fleet := day.DefaultFleet()
	fleet.Routers, fleet.Standalone, fleet.Groups, fleet.NodesPerGroup, fleet.ClientsPerRouter, fleet.ClientPause =
		6, 1, 2, 3, 4, 20*time.Millisecond
	scenario := &day.Scenario{Seed: 1, Period: 200 * time.Millisecond, Instances: fleet.Planners + fleet.Routers, Fleet: fleet,
		Faults: []day.Fault{
			{At: 3 * time.Second, Duration: 5 * time.Second, Kind: day.Kill, Targets: []int{4}},
			{At: 5 * time.Second, Duration: time.Second, Kind: day.ColdRestart, Targets: []int{4}},
			{At: 9 * time.Second, Duration: 4 * time.Second, Kind: day.Partition, Targets: []int{7}},
		}}
	scenario.Duration = scenario.LastFaultEnd()
	return scenario
}
