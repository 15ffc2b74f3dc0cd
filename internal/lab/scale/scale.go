// Package scale measures the cost of control traffic at a fraction of the target size. Real routers and planners run as processes, beside
// hollow routers: these carry no requests and share one process, but communicate with planners, members and discovery through the same
// modules as a real router.
package scale

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"time"

	"sedgestream/internal/lab/fleet"
	"sedgestream/internal/standin"
	"sedgestream/internal/tierfile"
)

// Config describes a run.
type Config struct {
	Program       string // path of the program that real routers and planners run
	Env           []string
	Folder        string // for logs and files
	Hollow        int    // number of hollow routers, which run in this process
	Real          int    // number of real routers, which run in processes of their own
	Planners      int
	Databases     int  // stand-in nodes
	Traffic       bool // clients send requests to the real routers, and planners add up the routers' loads
	Duration      time.Duration
	ProbePeriod   time.Duration
	SettleTimeout time.Duration // within which all have to have the same view
	CalmTime      time.Duration // from the common view to the measurement, so that no message about the start is measured
	Limits        Limits
	Progress      func(line string)
}

// Default times of a run, which equal those on the page of the tier.
const (
	defaultPeriod  = time.Second
	defaultSettle  = 90 * time.Second
	defaultCalm    = 5 * time.Second
	calmPerRouter  = 100 * time.Millisecond // added to defaultCalm for each router
	maxCalm        = 30 * time.Second
	defaultTerm    = 2 * time.Second
	counterPause   = time.Second // after the queries of counters, so that their cost is not measured
	parallelStarts = 16          // hollow routers that start at the same time
)

// Clients of the real routers, if there is traffic.
const (
	clientsPerRouter = 4
	clientPause      = 20 * time.Millisecond
)

// SetDefaults sets the times that are 0.
func (c *Config) SetDefaults() {
	if c.ProbePeriod == 0 {
		c.ProbePeriod = defaultPeriod
	}
	if c.SettleTimeout == 0 {
		c.SettleTimeout = defaultSettle
	}
	if c.CalmTime == 0 {
		c.CalmTime = min(defaultCalm+time.Duration(c.Hollow+c.Real)*calmPerRouter, maxCalm)
	}
	if c.Progress == nil {
		c.Progress = func(string) {}
	}
}

