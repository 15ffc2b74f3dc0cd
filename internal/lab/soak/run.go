package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sedgestream/internal/standin"
)

// scenarioRun is a running scenario.
type scenarioRun struct {
	scenario  *Scenario
	tb        standin.TB
	dir       string
	recorder  *recorder
	store     *store
	discovery []*discoveryServer // the first one in use, and the one that the routers move to
	routers   []*router
	startedAt time.Time
	stop      chan struct{}
	tasks     sync.WaitGroup

	mu              sync.Mutex
	states          []string   // state of each node in the list; "" if it is not listed
	discoveryFaults []interval // periods in which discovery may not have announced a change
}

// interval is a period of time.
type interval struct{ from, to time.Time }

// Timing of the harness.
const (
	delayCheckInterval  = 5 * time.Millisecond
	minHarnessDelay     = 5 * time.Millisecond // shorter delays are not recorded
	usageInterval       = 100 * time.Millisecond
	announcedAfterFault = 6 * time.Second        // during a discovery fault, every router must know of a change by then
	announcedAfter      = 200 * time.Millisecond // without a discovery fault, every router must know of a change by then
	killDelay           = 700 * time.Millisecond // from the longest deadline after SIGTERM to SIGKILL
	reloadInterval      = 3 * time.Millisecond   // between the SIGHUPs of a reload
	rejoinDelay         = time.Second            // from an election until the former primary replicates again
	oldDiscoveryDelay   = time.Second            // from the move until the old discovery server falls silent
)

// Run runs a scenario and returns its record. Logs and configuration files are written to dir.
func Run(tb standin.TB, program Program, scenario *Scenario, dir string) *Record {
	s := &scenarioRun{scenario: scenario, tb: tb, dir: dir, recorder: &recorder{}, stop: make(chan struct{})}
	s.recorder.record.Scenario = scenario
	s.store = newStore(tb, scenario, s.recorder)
	for range scenario.Nodes {
		s.states = append(s.states, "up")
	}
	for range 2 {
		s.discovery = append(s.discovery, newDiscoveryServer(tb, s.store.listEntries(s.states)))
	}
	go s.recordHarnessDelays()
	go watchCPUWaits(os.Getpid(), s.stop, func(_, to time.Time, delay time.Duration) {
		s.recorder.withRecord(func(r *Record) { r.HarnessDelays = append(r.HarnessDelays, HarnessDelay{to, delay}) })
	})
	s.startRouters(program)
	s.startedAt = time.Now()
	s.recorder.withRecord(func(r *Record) { r.StartedAt = s.startedAt })
	var clients sync.WaitGroup
	s.startClients(&clients)
	s.startBadClients()
	s.tasks.Go(s.recordUsage)
	for _, event := range scenario.Events {
		time.Sleep(time.Until(s.startedAt.Add(event.At)))
		s.tasks.Go(func() { s.apply(event) })
	}
	time.Sleep(time.Until(s.startedAt.Add(scenario.Duration)))
	close(s.stop)
	clients.Wait()
	s.tasks.Wait()
	s.endAll()
	return &s.recorder.record
}

// startRouters starts the first process of each router and waits until all are ready.
func (s *scenarioRun) startRouters(program Program) {
	var ready sync.WaitGroup
	for i := range s.scenario.Routers {
		r := &router{index: i, address: freeAddress(s.tb), configFile: filepath.Join(s.dir, fmt.Sprintf("n%d.json", i)), program: program,
			recorder: s.recorder, discovery: s.discovery[0].address, knownList: s.discovery[0].list(), current: -1}
		s.routers = append(s.routers, r)
		process := r.start(s.tb, s.scenario)
		ready.Go(func() {
			r.waitUntilReady(process)
			r.openIdleClients(s.scenario.IdleClients, s.stop)
		})
	}
	ready.Wait()
}

// startClients starts the clients of all routers.
func (s *scenarioRun) startClients(clients *sync.WaitGroup) {
	for _, r := range s.routers {
		for i := range s.scenario.ClientsPerRouter {
			client := s.newClient(r, i)
			clients.Add(1)
			go client.runUntilStopped(clients)
		}
	}
}

// newClient returns a client of a router, which has a number of its own there.
func (s *scenarioRun) newClient(r *router, number int) *simulatedClient {
	return &simulatedClient{scenario: s.scenario, store: s.store, router: r, recorder: s.recorder, stop: s.stop,
		session: fmt.Sprintf("%08x%08x", r.index+1, number+1),
		random:  rand.New(rand.NewPCG(s.scenario.Seed, uint64(r.index*1000+number)))}
}

// recordHarnessDelays records when the harness itself was delayed.
func (s *scenarioRun) recordHarnessDelays() {
	last := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(delayCheckInterval):
		}
		now := time.Now()
		if delay := now.Sub(last) - delayCheckInterval; delay > minHarnessDelay {
			s.recorder.withRecord(func(r *Record) { r.HarnessDelays = append(r.HarnessDelays, HarnessDelay{now, delay}) })
		}
		last = now
	}
}

// recordUsage records the resources that the routers' processes use.
func (s *scenarioRun) recordUsage() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(usageInterval):
		}
		for _, r := range s.routers {
			if process := r.lastProcess(); process != nil {
				r.recordUsage(process)
			}
		}
	}
}

// lastProcess returns the router's newest process, or nil.
func (r *router) lastProcess() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.processes) == 0 {
		return nil
	}
	return r.processes[len(r.processes)-1]
}

// endAll ends all processes and adds them to the record.
func (s *scenarioRun) endAll() {
	for _, r := range s.routers {
		r.mu.Lock()
		processes := append([]*process(nil), r.processes...)
		r.mu.Unlock()
		for _, process := range processes {
			s.endProcess(r, process)
		}
	}
}

// endProcess kills a process that is still running and adds it to the record.
func (s *scenarioRun) endProcess(r *router, process *process) {
	select {
	case <-process.exited:
	default:
		r.mu.Lock()
		running := process.TerminatedAt.IsZero()
		r.mu.Unlock()
		if running { // killed because the scenario is over
			r.mu.Lock()
			process.KilledAt, process.KilledOutright = time.Now(), true
			r.mu.Unlock()
		}
		process.signal(syscall.SIGCONT)
		process.signal(syscall.SIGKILL)
		<-process.exited
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.recorder.withRecord(func(record *Record) { record.Processes = append(record.Processes, process.Process) })
}
