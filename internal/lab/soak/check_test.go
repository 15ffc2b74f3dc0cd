package soak

import (
	"slices"
	"testing"
	"time"
)

// soundRecord returns a record without findings: one router with one process, and an answered request of each class.
func soundRecord() *Record {
	started := time.Unix(1_790_000_000, 0)
	record := &Record{Scenario: &Scenario{ServerChecks: "off"}, StartedAt: started,
		Processes:    []Process{{StartedAt: started, ReadyAt: started.Add(time.Second), PeakMemory: 1e6, PeakDescriptors: 9}},
		PrimaryTerms: []PrimaryTerm{{Node: 0, From: started}}}
	for i := range ClassNames {
		sent := started.Add(time.Duration(i+2) * time.Second)
		record.Requests = append(record.Requests, Request{ID: ClassNames[i], Class: Class(i), Timeout: time.Second, Sent: sent,
			Answer:   valueOf(0),
			Answered: sent.Add(20 * time.Millisecond)})
		record.Attempts = append(record.Attempts, Attempt{ID: ClassNames[i], ReceivedAt: sent.Add(5 * time.Millisecond),
			Timeout: 990 * time.Millisecond, Executed: true,
			DataTime: sent.Add(5 * time.Millisecond), AnsweredAt: sent.Add(15 * time.Millisecond)})
	}
	return record
}

// closeUnanswered makes a request's connection end without an answer, some time after the request was sent.
func closeUnanswered(request *Request, after time.Duration) {
	request.Answer, request.Answered, request.ConnEnded = "", time.Time{}, request.Sent.Add(after)
}

