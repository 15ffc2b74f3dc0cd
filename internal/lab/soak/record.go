package soak

import (
	"sync"
	"time"
)

// Request is a request as its client saw it. Times of events that did not happen are zero.
type Request struct {
	ID               string
	Router           int
	Process          int // number among the router's processes
	Class            Class
	Timeout          time.Duration
	Sent             time.Time
	PreviousAnswered time.Time     // when the previous query on the connection was answered, if this one was pipelined behind it
	WriteTime        time.Duration // how long the client took to write it
	Answer           string        // the value, or the SQLSTATE of an error
	Answered         time.Time
	ConnEnded        time.Time // when its connection ended without a complete answer
	Truncated        bool      // part of an answer had arrived by then
	ConnReset        bool      // the connection ended with a reset: the router had not read everything
	OnlyRequest      bool      // no other request was waiting on the connection
	ClientClosed     time.Time // when its client closed the connection
	Canceled         time.Time
	ReadFrom         time.Time // when its client began to read, if later than Sent
	SessionWrite     time.Time // commit time of the session's last write, for session reads
}

// Attempt is an attempt as its node saw it.
type Attempt struct {
	ID            string
	Node          int
	ReceivedAt    time.Time
	Timeout       time.Duration // as the router sent it to the node
	Executed      bool
	DataTime      time.Time // time up to which the node had all writes, for a read that was answered
	AnsweredAt    time.Time
	ShowedReplica bool // the answer showed the router that the node is a replica
}

// PrimaryTerm is a period in which a node was the primary.
type PrimaryTerm struct {
	Node     int
	From, To time.Time // To is zero while the period lasts
	Lost     bool      // the node was lost; otherwise it handed over
}

// DrainNotice is a change of the list by which a node drains or leaves.
type DrainNotice struct {
	Node        int
	AnnouncedAt time.Time // from then on every router must know of it
	UpAgainAt   time.Time // when the node is listed as up again; zero: never
}

// ColdStart is a start of a node during the scenario.
type ColdStart struct {
	Node      int
	StartedAt time.Time
	WarmAt    time.Time
	Allowance float64 // requests of mean work within overloadWindow that the settings allow it at its start
}

// Process is one process of a router.
type Process struct {
	Router, Number     int
	StartedAt, ReadyAt time.Time
	TerminatedAt       time.Time // when SIGTERM was sent
	KilledAt           time.Time // when SIGKILL was sent
	KilledOutright     bool      // without a SIGTERM before
	ExitedAt           time.Time
	Err                string // how it exited; empty for exit status 0
	PeakMemory         int64  // bytes
	PeakDescriptors    int
}

// Record is everything recorded in the run of a scenario.
type Record struct {
	Scenario      *Scenario
	StartedAt     time.Time
	Requests      []Request
	Attempts      []Attempt
	DrainNotices  []DrainNotice
	ColdStarts    []ColdStart
	PrimaryTerms  []PrimaryTerm
	Processes     []Process
	HarnessDelays []HarnessDelay
	Pauses        []Pause
	CPUWaits      []CPUWait
}

// Pause is a period in which a router's process was suspended by SIGSTOP.
type Pause struct {
	Router   int
	From, To time.Time
}

// CPUWait is a period in which a router's process waited for a CPU, by the kernel's statistics.
type CPUWait struct {
	Router   int
	From, To time.Time // times of the samples around it
	Duration time.Duration
}

// HarnessDelay is a delay of the harness itself, which may have taken times late by as much.
type HarnessDelay struct {
	EndedAt  time.Time
	Duration time.Duration
}

// recorder collects the record during a run. It is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	record Record
}

// addRequest adds a request.
func (rec *recorder) addRequest(r Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.record.Requests = append(rec.record.Requests, r)
}

// addAttempt adds an attempt and returns its index.
func (rec *recorder) addAttempt(a Attempt) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.record.Attempts = append(rec.record.Attempts, a)
	return len(rec.record.Attempts) - 1
}

// updateAttempt changes the attempt of that index.
func (rec *recorder) updateAttempt(index int, change func(*Attempt)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	change(&rec.record.Attempts[index])
}

// endDrains records that a node is about to be listed as up again, which ends all drains of it that have been announced.
func (rec *recorder) endDrains(node int, at time.Time) {
	rec.withRecord(func(r *Record) {
		for i := range r.DrainNotices {
			notice := &r.DrainNotices[i]
			if notice.Node == node && notice.UpAgainAt.IsZero() {
				notice.UpAgainAt = at
			}
		}
	})
}

// withRecord calls change with the lock held.
func (rec *recorder) withRecord(change func(*Record)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	change(&rec.record)
}

// beginTerm records that a node becomes the primary.
func (rec *recorder) beginTerm(node int) {
	rec.withRecord(func(r *Record) { r.PrimaryTerms = append(r.PrimaryTerms, PrimaryTerm{Node: node, From: time.Now()}) })
}

// endTerm records that the current primary was lost, or handed over.
func (rec *recorder) endTerm(at time.Time, lost bool) {
	rec.withRecord(func(r *Record) {
		term := &r.PrimaryTerms[len(r.PrimaryTerms)-1]
		term.To, term.Lost = at, lost
	})
}
