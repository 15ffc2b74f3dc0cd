package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Rule identifies the rule that a finding breaks.
type Rule string

// The rules of the platform's pages.
const (
	Unanswered         Rule = "lost"       // accepted and not answered, or answered over 0.5 s after its deadline
	Truncated          Rule = "cut"        // the connection ended within the answer
	Duplicate          Rule = "duplicate"  // executed more often than its class allows
	ClientGone         Rule = "gone"       // an attempt began over 0.1 s after the client closed or canceled
	AfterDrain         Rule = "drain"      // an attempt began after the grace of its draining or leaving node
	ColdOverload       Rule = "failback"   // a cold node received more than it can take
	Stale              Rule = "stale"      // answered from older data than the class allows
	DeadlineTooLong    Rule = "deadline"   // a node was sent a longer timeout than the client has left
	ExitedUnexpectedly Rule = "ended"      // a process exited without a signal to do so
	NotReady           Rule = "not ready"  // a process was not ready in time
	OverLimit          Rule = "over limit" // a process exceeded its memory or descriptors
	Unserved           Rule = "unserved"   // hardly any request was served
)

// Finding is a broken rule.
type Finding struct {
	Rule      Rule
	RequestID string        // empty if the finding concerns no single request
	Offset    time.Duration // when that request was sent, from the start of the scenario
	Detail    string
}

// Bounds of the checks, from the platform's pages.
const (
	answerTolerance       = 500 * time.Millisecond
	clientGoneTolerance   = 100 * time.Millisecond
	deadlineTolerance     = 150 * time.Millisecond
	ruleTolerance         = 50 * time.Millisecond  // allowance for socket latency, added to every time limit
	crossingWindow        = 50 * time.Millisecond  // within this, a request may cross the close of an idle connection
	answerKnownAfter      = 100 * time.Millisecond // from then on the router knows what an answer showed
	readyLimit            = 30 * time.Second
	usualReadyLimit       = 10 * time.Second
	minReadyShare         = 0.9
	minServedShare        = 1.0 / 3 // the pages require this share of what a policy with delayed knowledge of the nodes would serve
	minRequestsPerProcess = 60      // with fewer requests a process may have served none
)

// Check checks a record against every rule.
func Check(record *Record) []Finding {
	c := &checker{record: record, attempts: map[string][]*Attempt{}, requests: map[string]*Request{}}
	for i := range record.Attempts {
		attempt := &record.Attempts[i]
		c.attempts[attempt.ID] = append(c.attempts[attempt.ID], attempt)
	}
	for i := range record.Requests {
		c.requests[record.Requests[i].ID] = &record.Requests[i]
	}
	for i := range record.Requests {
		c.checkAnswer(&record.Requests[i])
		c.checkExecutions(&record.Requests[i])
	}
	for i := range record.Attempts {
		if request := c.requests[record.Attempts[i].ID]; request != nil {
			c.checkAttemptTime(request, &record.Attempts[i])
			c.checkFreshness(request, &record.Attempts[i])
		}
		c.checkDrain(&record.Attempts[i])
	}
	for i := range record.ColdStarts {
		c.checkColdStart(&record.ColdStarts[i])
	}
	c.checkProcesses()
	c.checkServed()
	return c.findings
}

// checker collects the findings on one record.
type checker struct {
	record   *Record
	attempts map[string][]*Attempt // by request
	requests map[string]*Request
	findings []Finding
}

// report adds a finding. id is that of the request, or empty.
func (c *checker) report(rule Rule, id, format string, args ...any) {
	offset := time.Duration(0)
	if request := c.requests[id]; request != nil {
		offset = request.Sent.Sub(c.record.StartedAt).Truncate(time.Millisecond)
		format += fmt.Sprintf(" (router %d, process %d)", request.Router, request.Process)
	}
	c.findings = append(c.findings, Finding{rule, id, offset, fmt.Sprintf(format, args...)})
}

// harnessDelay returns by how much a time taken at that moment may be late because the harness itself was
// delayed.
func (c *checker) harnessDelay(at time.Time) (longest time.Duration) {
	for _, delay := range c.record.HarnessDelays {
		if delay.EndedAt.Add(-delay.Duration).Before(at.Add(ruleTolerance)) && delay.EndedAt.After(at.Add(-ruleTolerance)) {
			longest = max(longest, delay.Duration)
		}
	}
	return longest
}

// processOf returns the process that received a request, or nil.
func (c *checker) processOf(request *Request) *Process {
	for i := range c.record.Processes {
		if process := &c.record.Processes[i]; process.Router == request.Router && process.Number == request.Process {
			return process
		}
	}
	return nil
}