// Each fault put into a sound record is found under its rule and no other, and what the pages allow is not found.
func TestCheckFindsEachFault(t *testing.T) {
	const ms = time.Millisecond
	for _, testCase := range []struct {
		name        string
		breakRecord func(r *Record)
		want        []Rule
	}{
		{"sound", func(*Record) {}, nil},
		{"answered late", func(r *Record) { r.Requests[0].Answered = r.Requests[0].Sent.Add(1600 * ms) }, []Rule{Unanswered}},
		{"answered late, pipelined behind another", func(r *Record) {
			r.Requests[0].Answered = r.Requests[0].Sent.Add(1600 * ms)
			r.Requests[0].PreviousAnswered = r.Requests[0].Sent.Add(500 * ms)
		}, nil},
		{"never answered", func(r *Record) { r.Requests[0].Answered = time.Time{} }, []Rule{Unanswered}},
		{"client closed the connection", func(r *Record) {
			r.Requests[0].Answered, r.Requests[0].ClientClosed = time.Time{}, r.Requests[0].Sent.Add(ms)
		}, nil},
		{"closed unanswered", func(r *Record) { closeUnanswered(&r.Requests[0], 300*ms) }, []Rule{Unanswered}},
		{"closed unanswered at once, but attempted", func(r *Record) { closeUnanswered(&r.Requests[0], 20*ms) }, []Rule{Unanswered}},
		{"crossed the close", func(r *Record) { closeUnanswered(&r.Requests[0], 20*ms); r.Attempts[0].ID = "another" }, nil},
		{"connection reset before the request was read", func(r *Record) {
			closeUnanswered(&r.Requests[0], 200*ms)
			r.Requests[0].ConnReset, r.Requests[0].OnlyRequest, r.Attempts[0].ID = true, true, "another"
		}, nil},
		{"answer truncated", func(r *Record) { closeUnanswered(&r.Requests[0], 20*ms); r.Requests[0].Truncated = true }, []Rule{Truncated}},
		{"killed without SIGTERM", func(r *Record) {
			closeUnanswered(&r.Requests[0], 300*ms)
			r.Processes[0].KilledAt, r.Processes[0].KilledOutright = r.Requests[0].Sent.Add(299*ms), true
		}, nil},
		{"killed after SIGTERM", func(r *Record) {
			closeUnanswered(&r.Requests[0], 300*ms)
			r.Processes[0].TerminatedAt, r.Processes[0].KilledAt = r.StartedAt, r.Requests[0].Sent.Add(299*ms)
		}, []Rule{Unanswered}},
		{"executed twice", func(r *Record) { r.Attempts = append(r.Attempts, r.Attempts[OnceWrite]) }, []Rule{Duplicate}},
		{"executed and rejected", func(r *Record) { r.Requests[OnceWrite].Answer = "53300" }, []Rule{Duplicate}},
		{"token write retried within its window", func(r *Record) { r.Attempts = append(r.Attempts, r.Attempts[TokenWrite]) }, nil},
		{"token write retried after its window", func(r *Record) {
			again := r.Attempts[TokenWrite]
			again.ReceivedAt, again.Timeout = again.ReceivedAt.Add(4*time.Second), 0
			r.Attempts = append(r.Attempts, again)
		}, []Rule{Duplicate, DeadlineTooLong}},
		{"attempt after the client closed", func(r *Record) { r.Requests[0].ClientClosed = r.Attempts[0].ReceivedAt.Add(-160 * ms) }, []Rule{ClientGone}},
		{"attempt after the client canceled", func(r *Record) { r.Requests[0].Canceled = r.Attempts[0].ReceivedAt.Add(-160 * ms) },
			[]Rule{ClientGone}},
		{"attempt just after the cancel", func(r *Record) { r.Requests[0].Canceled = r.Attempts[0].ReceivedAt.Add(-90 * ms) }, nil},
		{"attempt after the cancel, but the harness was delayed", func(r *Record) {
			r.Requests[0].Canceled = r.Attempts[0].ReceivedAt.Add(-160 * ms)
			r.HarnessDelays = []HarnessDelay{{r.Attempts[0].ReceivedAt, 80 * ms}}
		}, nil},
		{"attempt after the drain grace", func(r *Record) {
			r.DrainNotices = []DrainNotice{{Node: 0, AnnouncedAt: r.Attempts[5].ReceivedAt.Add(-700 * ms)}}
		}, []Rule{AfterDrain}},
		{"attempt within the drain grace", func(r *Record) {
			r.DrainNotices = []DrainNotice{{Node: 0, AnnouncedAt: r.Attempts[5].ReceivedAt.Add(-500 * ms)}}
		}, nil},
		{"attempt after the node is up again", func(r *Record) {
			r.DrainNotices = []DrainNotice{{Node: 0, AnnouncedAt: r.StartedAt, UpAgainAt: r.StartedAt.Add(time.Second)}}
		}, nil},
		{"cold node overloaded", func(r *Record) {
			r.ColdStarts = []ColdStart{{Node: 0, StartedAt: r.StartedAt, WarmAt: r.StartedAt.Add(warmUpTime), Allowance: 2}}
			for range 40 {
				r.Attempts = append(r.Attempts, Attempt{ID: "more", ReceivedAt: r.StartedAt.Add(500 * ms)})
			}
		}, []Rule{ColdOverload}},
		{"stale fresh read", func(r *Record) { r.Attempts[Fresh].DataTime = r.Requests[Fresh].Sent.Add(-5 * ms) }, []Rule{Stale}},
		{"stale bounded read", func(r *Record) { r.Attempts[Bounded].DataTime = r.Attempts[Bounded].ReceivedAt.Add(-500 * ms) }, []Rule{Stale}},
		{"bounded read within its bound", func(r *Record) { r.Attempts[Bounded].DataTime = r.Attempts[Bounded].ReceivedAt.Add(-390 * ms) }, nil},
		{"stale session read", func(r *Record) { r.Requests[Session].SessionWrite = r.Attempts[Session].DataTime.Add(5 * ms) }, []Rule{Stale}},
		{"old data for an eventual read", func(r *Record) { r.Attempts[Eventual].DataTime = r.StartedAt }, nil},
		{"stale answer that did not reach the client", func(r *Record) {
			r.Attempts[Fresh].DataTime, r.Requests[Fresh].Answer = r.StartedAt, valueOf(1)
		}, nil},
		{"stale read at a node that handed over", func(r *Record) {
			r.Attempts[Fresh].DataTime = r.Requests[Fresh].Sent.Add(-5 * ms)
			r.PrimaryTerms[0].To = r.Attempts[Fresh].DataTime
		}, nil},
		{"stale read at a node that was lost", func(r *Record) {
			r.Attempts[Fresh].DataTime = r.Requests[Fresh].Sent.Add(-5 * ms)
			r.PrimaryTerms[0].To, r.PrimaryTerms[0].Lost = r.Attempts[Fresh].DataTime, true
		}, []Rule{Stale}},
		{"stale read at a node that handed over, as the router knew", func(r *Record) {
			r.PrimaryTerms[0].To = r.Requests[Eventual].Sent
			r.Attempts[Bounded].ShowedReplica = true
			r.Attempts[Fresh].DataTime = r.Requests[Eventual].Sent
		}, []Rule{Stale}},
		{"timeout too long", func(r *Record) { r.Attempts[0].Timeout = 1200 * ms }, []Rule{DeadlineTooLong}},
		{"timeout too long after a pause", func(r *Record) {
			r.Attempts[0].Timeout = 1147 * ms
			r.Pauses = []Pause{{From: r.Attempts[0].ReceivedAt.Add(-155 * ms), To: r.Attempts[0].ReceivedAt.Add(-ms)}}
		}, nil},
		{"timeout too long after a pause of another router", func(r *Record) {
			r.Attempts[0].Timeout = 1147 * ms
			r.Pauses = []Pause{{Router: 1, From: r.Attempts[0].ReceivedAt.Add(-155 * ms), To: r.Attempts[0].ReceivedAt.Add(-ms)}}
		}, []Rule{DeadlineTooLong}},
		{"timeout too long from a process that waited for a CPU", func(r *Record) {
			r.Attempts[0].Timeout = 1200 * ms
			r.CPUWaits = []CPUWait{{From: r.Requests[0].Sent, To: r.Attempts[0].ReceivedAt, Duration: 70 * ms}}
		}, nil},
		{"answered late by a process that waited for a CPU", func(r *Record) {
			r.Requests[0].Answered = r.Requests[0].Sent.Add(1600 * ms)
			r.CPUWaits = []CPUWait{{From: r.Requests[0].Sent, To: r.Requests[0].Answered, Duration: 200 * ms}}
		}, nil},
		{"answered late while another process waited for a CPU", func(r *Record) {
			r.Requests[0].Answered = r.Requests[0].Sent.Add(1600 * ms)
			r.CPUWaits = []CPUWait{{Router: 1, From: r.Requests[0].Sent, To: r.Requests[0].Answered, Duration: 200 * ms}}
		}, []Rule{Unanswered}},
		{"timeout too long, CPU wait before the request", func(r *Record) {
			r.Attempts[0].Timeout = 1200 * ms
			r.CPUWaits = []CPUWait{{From: r.StartedAt, To: r.Requests[0].Sent.Add(-ms), Duration: 70 * ms}}
		}, []Rule{DeadlineTooLong}},
		{"exited by itself", func(r *Record) {
			r.Processes[0].ExitedAt, r.Processes[0].Err = r.StartedAt.Add(time.Minute), "exit status 2"
		}, []Rule{ExitedUnexpectedly}},
		{"failed after SIGTERM", func(r *Record) {
			r.Processes[0].TerminatedAt, r.Processes[0].ExitedAt, r.Processes[0].Err = r.StartedAt, r.StartedAt.Add(time.Minute), "exit status 1"
		}, []Rule{ExitedUnexpectedly}},
		{"not ready", func(r *Record) { r.Processes[0].ReadyAt = time.Time{} }, []Rule{NotReady, NotReady}},
		{"ready late", func(r *Record) { r.Processes[0].ReadyAt = r.StartedAt.Add(11 * time.Second) }, []Rule{NotReady}},
		{"over the memory limit", func(r *Record) { r.Processes[0].PeakMemory = memoryLimitMB*1e6 + 1 }, []Rule{OverLimit}},
		{"over the descriptor limit", func(r *Record) { r.Processes[0].PeakDescriptors = descriptorLimit + 1 }, []Rule{OverLimit}},
		{"serves next to nothing", func(r *Record) {
			for i := range r.Requests[1:] {
				r.Requests[i+1].Answer, r.Attempts[i+1].ID = "53300", "another"
			}
		}, []Rule{Unserved}},
		{"one process serves nothing", func(r *Record) {
			for i := range minRequestsPerProcess {
				sent := r.StartedAt.Add(time.Duration(i) * ms)
				r.Requests = append(r.Requests, Request{ID: "refused", Process: 1, Timeout: time.Second, Sent: sent, Answer: "53300", Answered: sent})
				for range 2 {
					r.Requests = append(r.Requests, Request{ID: "served", Timeout: time.Second, Sent: sent, Answer: valueOf(0), Answered: sent})
				}
			}
		}, []Rule{Unserved}},
	} {
		r := soundRecord()
		testCase.breakRecord(r)
		var found []Rule
		for _, f := range Check(r) {
			found = append(found, f.Rule)
		}
		slices.Sort(found)
		slices.Sort(testCase.want)
		if !slices.Equal(found, testCase.want) {
			t.Errorf("%s: found %v, want %v: %v", testCase.name, found, testCase.want, Check(r))
		}
	}
}

