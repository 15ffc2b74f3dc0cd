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
		h.router.ListUnanswered(lostAt + test.callAfter)
		if test.unanswered > 0 {
			h.router.ListUnanswered(lostAt + test.unanswered)
		}
		if test.answered {
			h.router.ListAnswered(h.now, lostAt+test.callAfter)
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
	h.router.ListAnswered(h.now, h.now)
	h.router.ListFailed(h.now)
	h.now += 7000 * ms
	slot := h.accept(int(Any), 0, 1000*ms, 0)
	h.advance(300 * ms)
	if h.requests[slot] == nil || h.requests[slot].finished {
		t.Error("a request is rejected though discovery is down")
	}
}

// Discovery needed some seconds for its last answer, and the watch falls silent: until the next answer is overdue,
// discovery counts as slow rather than down, and no attempt may begin once the list is too old.
func TestSlowAnswersStopAttemptsUntilOverdue(t *testing.T) {
	const calledAfter = 300 * ms // the loss of the watch, which has been silent for 3 s then
	for _, test := range []struct {
		name       string
		answerTime int64 // of the last answer before
		failed     bool  // a call has failed since the watch broke
		at         int64 // after the loss of the watch
		sent       bool
	}{
		{"fast before", 5 * ms, false, 3200 * ms, true},
		{"slow before, list not too old yet", 5000 * ms, false, 2900 * ms, true},
		{"slow before, list too old", 5000 * ms, false, 3200 * ms, false},
		{"slow before, answer overdue", 5000 * ms, false, 6700 * ms, true},
		{"slow before, then out of reach", 5000 * ms, true, 3200 * ms, true},
	} {
		settings := testSettings()
		settings.ListAnnouncedAfter, settings.WatchTimeout = 6000*ms, 3000*ms
		h := newThreeNodeHarness(settings, 0, 0)
		h.router.ListAnswered(h.now, h.now-test.answerTime)
		h.now += 5000 * ms
		lostAt := h.now
		h.router.ListFailed(lostAt)
		h.router.list.recordCall(lostAt + calledAfter)
		if test.failed {
			h.router.ListUnreachable(lostAt + calledAfter)
		} else {
			h.router.ListUnanswered(lostAt + calledAfter)
		}
		h.now = lostAt + test.at
		slot := h.accept(int(Any), 0, 1000*ms, 0)
		h.advance(300 * ms) // time enough to reject it
		if sent := h.requests[slot] != nil && !h.requests[slot].finished; sent != test.sent {
			t.Errorf("%s: a request is in progress: %v, want %v", test.name, sent, test.sent)
		}
	}
}

// Discovery refuses each call, and only after some seconds: it is reachable all the while, though each call looks for a
// while as if it were not. From the time on when its changes count as known, no attempt may begin.
func TestLateRefusalsStopAttempts(t *testing.T) {
	const answerTime, spacing, unansweredAfter = 3000 * ms, 1250 * ms, 2062 * ms
	settings := testSettings()
	settings.ListAnnouncedAfter, settings.WatchTimeout = 6000*ms, 3000*ms
	h := newThreeNodeHarness(settings, 0, 0)
	h.now += 1000 * ms
	h.router.ListFailed(h.now)
	firstCallAt := h.now + 250*ms
	for end := firstCallAt + 6500*ms; h.now < end; h.now += ms {
		for call := firstCallAt; call < h.now; call += spacing {
			switch h.now - call {
			case unansweredAfter:
				h.router.ListUnanswered(call)
			case answerTime:
				h.router.ListAnswered(h.now, call)
				h.router.ListRefused()
			}
		}
	}
	slot := h.accept(int(Any), 0, 1000*ms, 0)
	h.advance(300 * ms)
	if req := h.requests[slot]; req != nil && !req.finished {
		t.Error("an attempt began by a list that is older than its changes may be")
	}
}

// Discovery needed some seconds for the list, and refuses the first call behind the loss of the watch at once: it still
// counts as slow.
func TestQuickRefusalDoesNotHideSlowAnswers(t *testing.T) {
	settings := testSettings()
	settings.ListAnnouncedAfter, settings.WatchTimeout = 6000*ms, 3000*ms
	h := newThreeNodeHarness(settings, 0, 0)
	h.router.ListAnswered(h.now, h.now-4000*ms)
	h.updateList(nodeRecord{listedPrimary: true}, nodeRecord{}, nodeRecord{})
	h.now += 5000 * ms
	lostAt := h.now
	h.router.ListFailed(lostAt)
	h.router.list.recordCall(lostAt + 250*ms)
	h.router.ListAnswered(lostAt+251*ms, lostAt+250*ms)
	h.router.ListRefused()
	h.router.ListUnanswered(lostAt + 500*ms)
	h.now = lostAt + 3200*ms
	slot := h.accept(int(Any), 0, 1000*ms, 0)
	h.advance(300 * ms)
	if req := h.requests[slot]; req != nil && !req.finished {
		t.Error("an attempt began by a list that is older than its changes may be")
	}
}

// Once the list has come by a quick answer, discovery no longer counts as slow.
func TestQuickListEndsSlowAnswers(t *testing.T) {
	settings := testSettings()
	settings.ListAnnouncedAfter, settings.WatchTimeout = 6000*ms, 3000*ms
	h := newThreeNodeHarness(settings, 0, 0)
	h.router.ListAnswered(h.now, h.now-4000*ms)
	h.router.ListAnswered(h.now, h.now-5*ms)
	h.updateList(nodeRecord{listedPrimary: true}, nodeRecord{}, nodeRecord{})
	h.now += 5000 * ms
	lostAt := h.now
	h.router.ListFailed(lostAt)
	h.router.list.recordCall(lostAt + 250*ms)
	h.router.ListUnanswered(lostAt + 250*ms)
	h.now = lostAt + 3200*ms
	slot := h.accept(int(Any), 0, 1000*ms, 0)
	h.advance(300 * ms)
	if req := h.requests[slot]; req == nil || req.finished {
		t.Error("a request is rejected though discovery is down")
	}
}
