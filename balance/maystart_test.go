package balance

import "testing"

// startChange is something that happens between the decision on an attempt and the moment in which it could be written.
type startChange struct {
	name   string
	happen func(h *harness)
	may    bool // whether a read at the primary may still start
}

// startChanges are changes behind which a read that was assigned to the primary, node 0, may or may not start there.
func startChanges() []startChange {
	active := []nodeRecord{{listedPrimary: true}, {}, {}}
	return []startChange{
		{"nothing changes", func(*harness) {}, true},
		{"the node confirms its role", func(h *harness) { h.reportNode(0, Primary, h.now) }, true},
		{"the node shows that it is a replica", func(h *harness) {
			h.router.recordEvidence(&h.router.nodes[0], h.now, Replica, 0, h.now)
		}, false},
		{"another member shows that it is the primary", func(h *harness) { h.reportNode(1, Primary, h.now) }, false},
		{"the node is lost for longer than a failover takes", func(h *harness) {
			h.now += 2 * minFailoverTime
			h.router.nodes[0].markLost(h.now)
		}, false},
		{"the node moves to another group", func(h *harness) {
			h.updateList(nodeRecord{group: 1, listedPrimary: true}, active[1], active[2])
		}, false},
		{"the list becomes too old", func(h *harness) {
			h.router.list = listAge{reached: true, knownAt: h.now - 10_000*ms, announcedAfter: 6000 * ms}
		}, false},
	}
}

// A read whose connection comes up late must not be written to a former primary
// (docs/incidents/read-at-a-former-primary.md), in any class that bounds the age of its data.
func TestReadsMayNotStartAtFormerPrimary(t *testing.T) {
	for _, consistency := range []Consistency{Fresh, Session, Bounded} {
		for _, change := range startChanges() {
			settings := testSettings()
			settings.Probes, settings.NodesCheckFreshness = false, false
			h := newThreeNodeHarness(settings, 10_000*ms, 10_000*ms)
			h.reportNode(0, Primary, h.now)
			h.now += 50 * ms // the position that the node has shown is too old for a read behind a write
			slot := h.accept(int(consistency), 0, 3000*ms, 1*ms)
			if attempt := h.attempts[len(h.attempts)-1]; attempt.slot != slot || attempt.node != 0 {
				t.Fatalf("class %d: the read was not sent to the primary", consistency)
			}
			h.now += 400 * ms // and for one that bounds the age of its data
			change.happen(h)
			if got := h.router.MayStartAttempt(h.now, slot, 0); got != change.may {
				t.Errorf("class %d, %s: the read may start: %v, want %v", consistency, change.name, got, change.may)
			}
		}
	}
}

// Attempts of every class stay in the request's group, also where its node has moved to another one meanwhile.
func TestAttemptsMayNotStartInAnotherGroup(t *testing.T) {
	for _, consistency := range []Consistency{Any, Write} {
		h := newThreeNodeHarness(testSettings(), 100*ms, 100*ms)
		slot := h.accept(int(consistency), 0, 3000*ms, 0)
		nodes := []nodeRecord{{listedPrimary: true}, {}, {}}
		nodes[h.attempts[0].node].group = 1
		h.updateList(nodes...)
		if h.router.MayStartAttempt(h.now, slot, 0) {
			t.Errorf("class %d: an attempt may start at a node that has moved to another group", consistency)
		}
	}
}