// checkAnswer checks that a request has one complete answer in time.
func (c *checker) checkAnswer(request *Request) {
	if !request.Answered.IsZero() {
		due := request.Sent
		if request.PreviousAnswered.After(due) {
			due = request.PreviousAnswered
		}
		late := request.Answered.Sub(due) - request.Timeout
		cpuWait := c.cpuWait(request.Router, request.Sent, request.Answered)
		if late > answerTolerance+ruleTolerance+c.harnessDelay(request.Answered)+cpuWait && request.ClientClosed.IsZero() {
			c.report(Unanswered, request.ID, "answered %v after its deadline, waited %v for a CPU", late, cpuWait)
		}
		return
	}
	if !request.ClientClosed.IsZero() || c.killedWith(request) {
		return
	}
	if request.ConnEnded.IsZero() {
		c.report(Unanswered, request.ID, "class %s, never answered", ClassNames[request.Class])
		return
	}
	if request.Truncated {
		c.report(Truncated, request.ID, "the connection ended within its answer")
		return
	}
	if !c.crossedClose(request) {
		c.report(Unanswered, request.ID, "class %s, its connection ended %v after it was sent, reset %t, only request %t, %d attempts", ClassNames[request.Class],
			request.ConnEnded.Sub(request.Sent), request.ConnReset, request.OnlyRequest, len(c.attempts[request.ID]))
	}
}

// crossedClose reports whether a request crossed the close of its connection unread, so that its client sends
// it again. That is so if the connection ended shortly after the client could have noticed, or, with no other
// request waiting, by a reset, which means that received data was not read.
func (c *checker) crossedClose(request *Request) bool {
	noticeable := request.Sent // from then on the client would have noticed the close
	if request.ReadFrom.After(noticeable) {
		noticeable = request.ReadFrom
	}
	shortly := request.ConnEnded.Sub(noticeable) <= crossingWindow+c.harnessDelay(request.ConnEnded)
	return len(c.attempts[request.ID]) == 0 && (shortly || request.ConnReset && request.OnlyRequest)
}

// killedWith reports whether a request's process was killed without SIGTERM while the request was in flight.
func (c *checker) killedWith(request *Request) bool {
	process := c.processOf(request)
	return process != nil && process.KilledOutright && !request.ConnEnded.IsZero() && !request.ConnEnded.Before(process.KilledAt)
}

