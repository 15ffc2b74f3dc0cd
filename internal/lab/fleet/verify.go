package fleet

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/lab/day"
	"sedgestream/internal/lab/evenness"
	"sedgestream/internal/message"
	"sedgestream/internal/standin"
)

// Verdict is the outcome of a scenario. Times are in probe periods.
type Verdict struct {
	ConvergedAfter      float64 // from the end of the last fault until all had the same, correct view; -1: not within the grace
	DetectionTime       float64 // longest from a death until no instance that could know of it believed the dead one alive
	LongestFalseFailure float64 // longest time that an instance called a live and reachable one failed
	Answered            int     // requests that were answered in time, also by a rejection or an error
	Excused             int     // requests whose router was ended or disturbed meanwhile
	Rejected            int
	Drains              int              // nodes whose drain was announced
	ColdShare           float64          // the most that a cold node received, as a share of its limit
	Evenness            *evenness.Result // of the load of replicas; nil if nodes serve any number of requests at a time
	Bytes               float64          // of datagrams, per instance and second
	Datagrams           float64          // per instance and second
	Violations          []string         // of rules and guarantees
}

// Guarantees of the membership, in probe periods. They leave room for a busy machine, which delays probes.
const (
	MaxDetectionPeriods    = 60 // until all instances that can know of a death know of it
	MaxFalseFailurePeriods = 40 // until a live and reachable instance that was called failed is no longer
	SettlePeriods          = 30 // after a fault between two instances, in which their beliefs about each other are not checked
)

// poll is what all instances reported at a moment, and the true state of their processes then.
type poll struct {
	at         time.Time
	views      []*message.FleetStatus // by number; nil for an instance that did not answer
	actual     []processState
	partitions []*day.Fault
}

// processState is a copy of a process's state.
type processState struct {
	running, paused, starved, leaving, duplicate bool
	changedAt                                    time.Time
	address                                      string
}

// poll queries all processes that run, at most 8 at a time, and records the answers and the clients' counts.
func (h *Harness) poll() {
	procs := h.allProcesses()
	current := poll{at: time.Now(), views: make([]*message.FleetStatus, len(procs)), actual: make([]processState, len(procs))}
	h.mu.Lock()
	for n, proc := range procs {
		current.actual[n] = processState{proc.running, proc.paused, proc.starved, proc.leaving, proc.duplicate, proc.changedAt,
			proc.relay.Address}
	}
	for _, fault := range h.activeFaults {
		if fault.Kind == day.Partition || fault.Kind == day.OneWay || fault.Kind == day.Stall {
			current.partitions = append(current.partitions, fault)
		}
	}
	h.mu.Unlock()
	var all sync.WaitGroup
	slots := make(chan struct{}, 8)
	for n, proc := range procs {
		if !current.actual[n].running || current.actual[n].paused {
			continue
		}
		all.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; all.Done() }()
			current.views[n], _ = h.queryFleet(proc)
		}()
	}
	all.Wait()
	h.mu.Lock()
	h.polls = append(h.polls, current)
	h.mu.Unlock()
	count := clientCounts{at: current.at}
	count.done, count.rejected, count.other, count.open = h.countAnswers()
	h.counts = append(h.counts, count)
	if h.Progress != nil && current.at.Sub(h.progressAt) >= time.Second {
		h.reportProgress("%s", current.summary())
		h.reportProgress("%s", h.clientSummary(h.progressAt))
		h.progressAt = current.at
	}
}

// converged reports whether all running instances have the same view, and it has as many members as run.
func (h *Harness) converged() bool {
	h.poll()
	last := &h.polls[len(h.polls)-1]
	var addresses []string
	for n, state := range last.actual {
		if state.running && !state.leaving {
			addresses = append(addresses, state.address)
			if last.views[n] == nil {
				return false
			}
		}
	}
	var first *message.FleetStatus
	for n, state := range last.actual {
		if view := last.views[n]; state.running && !state.leaving {
			if first == nil {
				first = view
			}
			if view.View.Number != first.View.Number || view.View.Digest != first.View.Digest || len(view.View.Members) != len(addresses) {
				return false
			}
		}
	}
	return first != nil
}

