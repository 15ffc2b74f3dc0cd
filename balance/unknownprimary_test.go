package balance

import (
	"slices"
	"testing"
)

// These tests force the orders of events in which a write may come before the router knows its group's primary. A write
// at a replica has no effect, but it takes one of the request's attempts and the time of the client.

// newStartedRouter returns a router that has just started and knows three members of a group by their addresses only.
func newStartedRouter(probes bool) *harness {
	settings := testSettings()
	settings.Probes = probes
	h := newHarness(settings, 7)
	h.updateList(nodeRecord{}, nodeRecord{}, nodeRecord{})
	return h
}

// withAndWithoutProbes runs a test with a router that has just started, where it may probe and where it may not.
func withAndWithoutProbes(t *testing.T, test func(t *testing.T, h *harness)) {
	t.Run("with probes", func(t *testing.T) { test(t, newStartedRouter(true)) })
	t.Run("without probes", func(t *testing.T) { test(t, newStartedRouter(false)) })
}

// eject makes a node fail until it is ejected.
func (h *harness) eject(node int) {
	for range ejectAfterFailures {
		h.router.recordFailure(&h.router.nodes[node], h.now, 1)
	}
}

// showRole has a read's answer show a node's role.
func (h *harness) showRole(node int, role Role) {
	h.router.recordEvidence(&h.router.nodes[node], h.now, role, h.now, h.now)
}

// nodesOf returns the nodes of all attempts of a request, in the order of their submission.
func (h *harness) nodesOf(slot Slot) (nodes []int) {
	for _, attempt := range h.attempts {
		if attempt.slot == slot {
			nodes = append(nodes, attempt.node)
		}
	}
	return nodes
}

// wantNodes checks that a request has had attempts at just these nodes, and that no rule was broken.
func (h *harness) wantNodes(t *testing.T, slot Slot, nodes ...int) {
	t.Helper()
	if got := h.nodesOf(slot); !slices.Equal(got, nodes) || h.violation != "" {
		t.Fatalf("attempts at %v, want %v; broken rule: %q; log %v", got, nodes, h.violation, h.log)
	}
}

// endWrite ends the last attempt of a write in progress.
func (h *harness) endWrite(slot Slot, outcome Outcome, info AnswerInfo) {
	for i := len(h.attempts) - 1; i >= 0; i-- {
		if h.attempts[i].slot == slot {
			h.endAttempt(i, outcome, info, Report{InFlight: -1})
			return
		}
	}
}

// The first write of a router that may probe waits for the members to report their roles. Otherwise it is sent to a
// member at random, and most members are replicas.
func TestFirstWriteWaitsForRoles(t *testing.T) {
	h := newStartedRouter(true)
	slot := h.accept(int(Write), 0, 2000*ms, 0)
	h.wantNodes(t, slot)
	if probed := slices.Sorted(slices.Values(h.probes)); !slices.Equal(probed, []int{0, 1, 2}) {
		t.Fatalf("probes of %v", probed)
	}
	h.advance(10 * ms)
	h.reportNode(0, Replica, h.now)
	h.wantNodes(t, slot)
	h.reportNode(1, Primary, h.now)
	h.advance(2 * h.router.sweepInterval) // a new request also waits for the loads of members
	h.wantNodes(t, slot, 1)
}

// Members that don't answer probes delay a write by a quarter of its target latency at most.
func TestFirstWriteWithoutProbeAnswers(t *testing.T) {
	h := newStartedRouter(true)
	slot := h.accept(int(Write), 0, 2000*ms, 0)
	h.advance(testSettings().Classes[Write].TargetLatency/4 + 10*ms)
	if len(h.nodesOf(slot)) != 1 {
		t.Errorf("the write was not sent in time: %v", h.log)
	}
}

// Members whose reports lack the role don't delay writes: no further probe would show it.
func TestFirstWriteWithoutReportedRoles(t *testing.T) {
	h := newStartedRouter(true)
	slot := h.accept(int(Write), 0, 2000*ms, 0)
	for node := range 3 {
		h.reportNode(node, Unknown, h.now)
	}
	h.advance(5 * ms)
	if len(h.nodesOf(slot)) != 1 {
		t.Errorf("the write still waits: %v", h.log)
	}
	for node := range int32(3) { // further probes, for other reasons
		h.router.probe(node, h.now)
	}
	later := h.accept(int(Write), 0, 2000*ms, 0)
	h.advance(2*h.router.sweepInterval + 10*ms) // a new request also waits for the loads of members
	if len(h.nodesOf(later)) != 1 {
		t.Errorf("a later write still waits: %v", h.log)
	}
}