// Sample is the CPU time and traffic of one process per second, and its memory and descriptors at the end.
type Sample struct {
	Name        string  `json:"name"`
	CPU         float64 `json:"cpu_ms"`
	Memory      float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`

	In            fleet.Flow `json:"in"`  // over connections between routers and planners
	Out           fleet.Flow `json:"out"` // and among planners
	MemberIn      fleet.Flow `json:"member_in"`
	MemberOut     fleet.Flow `json:"member_out"`
	ExchangeBytes float64    `json:"exchanged"` // of the membership's state exchanges
}

// ControlBytes is all control traffic, both ways.
func (s *Sample) ControlBytes() float64 {
	return s.In.Bytes + s.Out.Bytes + s.MemberIn.Bytes + s.MemberOut.Bytes + s.ExchangeBytes
}

// Result is the outcome of a run.
type Result struct {
	Hollow         int      `json:"hollow"`
	Real           int      `json:"real"`
	Databases      int      `json:"databases"`
	Traffic        bool     `json:"traffic"`
	ListBytes      int      `json:"list_bytes"` // of all entries of the discovery list
	ConvergedAfter float64  `json:"settled_s"`  // from the last start until all had the same view
	Span           float64  `json:"span_s"`
	Routers        []Sample `json:"routers"`
	Planners       []Sample `json:"planners"`
	Host           Sample   `json:"host"` // this process: hollow routers, databases, relays, discovery
	MaxMemory      float64  `json:"most_memory_mb"`
	MaxProcesses   int      `json:"most_processes"`
}

// ErrProcessesLeft is returned if processes of the run still exist after its end.
var ErrProcessesLeft = errors.New("scale: processes are still running after the end")

// run is a run in progress.
type run struct {
	Config
	harness  *fleet.Harness
	platform *standin.Harness // discovery and configuration of all hollow routers
	hollow   []*hollow
	monitor  *resourceMonitor
}

// Run starts all processes and hollow routers, measures, and ends them.
func Run(t standin.TB, config Config) (*Result, error) {
	config.SetDefaults()
	current := &run{Config: config}
	if config.Real+config.Planners > config.Limits.Processes {
		return nil, fmt.Errorf("scale: %d processes, more than %d", config.Real+config.Planners, config.Limits.Processes)
	}
	nodes := NewDatabases(t, config.Databases)
	config.Progress(fmt.Sprintf("%d hollow and %d real routers, %d planners, %d databases", config.Hollow, config.Real,
		config.Planners, config.Databases))
	current.startAll(t, nodes)
	result, err := current.measure()
	pids := current.harness.RunningPIDs()
	current.stopAll()
	if err == nil && len(alivePIDs(pids)) > 0 {
		err = fmt.Errorf("%w: %v", ErrProcessesLeft, alivePIDs(pids))
	}
	return result, err
}

// startAll starts the processes, then the hollow routers.
func (r *run) startAll(t standin.TB, nodes []*standin.Node) {
	clients := 0
	if r.Traffic {
		clients = clientsPerRouter
	}
	r.harness = fleet.New(t, fleet.Config{
		Program:          r.Program,
		Env:              r.Env,
		Planners:         r.Planners,
		Routers:          r.Real,
		Nodes:            nodes,
		Settings:         standin.DefaultSettings,
		ProbePeriod:      r.ProbePeriod,
		LeaseTerm:        defaultTerm,
		ClientsPerRouter: clients,
		ClientPause:      clientPause,
		ReportLoads:      r.Traffic,
		Folder:           r.Folder,
		Seed:             1,
	})
	r.monitor = startMonitor(r.Limits, r.harness.RunningPIDs)
	r.platform = standin.NewHarness(t, nodes...)
	r.platform.WholeLines = true
	go func() { // drain the channel: nothing here checks how watches begin
		for range r.platform.ListRequests {
		}
	}()
	r.platform.WriteConfig()
	tier, err := r.hollowTier()
	if err != nil {
		t.Fatal(err)
	}
	r.hollow = make([]*hollow, r.Hollow)
	slots, all := make(chan struct{}, parallelStarts), sync.WaitGroup{}
	for n := range r.hollow {
		slots <- struct{}{}
		all.Add(1)
		go func() {
			defer func() { <-slots; all.Done() }()
			number := r.Planners + r.Real + n
			config := hollowConfig{name: fmt.Sprintf("h%d", n), ip: fleet.InstanceIP(number), platformFile: r.platform.ConfigPath,
				tier: tier, seed: uint64(number)}
			started, err := startHollow(config)
			if err != nil {
				t.Errorf("%s: %v", config.name, err)
				return
			}
			r.hollow[n] = started
		}()
	}
	all.Wait()
}

// hollowTier is the tier file of hollow routers, which share one relay to each planner.
func (r *run) hollowTier() (*tierfile.Tier, error) {
	planners := ""
	for n := range r.Planners {
		address, err := r.harness.OpenPlannerRelay(n)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			planners += ", "
		}
		planners += fmt.Sprintf(`{"name": "p%d", "address": %q}`, n, address)
	}
	path := filepath.Join(r.Folder, "tier-hollow.json")
	if err := os.WriteFile(path, []byte(r.harness.TierFile(planners)), 0o600); err != nil {
		return nil, err
	}
	return tierfile.Load(path)
}

// measure waits until all have the same view and then for CalmTime, and measures.
func (r *run) measure() (*Result, error) {
	begin := time.Now()
	for !r.converged() {
		if err := r.monitor.err(); err != nil {
			return nil, err
		}
		if time.Since(begin) > r.SettleTimeout {
			return nil, fmt.Errorf("scale: %d members did not agree on a view within %v", r.memberCount(), r.SettleTimeout)
		}
		time.Sleep(r.ProbePeriod / 2)
	}
	result := &Result{Hollow: r.Hollow, Real: r.Real, Databases: r.Databases, Traffic: r.Traffic, ListBytes: len(r.platform.ListEntries()),
		ConvergedAfter: time.Since(begin).Seconds()}
	r.Progress(fmt.Sprintf("all have one view after %.1f s; waiting %v for calm", result.ConvergedAfter, r.CalmTime))
	time.Sleep(r.CalmTime)
	if err := r.measureProcesses(result); err != nil {
		return nil, err
	}
	r.monitor.sample()
	result.MaxMemory, result.MaxProcesses = math.Round(r.monitor.maxMemory), r.monitor.maxProcesses
	return result, r.monitor.err()
}

// memberCount is the number of all instances.
func (r *run) memberCount() int { return r.Planners + r.Real + r.Hollow }

// converged reports whether all processes have the same view, with all members.
func (r *run) converged() bool {
	var number, digest uint64
	for n := range r.Planners + r.Real {
		view, err := r.harness.QueryFleet(n)
		if err != nil || len(view.View.Members) != r.memberCount() {
			return false
		}
		if n > 0 && (view.View.Number != number || view.View.Digest != digest) {
			return false
		}
		number, digest = view.View.Number, view.View.Digest
	}
	return true
}

// snapshot is the usage and the traffic of an instance at a moment; the traffic was read at another time than the usage.
type snapshot struct {
	trafficAt time.Time
	usage     fleet.Usage
	traffic   fleet.Traffic
}

// measureProcesses measures all processes for the configured duration.
func (r *run) measureProcesses(result *Result) error {
	count := r.Planners + r.Real
	before, after := make([]snapshot, count), make([]snapshot, count)
	readTraffic := func(into []snapshot) error {
		for n := range into {
			traffic, err := r.harness.Traffic(n)
			if err != nil {
				return err
			}
			into[n].traffic, into[n].trafficAt = traffic, time.Now()
		}
		return nil
	}
	if err := readTraffic(before); err != nil {
		return err
	}
	time.Sleep(counterPause)
	begin, hostBefore := time.Now(), fleet.UsageOf(os.Getpid())
	for n := range before {
		before[n].usage = r.harness.Usage(n)
	}
	time.Sleep(r.Duration)
	for n := range after {
		after[n].usage = r.harness.Usage(n)
	}
	seconds, hostAfter := time.Since(begin).Seconds(), fleet.UsageOf(os.Getpid())
	if err := readTraffic(after); err != nil {
		return err
	}
	result.Span = seconds
	result.Host = Sample{Name: "host", CPU: (hostAfter.CPU - hostBefore.CPU) / seconds, Memory: hostAfter.Memory,
		Descriptors: hostAfter.Descriptors}
	for n := range count {
		sample := sampleOf(before[n], after[n], seconds)
		if n < r.Planners {
			sample.Name = fmt.Sprintf("p%d", n)
			result.Planners = append(result.Planners, sample)
			continue
		}
		sample.Name = fmt.Sprintf("f%d", n)
		result.Routers = append(result.Routers, sample)
	}
	return nil
}

// sampleOf is the difference of two snapshots per second. Usage was read at an interval of the given seconds.
func sampleOf(before, after snapshot, seconds float64) Sample {
	traffic, trafficSeconds := after.traffic.Sub(before.traffic), after.trafficAt.Sub(before.trafficAt).Seconds()
	rate := func(f fleet.Flow) fleet.Flow {
		return fleet.Flow{Messages: f.Messages / trafficSeconds, Bytes: f.Bytes / trafficSeconds}
	}
	return Sample{CPU: (after.usage.CPU - before.usage.CPU) / seconds, Memory: after.usage.Memory, Descriptors: after.usage.Descriptors,
		In: rate(traffic.PlannerIn), Out: rate(traffic.PlannerOut), MemberIn: rate(traffic.MemberIn),
		MemberOut: rate(traffic.MemberOut), ExchangeBytes: traffic.ExchangeBytes / trafficSeconds}
}

// stopAll ends the hollow routers, then the processes.
func (r *run) stopAll() {
	r.monitor.close()
	var all sync.WaitGroup
	for _, router := range r.hollow {
		if router == nil {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			router.close()
		}()
	}
	all.Wait()
	r.harness.Close()
}
