package balance

import "testing"

// A call that is not answered looks like a discovery that is down, and the router goes on. An answer that comes late
// proves that discovery was reachable since the call began: if no list comes with it, no attempt may begin once the list
// has not been received for as long as its changes take to be known.
func TestLateAnswerWithoutListStopsAttempts(t *testing.T) {
	for _, test := range []struct {
		name       string
		callAfter  int64 // start of the call, after the loss of the watch
		answered   bool
		unanswered int64 // start of a call that another answer has not overtaken, after the loss of the watch; 0: none
		sent       bool
	}{
		{"never answered", 300 * ms, false, 0, true},
		{"answered late", 300 * ms, true, 0, false},
		{"answered late, and the list was known when the call began", 3200 * ms, true, 0, true},
		{"answered late, and a newer call is not answered yet", 300 * ms, true, 3800 * ms, false},
	} {
		settings := testSettings()
		settings.ListAnnouncedAfter, settings.WatchTimeout = 6000*ms, 3000*ms
		h := newThreeNodeHarness(settings, 0, 0)
		h.now += 1000 * ms
		h.router.ListFailed(h.now) // the watch has been silent for at most its whole time
		lostAt := h.now
		h.now = lostAt + 6400*ms
		h.router.ListUnreachable(lostAt + test.callAfter)
		if test.unanswered > 0 {
			h.router.ListUnreachable(lostAt + test.unanswered)
		}
		if test.answered {
			h.router.ListAnswered(lostAt + test.callAfter)
		}
		slot := h.accept(int(Any), 0, 1000*ms, 0)
		h.advance(300 * ms)
		if sent := h.requests[slot] != nil && !h.requests[slot].finished; sent != test.sent {
			t.Errorf("%s: a request is in progress: %v, want %v", test.name, sent, test.sent)
		}
	}
}

// An answer beside an open watch says nothing of the time after the watch breaks: discovery may be down by then.
func TestAnswerBesideOpenWatchIsNoEvidence(t *testing.T) {
	settings := testSettings()
	settings.ListAnnouncedAfter, settings.WatchTimeout = 6000*ms, 3000*ms
	h := newThreeNodeHarness(settings, 0, 0)
	h.router.ListAnswered(h.now)
	h.router.ListFailed(h.now)
	h.now += 7000 * ms
	slot := h.accept(int(Any), 0, 1000*ms, 0)
	h.advance(300 * ms)
	if h.requests[slot] == nil || h.requests[slot].finished {
		t.Error("a request is rejected though discovery is down")
	}
}