// checkExecutions checks how often a request took effect.
func (c *checker) checkExecutions(request *Request) {
	var executed []*Attempt
	for _, attempt := range c.attempts[request.ID] {
		if attempt.Executed {
			executed = append(executed, attempt)
		}
	}
	switch {
	case request.Class == OnceWrite && len(executed) > 1:
		c.report(Duplicate, request.ID, "ran %d times", len(executed))
	case request.Class == OnceWrite && len(executed) > 0 && (request.Answer == "53300" || request.Answer == "57P03"):
		c.report(Duplicate, request.ID, "executed, but answered with the rejection %s", request.Answer)
	case request.Class == TokenWrite && len(executed) > 1:
		first := slices.MinFunc(executed, func(a, b *Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		for _, attempt := range executed {
			if attempt.ReceivedAt.Sub(first.ReceivedAt) > tokenWindow+ruleTolerance+c.harnessDelay(attempt.ReceivedAt) {
				c.report(Duplicate, request.ID, "ran again %v after the first time", attempt.ReceivedAt.Sub(first.ReceivedAt))
			}
		}
	}
}

// checkAttemptTime checks that an attempt did not begin after its client had gone, nor with a longer timeout
// than the client has left.
func (c *checker) checkAttemptTime(request *Request, attempt *Attempt) {
	for _, gone := range []time.Time{request.ClientClosed, request.Canceled} {
		if !gone.IsZero() && attempt.ReceivedAt.Sub(gone) > clientGoneTolerance+c.harnessDelay(attempt.ReceivedAt) {
			c.report(ClientGone, request.ID, "attempt reached node %d %v after its client had gone", attempt.Node, attempt.ReceivedAt.Sub(gone))
		}
	}
	remaining := request.Timeout - attempt.ReceivedAt.Sub(request.Sent)
	if attempt.Timeout-remaining >
		deadlineTolerance+c.harnessDelay(attempt.ReceivedAt)+c.excessPause(request, attempt)+c.cpuWaitBefore(request, attempt) {
		c.report(DeadlineTooLong, request.ID, "node %d was told %v, and its client has %v left; stopped %v too long, starved for %v",
			attempt.Node, attempt.Timeout, remaining, c.excessPause(request, attempt), c.cpuWaitBefore(request, attempt))
	}
}

// excessPause returns by how much a router was suspended longer than 0.15 s just before an attempt reached its
// node. The pages assume that routers are held up for at most 0.15 s between reading their clock and writing,
// and deadlineTolerance covers that much.
func (c *checker) excessPause(request *Request, attempt *Attempt) (longest time.Duration) {
	for _, pause := range c.record.Pauses {
		if pause.Router == request.Router && !attempt.ReceivedAt.Before(pause.From) && attempt.ReceivedAt.Before(pause.To.Add(ruleTolerance)) {
			longest = max(longest, pause.To.Sub(pause.From)-suspendTime)
		}
	}
	return longest
}

// cpuWaitBefore returns how long a router's process waited for a CPU between a request's sending and an
// attempt's arrival at its node. The process cannot know how long a query waited in the socket in that time.
func (c *checker) cpuWaitBefore(request *Request, attempt *Attempt) time.Duration {
	return c.cpuWait(request.Router, request.Sent, attempt.ReceivedAt)
}

// cpuWait returns how long a router's process waited for a CPU between two times, by the kernel's statistics.
// The pages assume that routers are held up for at most 0.15 s; longer waits are the machine's fault, so they
// are added to the tolerances.
func (c *checker) cpuWait(router int, from, to time.Time) (total time.Duration) {
	for _, wait := range c.record.CPUWaits {
		if wait.Router == router && wait.To.After(from) && wait.From.Before(to.Add(ruleTolerance)) {
			total += wait.Duration
		}
	}
	return total
}

// checkFreshness checks the data that a read was answered from. Answers that the client did not get do not
// count.
func (c *checker) checkFreshness(request *Request, attempt *Attempt) {
	if attempt.DataTime.IsZero() || request.Class.IsWrite() || request.Class == Eventual || request.Answer != valueOf(attempt.Node) {
		return
	}
	dataTime, detail := attempt.DataTime.Add(time.Millisecond), ""
	switch {
	case request.Class == Fresh && dataTime.Before(request.Sent.Add(-request.WriteTime)):
		detail = fmt.Sprintf("a fresh read at node %d, by data %v older than its coming", attempt.Node, request.Sent.Sub(attempt.DataTime))
	case request.Class == Bounded && attempt.ReceivedAt.Sub(dataTime) > stalenessBound+ruleTolerance+c.harnessDelay(attempt.ReceivedAt):
		detail = fmt.Sprintf("a bounded read at node %d, by data %v old", attempt.Node, attempt.ReceivedAt.Sub(attempt.DataTime))
	case request.Class == Session && !request.SessionWrite.IsZero() && dataTime.Before(request.SessionWrite):
		detail = fmt.Sprintf("a session read at node %d, by data %v older than its session's write", attempt.Node,
			request.SessionWrite.Sub(attempt.DataTime))
	}
	if detail != "" && !c.isExcused(request, attempt) {
		c.report(Stale, request.ID, "%s", detail)
	}
}

// isExcused reports whether a read went to a former primary that has handed over, before any answer had shown
// that to its router. The page on rules excuses this. A read at a primary that was lost is not excused, as its
// routers have found it unreachable.
func (c *checker) isExcused(request *Request, attempt *Attempt) bool {
	for _, term := range c.record.PrimaryTerms {
		if term.Node != attempt.Node || term.To.IsZero() || term.Lost || attempt.ReceivedAt.Before(term.To.Add(-ruleTolerance)) {
			continue
		}
		if !c.wasShown(request.Router, attempt.Node, term.To, attempt.ReceivedAt.Add(-answerKnownAfter)) {
			return true
		}
	}
	return false
}

// wasShown reports whether an answer to a router showed between two times that a node is no primary.
func (c *checker) wasShown(router, node int, from, to time.Time) bool {
	for i := range c.record.Attempts {
		attempt := &c.record.Attempts[i]
		if attempt.Node != node || !attempt.ShowedReplica || attempt.AnsweredAt.Before(from) || attempt.AnsweredAt.After(to) {
			continue
		}
		if request := c.requests[attempt.ID]; request != nil && request.Router == router {
			return true
		}
	}
	return false
}

// checkDrain checks that no attempt reached a node after the grace of its draining or leaving.
func (c *checker) checkDrain(attempt *Attempt) {
	for _, notice := range c.record.DrainNotices {
		if notice.Node != attempt.Node || !notice.UpAgainAt.IsZero() && attempt.ReceivedAt.After(notice.UpAgainAt) {
			continue
		}
		if late := attempt.ReceivedAt.Sub(notice.AnnouncedAt) - drainGrace; late > ruleTolerance+c.harnessDelay(attempt.ReceivedAt) {
			c.report(AfterDrain, attempt.ID, "attempt reached node %d %v after its drain grace", attempt.Node, late)
		}
	}
}

// overloadThreshold returns how many requests overload a cold node to which the settings allow so many. The
// margin covers random variation.
func overloadThreshold(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// checkColdStart checks that all routers together did not overload a node that had just started.
func (c *checker) checkColdStart(start *ColdStart) {
	var received []time.Time
	for i := range c.record.Attempts {
		if attempt := &c.record.Attempts[i]; attempt.Node == start.Node && !attempt.ReceivedAt.Before(start.StartedAt) &&
			attempt.ReceivedAt.Before(start.WarmAt) {
			received = append(received, attempt.ReceivedAt)
		}
	}
	slices.SortFunc(received, func(a, b time.Time) int { return a.Compare(b) })
	windowStart := 0
	for i := range received {
		for received[i].Sub(received[windowStart]) >= overloadWindow {
			windowStart++
		}
		age := received[i].Sub(start.StartedAt) - overloadWindow/2
		capacity := startCapacity + (1-startCapacity)*max(0, float64(age)/float64(start.WarmAt.Sub(start.StartedAt)))
		if sent, threshold := float64(i-windowStart+1), overloadThreshold(start.Allowance*capacity/startCapacity); sent > threshold {
			c.report(ColdOverload, "", "node %d was sent %.0f requests in %v, and takes %.1f", start.Node, sent, overloadWindow, threshold)
			return
		}
	}
}

// checkProcesses checks how each process started, ran and exited.
func (c *checker) checkProcesses() {
	slow, started := 0, 0
	for i := range c.record.Processes {
		process := &c.record.Processes[i]
		name := fmt.Sprintf("router %d, process %d", process.Router, process.Number)
		toldToExit := !process.TerminatedAt.IsZero() || !process.KilledAt.IsZero()
		if !process.ExitedAt.IsZero() && !toldToExit {
			c.report(ExitedUnexpectedly, "", "%s ended by itself: %s", name, process.Err)
		}
		if !process.TerminatedAt.IsZero() && process.KilledAt.IsZero() && process.Err != "" {
			c.report(ExitedUnexpectedly, "", "%s exited after SIGTERM with %s", name, process.Err)
		}
		if process.PeakMemory > memoryLimitMB*1e6 {
			c.report(OverLimit, "", "%s used %d bytes of memory", name, process.PeakMemory)
		}
		if process.PeakDescriptors > descriptorLimit {
			c.report(OverLimit, "", "%s had %d descriptors open", name, process.PeakDescriptors)
		}
		if toldToExit && process.ReadyAt.IsZero() {
			continue // it was told to exit before it could be ready
		}
		took := process.ReadyAt.Sub(process.StartedAt)
		if started++; process.ReadyAt.IsZero() || took > usualReadyLimit {
			slow++
		}
		if process.ReadyAt.IsZero() || took > readyLimit {
			c.report(NotReady, "", "%s was not ready within %v", name, readyLimit)
		}
	}
	if float64(started-slow) < minReadyShare*float64(started) {
		c.report(NotReady, "", "%d of %d processes were not ready within %v", slow, started, usualReadyLimit)
	}
}

// checkServed checks that enough was served, so that a run in which routers reject everything does not pass.
func (c *checker) checkServed() {
	type processID struct{ router, number int }
	total, byProcess := ServedShare(c.record), map[processID][2]int{}
	for i := range c.record.Requests {
		request := &c.record.Requests[i]
		count := byProcess[processID{request.Router, request.Process}]
		count[0]++
		if request.isServed() {
			count[1]++
		}
		byProcess[processID{request.Router, request.Process}] = count
	}
	if total < minServedShare {
		c.report(Unserved, "", "%.3f of %d requests were served", total, len(c.record.Requests))
	}
	for id, count := range byProcess {
		if count[0] >= minRequestsPerProcess && count[1] == 0 {
			c.report(Unserved, "", "router %d, process %d served none of %d", id.router, id.number, count[0])
		}
	}
}

// isServed reports whether the request was answered with a value.
func (r *Request) isServed() bool { return strings.HasPrefix(r.Answer, valuePrefix) }

// ServedShare returns the share of the requests that were answered with a value.
func ServedShare(record *Record) float64 {
	served := 0
	for i := range record.Requests {
		if record.Requests[i].isServed() {
			served++
		}
	}
	return float64(served) / float64(max(len(record.Requests), 1))
}

// countByRule returns the number of findings of each rule, as sorted text.
func countByRule(findings []Finding) (counts []string) {
	numbers := map[Rule]int{}
	for _, f := range findings {
		numbers[f.Rule]++
	}
	for rule, n := range numbers {
		counts = append(counts, fmt.Sprintf("%s %d", rule, n))
	}
	slices.SortFunc(counts, cmp.Compare)
	return counts
}