// Without probes only an attempt can show who the primary is, so a first write tries one member after the other. No
// process could know better from what it may ask.
func TestFirstWriteWithoutProbes(t *testing.T) {
	h := newStartedRouter(false)
	slot := h.accept(int(Write), 0, 2000*ms, 0)
	h.wantNodes(t, slot, 0)
	h.endWrite(slot, Misdirected, AnswerInfo{Role: Replica})
	h.wantNodes(t, slot, 0, 1)
	h.endWrite(slot, Misdirected, AnswerInfo{Role: Replica})
	h.wantNodes(t, slot, 0, 1, 2)
}

// A write goes to the only member that has not been shown to be a replica, not to the replica with the highest position.
func TestWriteAvoidsKnownReplicas(t *testing.T) {
	withAndWithoutProbes(t, func(t *testing.T, h *harness) {
		h.showRole(1, Replica)
		h.showRole(2, Replica)
		h.advance(100 * ms)
		slot := h.accept(int(Write), 0, 2000*ms, 0)
		h.wantNodes(t, slot, 0)
	})
}

// A deduplicated write whose connection to the only possible primary breaks is repeated there, not at a replica.
func TestWriteRepeatedAtPossiblePrimary(t *testing.T) {
	withAndWithoutProbes(t, func(t *testing.T, h *harness) {
		h.showRole(1, Replica)
		h.showRole(2, Replica)
		slot := h.accept(int(Write), 0, 2000*ms, 0)
		h.advance(50 * ms)
		h.endWrite(slot, ConnectionLost, AnswerInfo{})
		h.wantNodes(t, slot, 0, 0)
	})
}

// A second copy of a write in progress does not go to a replica while the first is at the only possible primary, which
// has been ejected meanwhile.
func TestSecondCopyAvoidsKnownReplicas(t *testing.T) {
	h := newStartedRouter(false)
	h.showRole(1, Replica)
	h.showRole(2, Replica)
	slot := h.accept(int(Write), 0, 2000*ms, 0)
	h.advance(50 * ms)
	h.eject(0)
	h.advance(100 * ms)
	h.wantNodes(t, slot, 0)
}

// While the only possible primary is ejected, writes wait for it and are refused in the end. Sent to members that have
// just been shown to be replicas they would be turned away there.
func TestWriteWhilePossiblePrimaryIsEjected(t *testing.T) {
	withAndWithoutProbes(t, func(t *testing.T, h *harness) {
		h.eject(0)
		h.showRole(1, Replica)
		h.showRole(2, Replica)
		h.advance(50 * ms)
		slot := h.accept(int(Write), 0, 2000*ms, 0)
		h.advance(300 * ms)
		h.wantNodes(t, slot)
	})
}

// Other routers have found the primary to fail, before this router knows the role of any member. They go on to send it
// their writes, and so does this one.
func TestQuorumEjectsNoPossiblePrimary(t *testing.T) {
	h := newStartedRouter(false)
	h.router.Eject(h.now, 0, h.now+1000*ms)
	slot := h.accept(int(Write), 0, 2000*ms, 0)
	h.wantNodes(t, slot, 0)
}

// Other routers have found a member to fail that has shown no role to this router: its reads go elsewhere.
func TestQuorumEjectionHoldsForReads(t *testing.T) {
	h := newStartedRouter(false)
	h.router.Eject(h.now, 0, h.now+1000*ms)
	h.router.Eject(h.now, 1, h.now+1000*ms)
	for range 3 {
		slot := h.accept(int(Any), 0, 2000*ms, 0)
		h.wantNodes(t, slot, 2)
	}
}

