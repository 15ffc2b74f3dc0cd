package balance

import "testing"

// The process is stalled while a node has an attempt: no time of the stall counts as the node's silence, but a node that
// stays silent afterwards is ejected all the same.
func TestStallIsNoSilence(t *testing.T) {
	const node = 1
	h := newThreeNodeHarness(testSettings(), 0, 5000*ms)
	h.highTraffic, h.timerOnly = false, true
	h.accept(int(Bounded), 0, 2000*ms, 0)
	target := h.settings.Classes[Bounded].TargetLatency
	h.advance(target / 4)
	h.now += 2 * target // nothing of the process runs
	h.router.OnTimer(h.now)
	if h.router.nodes[node].ejectedUntil > h.now {
		t.Fatalf("the node is ejected right after a stall: %+v", h.router.nodes[node])
	}
	h.advance(target / 2)
	if h.router.nodes[node].ejectedUntil > h.now {
		t.Fatalf("the time of the stall counts: %+v", h.router.nodes[node])
	}
	h.advance(target/2 + catchUpTime)
	if h.router.nodes[node].ejectedUntil <= h.now {
		t.Fatalf("the node was silent for its target latency, and is not ejected: %+v", h.router.nodes[node])
	}
}

// An attempt times out in a stall: the node is not ejected for it, as its answer may wait unread.
func TestTimeoutInStallIsNoSilence(t *testing.T) {
	h := newThreeNodeHarness(testSettings(), 5000*ms, 5000*ms)
	h.terms = Terms{AttemptTimeout: 20 * ms, MaxAttempts: 1}
	h.timerOnly = true
	for range 2 * ejectAfterFailures {
		h.accept(int(Fresh), 0, 1000*ms, 0)
		h.now += 200 * ms // nothing of the process runs
		h.router.OnTimer(h.now)
		h.advance(25 * ms)
	}
	if node := &h.router.nodes[0]; node.ejectedUntil > h.now {
		t.Fatalf("%+v", *node)
	}
}

// Answers that wait unread in a stall say nothing of how loaded their node is, whether they are read before the timer
// fires or after it.
func TestStallIsNoLoad(t *testing.T) {
	const node, answerTime = 1, 20 * ms
	for name, timerFirst := range map[string]bool{"answer read first": false, "timer first": true} {
		t.Run(name, func(t *testing.T) {
			h := newThreeNodeHarness(testSettings(), 0, 5000*ms)
			h.timerOnly = true
			before := h.router.nodes[node].limit.size
			for range 8 {
				h.reportNode(node, Replica, h.now)
				h.accept(int(Bounded), 0, 2000*ms, 0)
				h.now += 2 * h.settings.Classes[Bounded].TargetLatency // nothing of the process runs
				if timerFirst {
					h.router.OnTimer(h.now)
				}
				endWithOutcome(h, len(h.attempts)-1, Succeeded)
				h.advance(answerTime)
			}
			if limit := h.router.nodes[node].limit.size; limit < before {
				t.Errorf("the concurrency limit fell from %v to %v", before, limit)
			}
		})
	}
}

// A process that gets little processor time, so that each timer fires late, still ejects a node that hangs.
func TestLateTimersHideNoSilence(t *testing.T) {
	const node = 1
	for _, late := range []int64{19 * ms, 80 * ms} {
		h := newThreeNodeHarness(testSettings(), 0, 5000*ms)
		h.highTraffic = false
		h.accept(int(Bounded), 0, 4000*ms, 0)
		target := h.settings.Classes[Bounded].TargetLatency
		for until := h.now + 2*(target+longestStop) + 2*late + 50*ms; h.now < until; {
			h.now = h.timerAt + late
			h.router.OnTimer(h.now)
		}
		if h.router.nodes[node].ejectedUntil <= h.now {
			t.Errorf("timers %d ms late: the node is not ejected: %+v", late/ms, h.router.nodes[node])
		}
	}
}

// A timer that is late for a small part of an attempt's timeout does not hide that its node was silent.
func TestLateTimerDoesNotVoidTimeout(t *testing.T) {
	h := newThreeNodeHarness(testSettings(), 5000*ms, 5000*ms)
	h.terms = Terms{AttemptTimeout: 200 * ms, MaxAttempts: 1}
	h.timerOnly = true
	for range ejectAfterFailures {
		h.accept(int(Fresh), 0, 1000*ms, 0)
		h.now = h.timerAt + 20*ms
		h.router.OnTimer(h.now)
		h.advance(200 * ms)
	}
	if node := &h.router.nodes[0]; node.ejectedUntil <= h.now {
		t.Fatalf("%+v", *node)
	}
}

// A stall that is over when an attempt is sent is not taken off its time, although the late timer fires after that.
func TestStallBeforeSendDoesNotCount(t *testing.T) {
	const node = 1
	h := newThreeNodeHarness(testSettings(), 0, 5000*ms)
	h.timerOnly = true
	h.accept(int(Any), 0, 4000*ms, 0) // so that the timer is set
	target := h.settings.Classes[Bounded].TargetLatency
	h.now += 3 * target // nothing of the process runs
	h.reportNode(node, Replica, h.now)
	slot := h.accept(int(Bounded), 0, 4000*ms, 0)
	attempts := h.router.requests[slot].attempts
	if len(attempts) != 1 {
		t.Fatalf("%d attempts, want 1: %v", len(attempts), h.log)
	}
	h.router.OnTimer(h.now)
	if stall := h.router.stallDuring(&attempts[0]); stall != 0 {
		t.Errorf("a stall of %d ms before the attempt counts", stall/ms)
	}
}
