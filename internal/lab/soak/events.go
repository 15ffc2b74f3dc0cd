package soak

import (
	"syscall"
	"time"
)

// apply carries out an event.
func (s *scenarioRun) apply(event Event) {
	switch event.Kind {
	case Reload, Terminate, Suspend, Kill:
		s.signal(event)
	case DiscoveryDown, DiscoveryRefuses, WatchesSilent, DiscoveryMoves:
		s.disturbDiscovery(event)
	default:
		s.applyNodeFault(event)
	}
}

// signal sends an event's signals to a router, with their side conditions.
func (s *scenarioRun) signal(event Event) {
	r := s.routers[event.Router]
	process := r.lastProcess()
	switch event.Kind {
	case Suspend:
		pause := Pause{Router: event.Router, From: time.Now()}
		process.signal(syscall.SIGSTOP)
		time.Sleep(event.Duration)
		process.signal(syscall.SIGCONT)
		pause.To = time.Now()
		s.recorder.withRecord(func(r *Record) { r.Pauses = append(r.Pauses, pause) })
	case Reload:
		for i := range event.Signals {
			if err := r.writeConfig(s.scenario, event.TruncatedFile && i == 0); err != nil {
				s.tb.Error(err)
			}
			process.signal(syscall.SIGHUP)
			time.Sleep(reloadInterval)
		}
		if err := r.writeConfig(s.scenario, false); err != nil {
			s.tb.Error(err)
		}
	case Kill:
		s.kill(r, process)
	case Terminate:
		s.terminate(r, process, event)
	}
}

// kill kills a process without warning, and starts the router's next one.
func (s *scenarioRun) kill(r *router, process *process) {
	r.mu.Lock()
	if !process.TerminatedAt.IsZero() || !process.KilledAt.IsZero() {
		r.mu.Unlock()
		return
	}
	process.KilledAt, process.KilledOutright, r.current = time.Now(), true, -1
	r.mu.Unlock()
	process.signal(syscall.SIGKILL)
	<-process.exited
	s.startNext(r)
}

// startNext starts the router's next process, with the current list in its configuration file.
func (s *scenarioRun) startNext(r *router) {
	r.mu.Lock()
	r.knownList = s.discovery[0].list()
	r.mu.Unlock()
	r.waitUntilReady(r.start(s.tb, s.scenario))
	r.openIdleClients(s.scenario.IdleClients, s.stop)
}

// terminate restarts a process like a planned restart: SIGTERM, and SIGKILL at the earliest moment that the
// pages allow.
func (s *scenarioRun) terminate(r *router, process *process, event Event) {
	r.mu.Lock()
	if !process.TerminatedAt.IsZero() || !process.KilledAt.IsZero() {
		r.mu.Unlock()
		return
	}
	process.TerminatedAt = time.Now()
	r.mu.Unlock()
	process.signal(syscall.SIGTERM)
	kill := time.AfterFunc(s.scenario.MaxDeadline()+killDelay, func() {
		select {
		case <-process.exited:
			return
		default:
		}
		r.mu.Lock()
		process.KilledAt = time.Now()
		r.mu.Unlock()
		process.signal(syscall.SIGKILL)
	})
	defer kill.Stop()
	if event.RepeatSignals {
		time.AfterFunc(50*time.Millisecond, func() { process.signal(syscall.SIGTERM) })
		time.AfterFunc(100*time.Millisecond, func() { process.signal(syscall.SIGINT) })
	}
	time.Sleep(event.Duration)
	r.mu.Lock()
	r.current = -1
	r.mu.Unlock()
	if !event.Overlap {
		<-process.exited
	}
	s.startNext(r)
	<-process.exited
}

// disturbDiscovery applies a discovery fault for a while.
func (s *scenarioRun) disturbDiscovery(event Event) {
	now := time.Now()
	s.mu.Lock()
	s.discoveryFaults = append(s.discoveryFaults, interval{now, now.Add(event.Duration + announcedAfterFault)})
	s.mu.Unlock()
	first := s.discovery[0]
	switch event.Kind {
	case DiscoveryDown:
		first.update(func(d *discoveryServer) { d.down = true })
		time.Sleep(event.Duration)
		first.update(func(d *discoveryServer) { d.down = false })
	case DiscoveryRefuses:
		first.update(func(d *discoveryServer) { d.refusing, d.watchEpoch = true, d.watchEpoch+1 })
		time.Sleep(event.Duration)
		first.update(func(d *discoveryServer) { d.refusing = false })
	case WatchesSilent:
		first.update(func(d *discoveryServer) { d.watchEpoch++ })
	case DiscoveryMoves:
		s.moveDiscovery()
	}
}

