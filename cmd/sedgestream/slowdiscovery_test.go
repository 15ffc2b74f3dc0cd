package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"sedgestream/internal/discovery"
	"sedgestream/internal/standin"
)

// Discovery has a draining node from the router's start and answers calls late, or some of them never: the list still
// arrives before it counts as announced. No request begins at the node after the grace, and requests are served all
// the time.
func TestSlowDiscovery(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		delay    time.Duration
		failures []standin.DiscoveryFailure // of the first calls
	}{
		{"answers after 1 s", time.Second, nil},
		{"answers after 2 s", 2 * time.Second, nil},
		{"answers after 4 s", 4 * time.Second, nil},
		{"answers after 5 s", 5 * time.Second, nil},
		{"never answers one call, then answers after 3 s", 3 * time.Second, []standin.DiscoveryFailure{standin.NeverAnswered}},
		{"refuses one call after 4 s, then answers after 4 s", 4 * time.Second, []standin.DiscoveryFailure{standin.Refused}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			primary, leaving := standin.NewPair(t)
			router := newRouter(t, primary, leaving, standin.NewNode(t, "copy"))
			router.Settings, router.WatchSendsList, router.WholeLines = pollSettings, true, true
			router.SetDiscoveryDelay(test.delay)
			router.SetList(`{"version":8,"full":true,"servers":[` + router.ListEntries("up", "draining", "up") + "]}")
			for _, failure := range test.failures {
				router.CallFailures <- failure
			}
			router.Start(os.Args[0])
			expectNoLateAttempts(t, router, leaving, time.Now(), 0.9)
		})
	}
}

// expectNoLateAttempts sends requests until 2 s after the moment at which a change of the list may no longer be ignored,
// and fails the test if requests begin at the leaving node after that, or if less than a share of all are served.
func expectNoLateAttempts(t *testing.T, router *standin.Harness, leaving *standin.Node, changedAt time.Time, share float64) {
	t.Helper()
	const grace, clockSlack = 500 * time.Millisecond, 300 * time.Millisecond
	latestStart := changedAt.Add(discovery.AnnouncedAfter + grace + clockSlack)
	client := router.Open("")
	client.Expect("empty")
	sent, served := 0, 0
	for time.Since(latestStart) < 2*time.Second {
		client.SendStatement(standin.ReadQuery(900))
		sent++
		if strings.HasPrefix(client.Answer(), "from ") {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}
	late := 0
	for _, attempt := range leaving.Executions() {
		if attempt.ReceivedAt.After(latestStart) {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests began at the draining node past the grace", late)
	}
	if served < int(share*float64(sent)) {
		t.Errorf("%d of %d requests were served", served, sent)
	}
}

// A discovery that never answers counts as down, also if it refused a call before: the router goes on with the list that
// it has.
func TestDiscoveryThatNeverAnswersStopsNothing(t *testing.T) {
	t.Parallel()
	for name, refusedCalls := range map[string]int{"from the start": 0, "after it refused a call": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			primary, replica := standin.NewPair(t)
			router := newRouter(t, primary, replica)
			router.Settings = pollSettings
			for range refusedCalls {
				router.CallFailures <- standin.Refused
			}
			for range 100 - refusedCalls {
				router.CallFailures <- standin.NeverAnswered
			}
			router.Start(os.Args[0])
			client := router.Open("")
			client.Expect("empty")
			sent, served := 0, 0
			for start := time.Now(); time.Since(start) < 2*discovery.AnnouncedAfter; time.Sleep(10 * time.Millisecond) {
				client.SendStatement(standin.ReadQuery(900))
				sent++
				if strings.HasPrefix(client.Answer(), "from ") {
					served++
				}
			}
			if served < sent*9/10 {
				t.Errorf("%d of %d requests were served while discovery was down", served, sent)
			}
		})
	}
}

// A watch falls silent and the calls after it are answered after some seconds. After 2 s the change that the watch misses
// arrives in time. Where it would arrive too late and the last answer was slow as well, nothing is sent from the time on
// when the change counts as announced until the list arrives.
func TestSilentWatchAtSlowDiscovery(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name          string
		before, after time.Duration // of the answers before and after the silence
		share         float64       // of requests that are served
	}{
		{"2 s", 0, 2 * time.Second, 0.9},
		{"3 s, as before", 3 * time.Second, 3 * time.Second, 0.8},
		{"4 s, as before", 4 * time.Second, 4 * time.Second, 0.6},
		{"5 s, as before", 5 * time.Second, 5 * time.Second, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			primary, leaving := standin.NewPair(t)
			router := startWithSilentWatch(t, test.before, primary, leaving, standin.NewNode(t, "copy"))
			router.SetDiscoveryDelay(test.after)
			expectNoLateAttempts(t, router, leaving, time.Now(), test.share)
		})
	}
}

// startWithSilentWatch starts a router whose watch has brought the list after some time and is silent now. Discovery then
// has the second node draining.
func startWithSilentWatch(t *testing.T, answerTime time.Duration, nodes ...*standin.Node) *standin.Harness {
	t.Helper()
	router := newRouter(t, nodes...)
	router.Settings, router.WatchSendsList, router.WholeLines = pollSettings, true, true
	router.SetDiscoveryDelay(answerTime)
	router.SetList(`{"version":8,"full":true,"servers":[` + router.ListEntries() + "]}")
	router.Start(os.Args[0])
	<-router.ListRequests
	time.Sleep(100 * time.Millisecond) // the list is sent behind the response header
	router.SetList(`{"version":9,"full":true,"servers":[` + router.ListEntries("up", "draining", "up") + "]}")
	router.SilenceWatches()
	return router
}

// A discovery that answered late falls silent for good: from the time on when its next answer would be overdue it counts
// as down, and the router serves by the list that it has.
func TestSlowDiscoveryGoesDown(t *testing.T) {
	t.Parallel()
	primary, replica := standin.NewPair(t)
	router := startWithSilentWatch(t, 5*time.Second, primary, replica, standin.NewNode(t, "copy"))
	router.SetDiscoveryDown(true)
	silentAt := time.Now()
	const (
		overdueAfter = 9500 * time.Millisecond // 3 s of silence, the pause, and the call's 6 s
		clockSlack   = 300 * time.Millisecond
	)
	client := router.Open("")
	client.Expect("empty")
	lastRejected := silentAt
	for time.Since(silentAt) < overdueAfter+3*time.Second {
		client.SendStatement(standin.ReadQuery(900))
		if !strings.HasPrefix(client.Answer(), "from ") {
			lastRejected = time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	if stopped := lastRejected.Sub(silentAt); stopped > overdueAfter+clockSlack {
		t.Errorf("a request was not served %v after the silence, want all served from %v on", stopped, overdueAfter)
	}
}