// Reads that need the primary probe each member once, too: with few requests the probe budget suffices for some of the
// members only.
func TestFreshReadsProbeEachMember(t *testing.T) {
	h := newStartedRouter(true)
	h.accept(int(Fresh), 0, 1000*ms, 0)
	if probed := slices.Sorted(slices.Values(h.probes)); !slices.Equal(probed, []int{0, 1, 2}) {
		t.Errorf("probes of %v", probed)
	}
}

// The primary is lost and another member has taken over. With few requests the probe budget pays for one probe a request,
// and the new primary is found although the others are probed first.
func TestFewRequestsFindNewPrimary(t *testing.T) {
	settings := testSettings()
	settings.PeerMessages, settings.NodesCheckFreshness = true, true
	h := newHarness(settings, 7)
	h.updateList(nodeRecord{}, nodeRecord{}, nodeRecord{})
	h.showRole(0, Primary)
	h.showRole(1, Replica)
	h.showRole(2, Replica)
	for range 20 {
		h.accept(int(Fresh), 0, 1000*ms, 0)
		for range 6 {
			h.advance(50 * ms)
			h.answerProbes(1, Replica)
			h.answerProbes(2, Primary)
		}
	}
	if h.router.nodes[2].role != Primary {
		t.Errorf("the new primary was not found; probes of %v", h.probes)
	}
}

// answerProbes has a node answer the probe in flight there, if any.
func (h *harness) answerProbes(node int, role Role) {
	if h.router.nodes[node].probeInFlight {
		h.reportNode(node, role, h.now)
	}
}

// A write that has little time left does not wait for roles.
func TestShortWriteAwaitsNoRoles(t *testing.T) {
	h := newStartedRouter(true)
	slot := h.accept(int(Write), 0, 120*ms, 0)
	h.wantNodes(t, slot, 0)
}

// A replica that others have found to fail takes over. Writes go there as soon as it has shown its new role.
func TestQuorumEjectionEndsWithNewRole(t *testing.T) {
	h := newStartedRouter(false)
	h.showRole(0, Primary)
	h.router.Eject(h.now, 1, h.now+1000*ms)
	h.advance(50 * ms)
	h.showRole(1, Primary)
	slot := h.accept(int(Write), 0, 2000*ms, 0)
	h.wantNodes(t, slot, 1)
}

// While a known primary is ejected, writes wait for it: this holds without regard to starts.
func TestWriteWhileKnownPrimaryIsEjected(t *testing.T) {
	withAndWithoutProbes(t, func(t *testing.T, h *harness) {
		h.showRole(0, Primary)
		h.showRole(1, Replica)
		h.showRole(2, Replica)
		h.eject(0)
		h.advance(50 * ms)
		slot := h.accept(int(Write), 0, 2000*ms, 0)
		h.advance(300 * ms)
		h.wantNodes(t, slot)
	})
}

// A role in a list that trails is believed until the node has shown another one. A write may be turned away there once.
func TestWriteAtTrailingListedPrimary(t *testing.T) {
	h := newStartedRouter(false)
	h.updateList(nodeRecord{}, nodeRecord{listedPrimary: true}, nodeRecord{})
	slot := h.accept(int(Write), 0, 2000*ms, 0)
	h.wantNodes(t, slot, 1)
	h.endWrite(slot, Misdirected, AnswerInfo{Role: Replica})
	h.wantNodes(t, slot, 1, 0)
	h.showRole(0, Primary)
	second := h.accept(int(Write), 0, 2000*ms, 0)
	h.wantNodes(t, second, 0)
}

// A router starts during a failover: the former primary is ejected and a replica takes over. Where nothing but writes
// comes and nobody may probe, writes find the new primary once the replicas' roles are as old as a failover may be short.
func TestWritesFindPrimaryAfterFailoverAtStart(t *testing.T) {
	h := newStartedRouter(false)
	h.showRole(1, Replica)
	h.showRole(2, Replica)
	shownAt := h.now
	for h.now < shownAt+minFailoverTime+200*ms {
		h.eject(0)
		slot := h.accept(int(Write), 0, 2000*ms, 0)
		h.advance(10 * ms)
		if nodes := h.nodesOf(slot); len(nodes) > 0 && nodes[0] != 0 {
			return
		}
	}
	t.Errorf("no write was tried at a replica that may have taken over: %v", h.log)
}
