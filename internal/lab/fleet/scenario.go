package fleet

import (
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"sedgestream/internal/lab/day"
	"sedgestream/internal/standin"
	"sedgestream/internal/standin/link"
)

// processesPerPoll bounds the cost of polls: with more processes than this the time between two polls grows with their number.
const processesPerPoll = 60

// Run injects the faults of the scenario from now on and polls every instance meanwhile. After the last fault it goes on until all
// instances agree, or for grace probe periods.
func (h *Harness) Run(scenario *day.Scenario, grace float64) *Verdict {
	h.must(h.recordedScenario(scenario).Write(filepath.Join(h.Folder, "day.json")))
	begin := time.Now()
	h.scenarioStartedAt = begin
	type faultChange struct {
		at     time.Duration
		index  int
		begins bool
	}
	var changes []faultChange
	for index, fault := range scenario.Faults {
		changes = append(changes, faultChange{fault.At, index, true})
		if fault.Duration > 0 {
			changes = append(changes, faultChange{fault.End(), index, false})
		}
	}
	slices.SortStableFunc(changes, func(a, b faultChange) int { return int(a.at - b.at) })
	stopPolling := make(chan struct{})
	var polled sync.WaitGroup
	polled.Add(1)
	go func() {
		defer polled.Done()
		for {
			select {
			case <-stopPolling:
				return
			case <-time.After(2 * h.ProbePeriod * time.Duration(1+len(h.processes)/processesPerPoll)):
				h.poll()
			}
		}
	}()
	for _, change := range changes {
		time.Sleep(time.Until(begin.Add(change.at)))
		h.applyFault(change.index, &scenario.Faults[change.index], change.begins)
	}
	time.Sleep(time.Until(begin.Add(scenario.Duration)))
	end := time.Now()
	verdict := &Verdict{ConvergedAfter: -1}
	for time.Since(end) < time.Duration(grace*float64(h.ProbePeriod)) {
		if h.converged() {
			verdict.ConvergedAfter = float64(time.Since(end)) / float64(h.ProbePeriod)
			break
		}
		time.Sleep(h.ProbePeriod / 2)
	}
	h.reportProgress("all agree %.1f periods after the last fault", verdict.ConvergedAfter)
	close(stopPolling)
	polled.Wait()
	close(h.stop)
	h.tasks.Wait()
	h.verify(verdict)
	if len(h.Nodes) > 0 && h.Nodes[0].Cores() > 0 {
		verdict.Evenness = h.MeasureEvenness(begin, end, func(n int) float64 { return h.capacityFactor(scenario, n) })
	}
	return verdict
}

// capacityFactor is the ratio of a node's real capacity to its nominal one, if a fault changes it for more than half of the scenario;
// otherwise 1.
func (h *Harness) capacityFactor(scenario *day.Scenario, node int) float64 {
	for _, fault := range scenario.Faults {
		if fault.Kind == day.ChangeCapacity && slices.Contains(fault.Targets, node) &&
			(fault.Duration == 0 || fault.Duration > scenario.Duration/2) {
			return fault.Amount
		}
	}
	return 1
}

// recordedScenario adds the fleet to the scenario, so that it can be run again from the file alone.
func (h *Harness) recordedScenario(scenario *day.Scenario) *day.Scenario {
	recorded := *scenario
	fleet := &recorded.Fleet
	fleet.Planners, fleet.Routers, fleet.Standalone, fleet.ClientsPerRouter,
		fleet.ClientPause, fleet.ReportLoads, fleet.ReadsOnly, fleet.TrafficSpread =
		h.Planners, h.Routers, h.Standalone, h.ClientsPerRouter,
		h.ClientPause, h.ReportLoads, h.ReadsOnly, h.TrafficSpread
	fleet.Groups = len(h.groups())
	fleet.NodesPerGroup = len(h.Nodes) / max(1, fleet.Groups)
	return &recorded
}

// groups are the distinct groups of the nodes.
func (h *Harness) groups() (groups []int) {
	for _, node := range h.Nodes {
		if !slices.Contains(groups, node.Group) {
			groups = append(groups, node.Group)
		}
	}
	return groups
}