// moveDiscovery moves all routers to the other discovery server, and then silences the old one.
func (s *scenarioRun) moveDiscovery() {
	for _, r := range s.routers {
		r.mu.Lock()
		r.discovery = s.discovery[1].address
		r.mu.Unlock()
		if err := r.writeConfig(s.scenario, false); err != nil {
			s.tb.Error(err)
		}
		r.lastProcess().signal(syscall.SIGHUP)
	}
	time.Sleep(oldDiscoveryDelay)
	s.discovery[0].update(func(d *discoveryServer) { d.down = true })
}

// setListState changes a node's state in the list, and returns the time by which every router must know of it.
func (s *scenarioRun) setListState(node int, state string) (knownBy time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[node] = state
	entries := s.store.listEntries(s.states)
	for _, d := range s.discovery {
		d.publish(entries)
	}
	now := time.Now()
	for _, fault := range s.discoveryFaults {
		if now.After(fault.from) && now.Before(fault.to) {
			return now.Add(announcedAfterFault)
		}
	}
	return now.Add(announcedAfter)
}

// isUp reports whether a node is listed as up.
func (s *scenarioRun) isUp(node int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[node] == "up"
}

// applyNodeFault applies a fault of a node or of the group for a while.
func (s *scenarioRun) applyNodeFault(event Event) {
	node := s.store.nodes[event.Node]
	set := func(change func()) { s.store.withLock(change) }
	switch event.Kind {
	case NodeHangs:
		set(func() { node.hung = true })
		time.Sleep(event.Duration)
		set(func() { node.hung = false })
	case NodeSlow:
		set(func() { node.delay = s.scenario.TargetLatency })
		time.Sleep(event.Duration)
		set(func() { node.delay = 0 })
	case NodeResets:
		set(func() { node.resetShare = event.Share })
		time.Sleep(event.Duration)
		set(func() { node.resetShare = 0 })
	case NodeClosesConnections:
		node.CloseConnections()
	case SlowConnections:
		set(func() { node.slowConnShare = 1.0 / 3 })
		time.Sleep(event.Duration)
		set(func() { node.slowConnShare = 0 })
	case NodeDrains:
		s.drain(node, event.Duration, false)
	case NodeLeaves:
		s.drain(node, event.Duration, true)
	case Failover:
		s.failover(event)
	}
}

// drain has a node drain, and also leave the list and stop if leaves is set. After a while it is listed as up
// again, and is cold if it had stopped.
func (s *scenarioRun) drain(node *node, duration time.Duration, leaves bool) {
	if !s.isUp(node.index) {
		return
	}
	announced := s.setListState(node.index, "draining")
	s.recorder.withRecord(func(r *Record) {
		r.DrainNotices = append(r.DrainNotices, DrainNotice{Node: node.index, AnnouncedAt: announced})
	})
	if node.isPrimary() {
		time.Sleep(handOverTime)
		s.store.removePrimary(false)
		s.store.electPrimary(node.index, s.isUp)
		s.store.resumeReplication(node.index)
	}
	if leaves {
		time.Sleep(drainTime)
		s.setListState(node.index, "")
		node.Stop()
	}
	time.Sleep(max(duration, drainGrace+announcedAfterFault/3))
	back := time.Now()
	if leaves {
		node.Restart()
		s.recorder.withRecord(func(r *Record) {
			r.ColdStarts = append(r.ColdStarts, ColdStart{node.index, back, back.Add(warmUpTime), allowance()})
		})
	}
	s.recorder.endDrains(node.index, back)
	s.setListState(node.index, "up")
}

// failover makes the primary fail, by stopping or by falling silent, while another node takes over. The former
// primary comes back with the data it had, and resumes replication later.
func (s *scenarioRun) failover(event Event) {
	former := s.store.removePrimary(true)
	if former == nil {
		return
	}
	silent := event.Share > 0.25
	if silent {
		s.store.withLock(func() { former.hung = true })
	} else {
		former.Stop()
	}
	time.AfterFunc(electionTime, func() { s.store.electPrimary(former.index, s.isUp) })
	time.Sleep(event.Duration)
	if silent {
		former.CloseConnections()
		s.store.withLock(func() { former.hung = false })
	} else {
		former.Restart()
		back := time.Now()
		s.recorder.endDrains(former.index, back) // it may have been told to drain meanwhile
		s.recorder.withRecord(func(r *Record) {
			r.ColdStarts = append(r.ColdStarts, ColdStart{former.index, back, back.Add(warmUpTime), allowance()})
		})
		s.setListState(former.index, "up")
	}
	time.Sleep(max(0, electionTime-event.Duration) + rejoinDelay)
	s.store.resumeReplication(former.index)
}