// verify checks the polls and the ledgers against the injected faults and the guarantees.
func (h *Harness) verify(verdict *Verdict) {
	period := float64(h.ProbePeriod)
	periods := func(t time.Duration) float64 { return float64(t) / period }
	if verdict.ConvergedAfter < 0 {
		h.violation("not all agree after the last fault")
	}
	// Since when an observer has believed a subject failed, or alive, wrongly and though it could know better.
	type pair struct{ observer, subject int }
	falseFailureSince, undetectedSince := map[pair]time.Time{}, map[pair]time.Time{}
	lastPartitioned := map[pair]time.Time{} // when the two could last not reach each other
	var bytes, datagrams, seconds float64
	for _, current := range h.polls {
		numbers := map[string]int{}
		for n, state := range current.actual {
			numbers[state.address] = n
		}
		for observer, view := range current.views {
			if view == nil {
				continue
			}
			for _, member := range view.Members {
				subject, known := numbers[member.Record.Address]
				if !known || subject == observer {
					continue
				}
				state, observerState, key := current.actual[subject], current.actual[observer], pair{observer, subject}
				partitioned := len(current.partitions) > 0 && (isCut(current.partitions, subject, observer) || isCut(current.partitions, observer, subject))
				if partitioned {
					lastPartitioned[key] = current.at
				}
				settled := periods(current.at.Sub(lastPartitioned[key])) > SettlePeriods && periods(current.at.Sub(observerState.changedAt)) > SettlePeriods
				live := member.Record.Health < members.Failed
				if state.running && !state.paused && !state.starved && !state.duplicate && !live && settled &&
					periods(current.at.Sub(state.changedAt)) > SettlePeriods {
					if falseFailureSince[key].IsZero() {
						falseFailureSince[key] = current.at
					}
					if duration := periods(current.at.Sub(falseFailureSince[key])); duration > verdict.LongestFalseFailure {
						if verdict.LongestFalseFailure = duration; duration > MaxFalseFailurePeriods {
							h.violation("%s calls %s %s for %.0f periods, although it is alive", view.Self.Name, member.Record.Name,
								member.Record.Health, duration)
						}
					}
				} else {
					delete(falseFailureSince, key)
				}
				if !state.running && live && !partitioned {
					if undetectedSince[key].Before(state.changedAt) {
						undetectedSince[key] = state.changedAt
					}
					// The observer's own disturbances don't count, only the time since their end.
					for _, t := range []time.Time{observerState.changedAt, lastPartitioned[key]} {
						if undetectedSince[key].Before(t) {
							undetectedSince[key] = t
						}
					}
					if duration := periods(current.at.Sub(undetectedSince[key])); duration > verdict.DetectionTime {
						if verdict.DetectionTime = duration; duration > MaxDetectionPeriods {
							h.violation("%s still believes %s %s %.0f periods after its end", view.Self.Name, member.Record.Name, member.Record.Health, duration)
						}
					}
				}
			}
			// A budget must be divided among all members that may run and send, including those that the observer has lost contact with.
			running := 1
			for _, member := range view.Members {
				if subject, known := numbers[member.Record.Address]; known && subject != observer && current.actual[subject].running &&
					!current.actual[subject].leaving && periods(current.at.Sub(current.actual[subject].changedAt)) > SettlePeriods {
					running++
				}
			}
			if n := view.Permissions.Senders; n < running && periods(current.at.Sub(current.actual[observer].changedAt)) > SettlePeriods {
				h.violation("%s divides by %d of at least %d that it knows and that run", view.Self.Name, n, running)
			}
		}
	}
	if len(h.polls) > 0 {
		for _, view := range h.polls[len(h.polls)-1].views {
			if view != nil {
				bytes, datagrams = bytes+float64(view.Counters.BytesOut), datagrams+float64(view.Counters.DatagramsOut)
				seconds += float64(view.Uptime) / 1e9
			}
		}
		verdict.Bytes, verdict.Datagrams = bytes/seconds, datagrams/seconds
	}
	h.checkLedgers(verdict)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, proc := range h.processes {
		if text, err := os.ReadFile(h.logPath(proc)); err == nil &&
			(strings.Contains(string(text), "panic") || strings.Contains(string(text), "DATA RACE")) {
			h.violations = append(h.violations, "a panic or a race: see "+h.logPath(proc))
		}
	}
	verdict.Violations = h.violations
}

