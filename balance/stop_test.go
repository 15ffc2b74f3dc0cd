package balance

import "testing"

// Stop gives a final answer to each request in progress, in flight or parked, and to those that are accepted later; what may
// have run and must not run twice fails, and all else is rejected.
func TestStopGivesUpAllRequests(t *testing.T) {
	settings := testSettings()
	h := newThreeNodeHarness(settings, 100*ms, 100*ms)
	inFlight := map[Slot]bool{}
	for _, consistency := range []Consistency{Any, Bounded, Session, Fresh, Write} {
		inFlight[h.accept(int(consistency), 0, 1000*ms, 0)] = true
	}
	h.router.Stop()
	for slot := range inFlight {
		if req := h.requests[slot]; req != nil && !req.finished { // nil: its slot is free already
			t.Errorf("request %d of class %d has no final answer", slot, req.class)
		}
	}
	sent := len(h.attempts)
	for _, consistency := range []Consistency{Any, Write} {
		if req := h.requests[h.accept(int(consistency), 0, 1000*ms, 0)]; req != nil && !req.finished {
			t.Errorf("a request of class %d that came later has no final answer", consistency)
		}
	}
	if len(h.attempts) != sent || h.violation != "" {
		t.Errorf("%d attempts after the stop; broken rule: %q", len(h.attempts)-sent, h.violation)
	}
	h.advance(3000 * ms)
	if h.violation != "" {
		t.Errorf("broken rule: %q", h.violation)
	}
}