// reportProgress sends a progress line with the time since the start.
func (h *Harness) reportProgress(format string, args ...any) {
	if h.Progress != nil {
		h.Progress(fmt.Sprintf("%5.1f s  ", time.Since(h.startedAt).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// applyFault begins or ends a fault.
func (h *Harness) applyFault(index int, fault *day.Fault, begins bool) {
	h.mu.Lock()
	if begins {
		h.activeFaults[index] = fault
	} else {
		delete(h.activeFaults, index)
	}
	var targets []*process
	if !fault.TargetsNodes() {
		for _, n := range fault.Targets {
			targets = append(targets, h.processes[n])
		}
	}
	h.faultEvents = append(h.faultEvents, faultEvent{time.Now(), fault, begins})
	h.mu.Unlock()
	if begins {
		h.reportProgress("%s", describeFault(fault))
	} else {
		h.reportProgress("%s is over", fault.Kind)
	}
	switch fault.Kind {
	case day.Partition, day.OneWay, day.Loss, day.Delay, day.Duplicate, day.Stall, day.Throttle, day.Replay:
		h.applyNetworkFaults()
	case day.Drain:
		h.drain(fault, begins)
	case day.DuplicateName:
		h.duplicateName(targets[0], begins)
	case day.ColdRestart:
		h.coldRestart(fault, begins)
	case day.ChangeCapacity:
		for _, n := range fault.Targets {
			h.Nodes[n].SetSpeed(map[bool]float64{true: fault.Amount, false: 1}[begins])
		}
	case day.FalseLoad:
		for _, n := range fault.Targets {
			h.Nodes[n].SetReportsIdle(begins)
		}
	case day.ErrorAnswers:
		for _, n := range fault.Targets {
			h.Nodes[n].SetFailing(begins)
		}
	case day.Garbage, day.FakeNames:
		if begins {
			h.tasks.Add(1)
			go func() { defer h.tasks.Done(); h.flood(index, fault, targets) }()
		}
	default:
		var all sync.WaitGroup
		for _, proc := range targets {
			all.Add(1)
			go func() { defer all.Done(); h.applyProcessFault(index, fault, proc, begins) }()
		}
		all.Wait()
	}
}

// describeFault describes a fault in one line.
func describeFault(fault *day.Fault) string {
	text := string(fault.Kind)
	if len(fault.Targets) > 0 {
		text += fmt.Sprintf(" %v", fault.Targets)
	}
	if len(fault.Peers) > 0 {
		text += fmt.Sprintf(" to %v", fault.Peers)
	}
	if fault.Amount != 0 {
		text += fmt.Sprintf(", part %.2f", fault.Amount)
	}
	if fault.Duration > 0 {
		text += fmt.Sprintf(", for %v", fault.Duration)
	}
	return text
}

// applyProcessFault begins or ends a fault of one process. An ended process is started again when its fault ends.
func (h *Harness) applyProcessFault(index int, fault *day.Fault, proc *process, begins bool) {
	switch {
	case fault.Kind == day.Pause && begins:
		h.signalProcess(proc, syscall.SIGSTOP)
	case fault.Kind == day.Pause:
		h.signalProcess(proc, syscall.SIGCONT)
	case fault.Kind == day.Starve && begins:
		h.tasks.Add(1)
		go func() { defer h.tasks.Done(); h.starve(index, fault, proc) }()
	case fault.Kind == day.Starve: // starve notices the end by itself
	case begins && fault.Kind == day.Kill:
		h.endProcess(proc, syscall.SIGKILL)
	case begins && fault.Kind == day.Leave:
		h.endProcess(proc, syscall.SIGTERM)
	default:
		if !h.isRunning(proc) {
			h.startProcess(proc)
		}
	}
}

// isActive reports whether a fault has begun and not ended.
func (h *Harness) isActive(index int) bool {
	select {
	case <-h.stop:
		return false
	default:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.activeFaults[index] != nil
}

// starvePeriod is the length of one cycle of suspending and resuming a starved process.
const starvePeriod = 200 * time.Millisecond

// starve lets a process run for a share of the time only.
func (h *Harness) starve(index int, fault *day.Fault, proc *process) {
	sendSignal := func(starved bool, sig syscall.Signal) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if proc.running {
			proc.cmd.Process.Signal(sig)
			proc.starved, proc.changedAt = starved, time.Now()
		}
	}
	for h.isActive(index) {
		sendSignal(true, syscall.SIGSTOP)
		time.Sleep(time.Duration((1 - fault.Amount) * float64(starvePeriod)))
		sendSignal(true, syscall.SIGCONT)
		time.Sleep(time.Duration(fault.Amount * float64(starvePeriod)))
	}
	sendSignal(false, syscall.SIGCONT)
}

// duplicateName starts another process with the name of one, or kills it.
func (h *Harness) duplicateName(proc *process, begins bool) {
	if !begins {
		for _, other := range h.allProcesses() {
			if other.duplicate && other.name == proc.name {
				h.endProcess(other, syscall.SIGKILL)
			}
		}
		return
	}
	h.mu.Lock()
	number := len(h.processes)
	h.mu.Unlock()
	other := h.prepare(number, proc.name)
	h.mu.Lock()
	h.processes = append(h.processes, other)
	h.mu.Unlock()
	h.startProcess(other)
}

// replicaAt selects a replica by a fraction of all replicas, from 0 to 1.
func (h *Harness) replicaAt(fraction float64) int {
	var replicas []int
	for n, node := range h.Nodes {
		if node.Role != "source" {
			replicas = append(replicas, n)
		}
	}
	return replicas[min(int(fraction*float64(len(replicas))), len(replicas)-1)]
}

// coldRestart stops nodes, or restarts them cold and announces that in all lists.
func (h *Harness) coldRestart(fault *day.Fault, begins bool) {
	targets := fault.Targets
	if len(targets) == 0 {
		targets = []int{h.replicaAt(fault.Amount)}
	}
	if begins {
		for _, n := range targets {
			h.Nodes[n].Stop()
		}
		return
	}
	entries := ""
	for i, n := range targets {
		h.Nodes[n].Restart()
		if i > 0 {
			entries += ","
		}
		state := "up"
		if h.isDraining(n) { // a restart does not end a drain
			state = "draining"
		}
		entries += h.Nodes[n].ListEntry(n, state)
	}
	h.mu.Lock()
	h.listVersion++
	line := fmt.Sprintf("{\"version\":%d,\"full\":false,\"servers\":[%s]}\n", h.listVersion, entries)
	h.mu.Unlock()
	for _, proc := range h.allProcesses() {
		if proc.platform != nil && !proc.duplicate {
			h.sendListUpdate(proc, line, nil)
		}
	}
}

// isDraining reports whether any list announced that a node drains.
func (h *Harness) isDraining(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drainAnnounced[n] != nil
}

// sendListUpdate sends a line of the discovery list to a router as soon as it watches, and calls then afterwards. A router that
// does not run is sent nothing, as it reads the list when it starts.
func (h *Harness) sendListUpdate(proc *process, line string, then func()) {
	h.mu.Lock()
	running := proc.running
	h.mu.Unlock()
	h.tasks.Add(1)
	go func() {
		defer h.tasks.Done()
		if running {
			select {
			case proc.platform.Updates <- line:
			case <-time.After(5 * time.Second): // the process has ended meanwhile
				return
			case <-h.stop:
				return
			}
		}
		if then != nil {
			then()
		}
	}()
}

// drain announces in the lists of some routers that a replica drains; when the fault ends, in the lists of all others.
func (h *Harness) drain(fault *day.Fault, begins bool) {
	node := h.replicaAt(fault.Amount)
	h.mu.Lock()
	announced := h.drainAnnounced[node]
	if announced == nil {
		announced = map[string]time.Time{}
		h.drainAnnounced[node] = announced
		h.listVersion++
	}
	version := h.listVersion
	h.mu.Unlock()
	line := fmt.Sprintf("{\"version\":%d,\"full\":false,\"servers\":[%s]}\n", version, h.Nodes[node].ListEntry(node, "draining"))
	for _, proc := range h.allProcesses() {
		if proc.platform == nil || proc.duplicate || begins && !slices.Contains(fault.Targets, proc.number) {
			continue
		}
		// Processes that start later read it from the configuration.
		h.mu.Lock()
		for len(proc.platform.KnownStates) < len(h.Nodes) {
			proc.platform.KnownStates = append(proc.platform.KnownStates, "up")
		}
		proc.platform.KnownStates[node], proc.platform.KnownVersion = "draining", version
		h.mu.Unlock()
		h.sendListUpdate(proc, line, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if announced[proc.name].IsZero() {
				announced[proc.name] = time.Now()
			}
		})
	}
}

// signalProcess suspends or resumes a process.
func (h *Harness) signalProcess(proc *process, sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if proc.running {
		proc.cmd.Process.Signal(sig)
		proc.paused, proc.changedAt = sig == syscall.SIGSTOP, time.Now()
	}
}

// endProcess sends a process a signal that ends it, and waits until it has ended.
func (h *Harness) endProcess(proc *process, sig syscall.Signal) {
	h.mu.Lock()
	if !proc.running {
		h.mu.Unlock()
		return
	}
	proc.running, proc.leaving, proc.starved, proc.changedAt = false, sig == syscall.SIGTERM, false, time.Now()
	paused := proc.paused
	h.mu.Unlock()
	proc.cmd.Process.Signal(sig)
	if paused {
		proc.cmd.Process.Signal(syscall.SIGCONT)
	}
	select {
	case <-proc.exit:
	case <-time.After(standin.WaitTimeout):
		h.violation("%s does not end after signal %v", proc.name, sig)
		proc.cmd.Process.Kill()
		<-proc.exit
	}
}

// applyNetworkFaults sets the conditions of the relays according to the active faults.
func (h *Harness) applyNetworkFaults() {
	h.mu.Lock()
	defer h.mu.Unlock()
	conditions := link.Conditions{}
	var partitions, stalls, pathFaults []*day.Fault
	for _, fault := range h.activeFaults {
		switch fault.Kind {
		case day.Loss, day.Duplicate, day.Delay, day.Replay, day.Throttle:
			pathFaults = append(pathFaults, fault)
			conditions.KeepReplays = conditions.KeepReplays || fault.Kind == day.Replay
		case day.Stall:
			stalls = append(stalls, fault)
		case day.Partition, day.OneWay:
			partitions = append(partitions, fault)
		}
	}
	if len(partitions) > 0 {
		conditions.Partitioned = func(from, to int) bool { return isCut(partitions, from, to) }
	}
	if len(pathFaults) > 0 {
		conditions.Path = func(from, to int) link.Path { return pathConditions(pathFaults, from, to) }
	}
	if len(stalls) > 0 {
		conditions.Stalled = func(from, to int) bool { return isCut(stalls, from, to) }
	}
	h.Network.SetConditions(conditions)
}

// pathConditions are the conditions from one instance to another. A fault concerns what its targets send to its peers; no targets
// or no peers mean all instances.
func pathConditions(faults []*day.Fault, from, to int) (conditions link.Path) {
	for _, fault := range faults {
		if len(fault.Targets) > 0 && !slices.Contains(fault.Targets, from) || len(fault.Peers) > 0 && !slices.Contains(fault.Peers, to) {
			continue
		}
		switch fault.Kind {
		case day.Loss:
			conditions.Loss = max(conditions.Loss, fault.Amount)
		case day.Duplicate:
			conditions.Duplicate = max(conditions.Duplicate, fault.Amount)
		case day.Delay:
			conditions.Delayed, conditions.MaxDelay = fault.Amount, fault.MaxDelay
		case day.Replay:
			conditions.Replay = max(conditions.Replay, fault.Amount)
		case day.Throttle:
			conditions.BytesPerSecond = int(fault.Amount * 1000)
		}
	}
	return conditions
}

// isCut reports whether one of the faults prevents messages from one instance to another.
func isCut(faults []*day.Fault, from, to int) bool {
	for _, fault := range faults {
		if fault.Kind == day.Partition && slices.Contains(fault.Targets, from) != slices.Contains(fault.Targets, to) ||
			(fault.Kind == day.OneWay || fault.Kind == day.Stall) && slices.Contains(fault.Targets, from) && slices.Contains(fault.Peers, to) {
			return true
		}
	}
	return false
}