// The same seed draws the same scenario, and scenarios keep to their bounds and draw every kind of event.
func TestNewScenario(t *testing.T) {
	kinds := map[Kind]int{}
	for seed := range uint64(200) {
		scenario, second := NewScenario(seed), NewScenario(seed)
		if (&Outcome{Scenario: scenario}).Details() != (&Outcome{Scenario: second}).Details() {
			t.Fatalf("seed %d draws two different scenarios", seed)
		}
		if scenario.Routers < 1 || scenario.Routers > maxRouters || scenario.Nodes < minNodes || scenario.Nodes > maxNodes {
			t.Errorf("seed %d has %d routers and %d nodes", seed, scenario.Routers, scenario.Nodes)
		}
		for _, deadline := range scenario.Deadlines {
			if deadline < minDeadline || deadline > maxDeadline {
				t.Errorf("seed %d has a deadline of %v", seed, deadline)
			}
		}
		for _, event := range scenario.Events {
			kinds[event.Kind]++
			if event.At < 0 || event.At > scenario.Duration {
				t.Errorf("seed %d has an event at %v", seed, event.At)
			}
		}
	}
	if len(kinds) != 16 {
		t.Errorf("%d kinds of events are drawn: %v", len(kinds), kinds)
	}
}

// Bad clients are drawn by the seed, of every kind, and leave the rest of the scenario as it is.
func TestAddBadClients(t *testing.T) {
	kinds := map[BadClient]int{}
	for seed := range uint64(100) {
		scenario, second, without := NewScenario(seed), NewScenario(seed), NewScenario(seed)
		scenario.AddBadClients()
		second.AddBadClients()
		if (&Outcome{Scenario: scenario}).Details() != (&Outcome{Scenario: second}).Details() {
			t.Fatalf("seed %d draws two different scenarios", seed)
		}
		for _, group := range scenario.BadClients {
			kinds[group.Kind]++
			if group.Count < 1 || group.Count > maxBadClientsPerKind {
				t.Errorf("seed %d has %d clients of kind %s", seed, group.Count, group.Kind)
			}
		}
		scenario.BadClients = nil
		if (&Outcome{Scenario: scenario}).Details() != (&Outcome{Scenario: without}).Details() {
			t.Errorf("seed %d draws another scenario with bad clients", seed)
		}
	}
	if len(kinds) != len(badClientKinds) {
		t.Errorf("%d kinds of bad clients are drawn: %v", len(kinds), kinds)
	}
}

// A node that is listed as up again by another event than its drain is drained no longer, and one whose drain is announced later is.
func TestEndDrains(t *testing.T) {
	rec := &recorder{}
	first, second := time.Unix(100, 0), time.Unix(200, 0)
	rec.record.DrainNotices = []DrainNotice{{Node: 0}, {Node: 1}}
	rec.endDrains(0, first)
	rec.record.DrainNotices = append(rec.record.DrainNotices, DrainNotice{Node: 0})
	rec.endDrains(0, second)
	want := []time.Time{first, {}, second}
	for i, notice := range rec.record.DrainNotices {
		if !notice.UpAgainAt.Equal(want[i]) {
			t.Errorf("notice %d ends at %v, want %v", i, notice.UpAgainAt, want[i])
		}
	}
}
