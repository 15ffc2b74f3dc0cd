package balance

import "testing"

// heavyClass is the number of the class of heavy reads in heavyReadSettings.
const heavyClass = int(Write) + 1

// heavyReadSettings returns settings with one more class, of heavy reads.
func heavyReadSettings() *Settings {
	settings := testSettings()
	settings.Classes = append(settings.Classes, settings.Classes[Any])
	return settings
}

// serveReads serves light reads, and one heavy read in ten, one after the other. Before each the nodes report the given
// number of attempts.
func serveReads(h *harness, reportedLoad float64, lightTime, heavyTime int64) {
	for i := range 400 {
		for node := range h.router.nodes {
			h.router.ProbeEnded(h.now, node, true, Report{Present: true, InFlight: reportedLoad})
		}
		class, took := int(Any), lightTime
		if i%10 == 0 {
			class, took = heavyClass, heavyTime
		}
		h.accept(class, 0, 1000*ms, 0)
		h.passTime(took)
		endWithOutcome(h, 0, Succeeded)
	}
}

// passTime lets time pass, in which the timer fires as it is set.
func (h *harness) passTime(span int64) {
	for until := h.now + span; h.now < until; {
		h.now = min(h.now+ms, until)
		if h.now >= h.timerAt {
			h.router.OnTimer(h.now)
		}
	}
}

// startColdNode starts the last node anew, and sets the work that the router sends a warm node within the overload window.
func startColdNode(h *harness, warmNodeWork int64) *nodeRecord {
	h.updateList(nodeRecord{listedPrimary: true}, nodeRecord{}, nodeRecord{startedAt: h.now})
	h.router.warmNodeWork = float64(warmNodeWork)
	return &h.router.nodes[2]
}

// wantColdReads checks which reads a cold node may be sent.
func wantColdReads(t *testing.T, h *harness, node *nodeRecord, wantLight, wantHeavy bool) {
	t.Helper()
	light := h.router.withinColdBudget(node, &request{class: int32(Any)}, h.now)
	heavy := h.router.withinColdBudget(node, &request{class: int32(heavyClass)}, h.now)
	if light != wantLight || heavy != wantHeavy {
		t.Errorf("the cold node may be sent light reads: %t, heavy reads: %t; want %t and %t", light, heavy, wantLight, wantHeavy)
	}
}

// At loaded nodes all reads wait alike, and heavy ones hardly take longer than others. They must still not be sent to a
// cold node of small budget.
func TestHeavyReadsAvoidColdNodesUnderLoad(t *testing.T) {
	h := newThreeNodeHarness(heavyReadSettings(), 0, 0)
	serveReads(h, 0, 2*ms, 20*ms)
	serveReads(h, 5, 42*ms, 60*ms)
	node := startColdNode(h, 2000*ms)
	wantColdReads(t, h, node, true, false)
}

// A router with more traffic than others must not take a cold node's budget for its own traffic times the number of
// routers, where nodes report fewer attempts than that.
func TestHeavyReadsAvoidColdNodesAtBusyRouter(t *testing.T) {
	settings := heavyReadSettings()
	settings.RouterCount = 10
	for _, test := range []struct {
		reportedLoad float64
		wantHeavy    bool
	}{{1.2, false}, {10, true}} {
		h := newThreeNodeHarness(settings, 0, 0)
		serveReads(h, 0, 10*ms, 200*ms)
		serveReads(h, test.reportedLoad, 10*ms, 200*ms)
		node := startColdNode(h, 1000*ms)
		wantColdReads(t, h, node, true, test.wantHeavy)
	}
}