// checkLedgers checks the ledgers of nodes and clients against the rules on answers, repeated execution, groups, roles and drains.
func (h *Harness) checkLedgers(verdict *Verdict) {
	executions := map[string][]standin.Execution{}
	verdict.Drains = len(h.drainAnnounced)
	for n, node := range h.Nodes {
		for _, executed := range node.Executions() {
			executions[executed.ID] = append(executions[executed.ID], executed)
			if req := h.requests.byID[executed.ID]; req == nil {
				h.violation("node %d ran a job that nobody asked for: %s", n, executed.ID)
			} else if req.group != node.Group {
				h.violation("node %d of group %d ran %s of group %d", n, node.Group, executed.ID, req.group)
			} else if req.class != "view" && node.Role != "source" {
				h.violation("replica %d ran request %s of class %s", n, executed.ID, req.class)
			} else if at := h.drainAnnounced[n][req.router]; !at.IsZero() && !req.excused &&
				executed.ReceivedAt.After(at.Add(drainGrace+timingSlack)) {
				h.violation("node %d got a job of %s %v after its list said that it drains", n, req.router, executed.ReceivedAt.Sub(at))
			}
		}
	}
	h.checkColdNodes(verdict)
	for id, req := range h.requests.byID {
		executed := executions[id]
		switch {
		case req.excused:
			verdict.Excused++
		case req.answer == "" || strings.HasPrefix(req.answer, "lost"):
			h.violation("job %s of %s has no answer: %q after %v", id, req.router, req.answer, req.duration)
		case req.duration > hardLimit+timingSlack:
			h.violation("job %s of %s was answered after %v", id, req.router, req.duration)
		case strings.HasPrefix(req.answer, "from") && len(executed) == 0:
			h.violation("job %s was done by no node", id)
		default:
			verdict.Answered++
			if req.answer == "53300" {
				verdict.Rejected++
			}
		}
		if req.class == "once" && (len(executed) > 1 || len(executed) > 0 && req.answer == "53300") {
			h.violation("job %s ran %d times and was answered by %q", id, len(executed), req.answer)
		}
		for _, execution := range executed {
			if req.class == "order" && execution.ReceivedAt.Sub(executed[0].ReceivedAt).Abs() > repeatWindow+timingSlack {
				h.violation("order %s ran again after %v", id, execution.ReceivedAt.Sub(executed[0].ReceivedAt))
			}
		}
	}
}

// The limits of a cold node in standin.ShortTimeoutSettings.
const (
	warmUpTime     = 5 * time.Second
	warmUpWindow   = time.Second
	warmUpMultiple = 2.0
	startShare     = 0.15
	minRequests    = 8 // below this the ratio is noise
)

// checkColdNodes checks that in no window a node that started lately received more than its limit: a multiple of what the warm
// replicas of its group received on average, times the share to which it has warmed up.
func (h *Harness) checkColdNodes(verdict *Verdict) {
	ledgers := make([][]standin.Execution, len(h.Nodes))
	for n, node := range h.Nodes {
		ledgers[n] = node.Executions()
	}
	arrivals := func(n int, from time.Time) (c float64) {
		for _, ran := range ledgers[n] {
			if !ran.ReceivedAt.Before(from) && ran.ReceivedAt.Before(from.Add(warmUpWindow)) {
				c++
			}
		}
		return c
	}
	for n, node := range h.Nodes {
		if node.Role == "source" {
			continue
		}
		starts := node.Restarts()
		for i, started := range starts {
			warmAt := started.Add(warmUpTime)
			if i+1 < len(starts) && starts[i+1].Before(warmAt) {
				warmAt = starts[i+1]
			}
			for from := started; from.Before(warmAt); from = from.Add(warmUpWindow / 10) {
				warmRequests, warmNodes := 0.0, 0.0
				for k, other := range h.Nodes {
					if k == n || other.Group != node.Group || other.Role == "source" {
						continue
					}
					cold := false
					for _, s := range other.Restarts() {
						cold = cold || from.Before(s.Add(warmUpTime)) && s.Before(from.Add(warmUpWindow))
					}
					if c := arrivals(k, from); c > 0 && !cold {
						warmRequests, warmNodes = warmRequests+c, warmNodes+1
					}
				}
				if warmNodes == 0 {
					continue
				}
				warmedShare := min(1, float64(from.Add(warmUpWindow).Sub(started))/float64(warmUpTime))
				limit, got := warmUpMultiple*(startShare+(1-startShare)*warmedShare)*warmRequests/warmNodes, arrivals(n, from)
				if limit > minRequests {
					verdict.ColdShare = max(verdict.ColdShare, got/limit)
				}
				if got > limit+minRequests {
					h.violation("young node %d got %v jobs within %v of %v after its start, %.1f at most", n, got, warmUpWindow, from.Sub(started), limit)
				}
			}
		}
	}
}

// String is the summary, and a line for each violation.
func (v *Verdict) String() string {
	text := v.summary()
	for _, f := range v.Violations {
		text += "\n  " + f
	}
	return text
}

// summary is the verdict in one line.
func (v *Verdict) summary() string {
	return fmt.Sprintf("agreed after %.1f periods, deaths known within %.1f, live ones called failed for %.1f at most, %d jobs answered (%d bounced), "+
		"%d excused, %d drains, young nodes got %.2f of their limit at most, %.0f bytes in %.1f words an instance and second",
		v.ConvergedAfter, v.DetectionTime, v.LongestFalseFailure, v.Answered, v.Rejected, v.Excused, v.Drains, v.ColdShare, v.Bytes, v.Datagrams)
}

// lineReader reads lines of any length, which bufio.Scanner does not.
type lineReader struct{ *bufio.Reader }

// newLineReader returns a reader of the lines of r.
func newLineReader(r io.Reader) lineReader { return lineReader{bufio.NewReader(r)} }

// next reads the next line, with its newline if there is one.
func (l lineReader) next() (line []byte, err error) { return l.ReadBytes('\n') }
