package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"sedgestream/internal/discovery"
	"sedgestream/internal/standin"
)

// pollSettings are settings in which routers poll discovery for the list.
var pollSettings = strings.NewReplacer(`"discovery":"push"`, `"discovery":"ask"`, `"askEveryUs":1000000`, `"askEveryUs":10000000`,
	`"deadlineUs":30000000`, `"deadlineUs":1000000`).Replace(standin.DefaultSettings)

// An overloaded discovery answers calls late, or refuses them.
func TestOverloadedDiscovery(t *testing.T) {
	t.Run("answers late", testDiscoveryAnswersLate)
	t.Run("refuses calls", testDiscoveryRefusesCalls)
}

// A call that discovery answers late, because others are ahead of it, is not given up: a new call would queue
// behind them again.
func testDiscoveryAnswersLate(t *testing.T) {
	t.Parallel()
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica)
	router.Settings = pollSettings
	router.SetDiscoveryDelay(1700 * time.Millisecond)
	router.Start(os.Args[0])
	<-router.ListRequests
	router.Updates <- `{"version":8,"full":false,"servers":[` + router.ListEntries("up", "draining") + "]}\n"
	client := router.Open("")
	client.Expect("empty")
	standin.WaitFor(t, "views to leave the draining node", func() bool {
		client.SendStatement(standin.ReadQuery(900))
		return client.Answer() == "from source"
	})
}

// A change counts as announced after discovery.AnnouncedAfter even while discovery refuses calls. From then on, after
// the drain grace, the router begins no request anywhere and rejects requests at once, until it gets the list.
func testDiscoveryRefusesCalls(t *testing.T) {
	t.Parallel()
	const grace = 500 * time.Millisecond      // drain grace of the settings
	const clockSlack = 300 * time.Millisecond // for a busy machine
	primary, leaving := standin.NewPair(t)
	staying := standin.NewNode(t, "copy")
	router := newRouter(t, primary, leaving, staying)
	router.Settings = pollSettings
	router.SetDiscoveryRefusing(true)
	router.Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	start := time.Now()
	served, rejected, last := 0, 0, start
	for latestStart := start.Add(discovery.AnnouncedAfter + grace + clockSlack); time.Since(latestStart) < 6*time.Second; time.Sleep(10 * time.Millisecond) {
		client.SendStatement(standin.ReadQuery(900))
		sentAt := time.Now()
		switch answer := client.Answer(); {
		case strings.HasPrefix(answer, "from ") && time.Now().Before(latestStart):
			served++
		case answer == "53300" && time.Since(sentAt) < 300*time.Millisecond:
			rejected++
		}
	}
	for _, node := range router.Nodes {
		for _, attempt := range node.Executions() {
			if attempt.ReceivedAt.After(last) {
				last = attempt.ReceivedAt
			}
		}
	}
	if late := last.Sub(start); late > discovery.AnnouncedAfter+grace+clockSlack {
		t.Errorf("the last request began %v after a change that the router did not get, want at most %v", late, discovery.AnnouncedAfter+grace)
	}
	if served < 100 || rejected < 10 {
		t.Errorf("only %d requests were served before that time, and %d rejected after it", served, rejected)
	}
	router.SetDiscoveryRefusing(false)
	before := len(leaving.Statements())
	standin.WaitFor(t, "requests at the node again, once the router has the list", func() bool {
		client.SendStatement(standin.ReadQuery(900))
		client.Answer()
		return len(leaving.Statements()) > before
	})
}

// Discovery answers each call after 3 s, but can be reached and refuses nobody: a drain still counts as announced 6 s
// later. No request begins at the node after the grace, whether or not the router has got the list.
func TestDiscoveryAnswersAfterThreeSeconds(t *testing.T) {
	testSlowDiscovery(t, pollSettings, 3*time.Second)
}

// Lists are pushed, and discovery answers each call late: a drain is heard before it counts as announced. Calls that are
// given up before they are answered never bring it.
func TestDrainIsHeardFromSlowDiscoveryWhereListsArePushed(t *testing.T) {
	for _, answerTime := range []time.Duration{1200 * time.Millisecond, 3 * time.Second} {
		t.Run(answerTime.String(), func(t *testing.T) {
			testSlowDiscovery(t, standin.DefaultSettings, answerTime)
		})
	}
}

// testSlowDiscovery plays a drain that discovery knows as the router starts, and whose calls it answers after some time.
func testSlowDiscovery(t *testing.T, settings string, answerTime time.Duration) {
	t.Parallel()
	const grace, clockSlack = 500 * time.Millisecond, 300 * time.Millisecond
	primary, leaving := standin.NewPair(t)
	staying := standin.NewNode(t, "copy")
	router := newRouter(t, primary, leaving, staying)
	router.Settings, router.WatchSendsList, router.WholeLines = settings, true, true
	router.SetDiscoveryDelay(answerTime)
	router.SetList(`{"version":8,"full":true,"servers":[` + router.ListEntries("up", "draining", "up") + "]}")
	router.Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	latestStart := time.Now().Add(discovery.AnnouncedAfter + grace + clockSlack)
	for time.Since(latestStart) < 2*time.Second {
		client.SendStatement(standin.ReadQuery(900))
		client.Answer()
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
}
