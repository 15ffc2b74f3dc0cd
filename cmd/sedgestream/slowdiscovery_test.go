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
			expectNoLateAttempts(t, router, leaving, time.Now())
		})
	}
}

// expectNoLateAttempts sends requests until 2 s after the moment at which a change of the list may no longer be ignored,
// and fails the test if requests begin at the leaving node after that, or if requests are not served.
func expectNoLateAttempts(t *testing.T, router *standin.Harness, leaving *standin.Node, changedAt time.Time) {
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
	if served < sent*9/10 {
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

// A watch falls silent and the calls after it are answered after 2 s: the change that the watch misses arrives in time.
func TestSilentWatchAtSlowDiscovery(t *testing.T) {
	t.Parallel()
	primary, leaving := standin.NewPair(t)
	router := newRouter(t, primary, leaving, standin.NewNode(t, "copy"))
	router.Settings, router.WatchSendsList, router.WholeLines = pollSettings, true, true
	router.SetList(`{"version":8,"full":true,"servers":[` + router.ListEntries() + "]}")
	router.Start(os.Args[0])
	<-router.ListRequests
	time.Sleep(100 * time.Millisecond) // the list is sent behind the response header
	router.SetDiscoveryDelay(2 * time.Second)
	router.SetList(`{"version":9,"full":true,"servers":[` + router.ListEntries("up", "draining", "up") + "]}")
	router.SilenceWatches()
	expectNoLateAttempts(t, router, leaving, time.Now())
}
