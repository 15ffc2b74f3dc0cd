package discovery

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sedgestream/balance"
)

// callResult is what becomes of a call to a simulated discovery.
type callResult int

const (
	answeredLate callResult = iota // after the answer time of the simulated discovery
	refusedAtOnce
	neverAnswered
)

// awaitList runs calls from the one that has just started until one is answered, and returns when its list arrives. The
// first calls have the given results, all others are answered after answerTime. A call without a response has another made
// beside it after the hedge delay, and ends after the answer timeout.
func (r *simulatedRouter) awaitList(settings *balance.Settings, results []callResult, answerTime time.Duration) (arrival int64, ok bool) {
	const maxSimulatedCalls = 20
	refusedBefore := false
	for i := range maxSimulatedCalls {
		result := answeredLate
		if i < len(results) {
			result = results[i]
		}
		start := r.now
		if result == answeredLate && answerTime <= answerTimeout {
			return start + int64(answerTime), true // no later call is answered earlier
		}
		if result != refusedAtOnce {
			hedge := hedgeDelay(settings)
			if refusedBefore {
				hedge = queuedAnswerTime
			}
			r.advance(hedge)
		}
		refusedBefore = refusedBefore || result == refusedAtOnce
		r.router.ListFailed(r.now)
		r.nextCall()
	}
	return 0, false
}

// A discovery that answers each call after some seconds brings the list within the sums of docs/told.md: behind a watch
// that falls silent, at its return and at the start of a router. A call that ended before its answer would never bring it.
func TestSlowDiscoveryBringsListInTime(t *testing.T) {
	const (
		silenceToCall = silenceTimeout + 250*time.Millisecond // the first pause and a late timer
		returnToCall  = 1834 * time.Millisecond               // from the start of a call to that of the next
		startToCall   = 250 * time.Millisecond
		hang          = 1084 * time.Millisecond                 // a call that hangs, and the pause after it
		refusal       = 84 * time.Millisecond                   // the pause after a call that is refused
		longerPause   = 84 * time.Millisecond                   // by which the pause after a second failure is longer
		lateHang      = queuedAnswerTime + 250*time.Millisecond // a call that hangs behind a refusal, and the pause after it
	)
	for _, test := range []struct {
		name    string
		results []callResult
		delay   time.Duration // by the failures, up to the call that is answered
	}{
		{"answered", nil, 0},
		{"one refused", []callResult{refusedAtOnce}, refusal},
		{"two refused", []callResult{refusedAtOnce, refusedAtOnce}, 2*refusal + longerPause},
		{"one hangs", []callResult{neverAnswered}, hang},
		{"two hang", []callResult{neverAnswered, neverAnswered}, 2*hang + longerPause},
		{"one hangs and one is refused", []callResult{neverAnswered, refusedAtOnce}, hang + refusal + longerPause},
		{"one is refused and one hangs", []callResult{refusedAtOnce, neverAnswered}, refusal + lateHang},
	} {
		origins := []string{"start", "silence"}
		if len(test.results) == 0 { // after further failed calls the pauses are longer: TestReturnOfDiscoveryIsNoticedInTime
			origins = append(origins, "return")
		}
		for answerTime := time.Second; answerTime <= 5*time.Second; answerTime += time.Second {
			t.Run(test.name+" "+answerTime.String(), func(t *testing.T) {
				rapid.Check(t, func(t *rapid.T) {
					settings := drawSettings(t, false)
					router := newSimulatedRouter(settings, rapid.Uint64().Draw(t, "seed"))
					from, toFirstCall := router.now, startToCall
					router.nextCall()
					switch rapid.SampledFrom(origins).Draw(t, "from") {
					case "silence":
						router.confirmWatch()
						router.advance(time.Minute)
						from, toFirstCall = router.now, silenceToCall
						router.advance(silenceTimeout)
						router.router.ListFailed(router.now)
						router.nextCall()
					case "return":
						for range rapid.IntRange(0, 12).Draw(t, "failures before") {
							router.failCall(settings, rapid.Bool().Draw(t, "hangs"))
							router.nextCall()
						}
						from, toFirstCall = router.now, returnToCall
						router.failCall(settings, true)
						router.nextCall()
					}
					arrival, ok := router.awaitList(settings, test.results, answerTime)
					if want := toFirstCall + test.delay + answerTime; !ok || time.Duration(arrival-from) > want {
						t.Fatalf("the list arrives %v after the %v, want at most %v; arrives at all: %v",
							time.Duration(arrival-from), toFirstCall, want, ok)
					}
				})
			})
		}
	}
}

// A call that discovery answers after 3 s is not given up while newer ones are made beside it: its list counts. The other
// calls then end at once, so that discovery need not answer them.
func TestSlowCallContinuesBesideNewerCalls(t *testing.T) {
	t.Parallel()
	server := newFakeDiscovery(t)
	client, nodes := newDispatchedClient(t, server.listener.Addr().String(), askedSettings())
	start := time.Now()
	slow := server.respond("?stream=1&index=7", "")
	newer := server.respond("?stream=1&index=7", "")
	time.Sleep(time.Until(start.Add(3 * time.Second)))
	io.WriteString(slow, okHeader+fullList(8, "up")+"\n")
	waitUntil(t, "the list of the slow call", func() bool { return client.knows(nodes, "s-1") })
	newer.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := io.Copy(io.Discard, newer); err != nil {
		t.Errorf("a newer call goes on beside the watch: %v", err)
	}
}

// More calls than there are slots hang where lists are asked for: the oldest, which a slow discovery answers first, keeps
// its slot, and the newest, which is made while all others hang, gets one.
func TestOldestCallKeepsSlotWhereListIsAskedFor(t *testing.T) {
	t.Parallel()
	for _, answered := range []string{"oldest", "newest"} {
		server := newFakeDiscovery(t)
		client, _, nodes, _ := newTestClient(t, server.listener.Addr().String())
		var conns []net.Conn
		for range 2 * maxCalls {
			runAsync(client.Watch)
			conns = append(conns, server.respond("?stream=1&index=7", ""))
		}
		conn := conns[0]
		if answered == "newest" {
			conn = conns[len(conns)-1]
		}
		io.WriteString(conn, okHeader+fullList(8, "up")+"\n")
		waitUntil(t, "the list of the "+answered+" call", func() bool { return client.knows(nodes, "s-1") })
	}
}

// Long calls end at once when the address changes or the client is closed, also while their connections come up.
func TestLongCallsEndWithAddressAndClient(t *testing.T) {
	t.Parallel()
	server := newFakeDiscovery(t)
	for name, address := range map[string]string{"header": server.listener.Addr().String(), "connection": fullListener(t)} {
		for _, end := range []func(*Client){func(c *Client) { c.SetAddress("127.0.0.1:1") }, (*Client).Close} {
			client, _, _, _ := newTestClient(t, address)
			done := runAsync(client.Watch)
			time.Sleep(headerTimeout / 4)
			ended := time.Now()
			end(client)
			<-done
			if took := time.Since(ended); took > headerTimeout/4 {
				t.Errorf("a call that waits for its %s ended after %v", name, took)
			}
		}
	}
}

// A discovery that serves the calls of many routers one at a time, and needs 4 s for all of them, brings each of them
// the list. Calls that were given up would be served for nobody, or made again behind all others.
func TestSlowQueueServesAllRouters(t *testing.T) {
	t.Parallel()
	const (
		routers     = 20
		serviceTime = 200 * time.Millisecond
	)
	var calls atomic.Int64
	var turn sync.Mutex
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		turn.Lock()
		if r.Context().Err() == nil {
			time.Sleep(serviceTime)
		}
		turn.Unlock()
		io.WriteString(w, fullList(8, "up")+"\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	var known []func() bool
	for range routers {
		client, nodes := newDispatchedClient(t, strings.TrimPrefix(server.URL, "http://"), askedSettings())
		defer client.Close()
		known = append(known, func() bool { return client.knows(nodes, "s-1") })
	}
	start := time.Now()
	for i, knows := range known {
		waitUntil(t, "the list", knows)
		if took := time.Since(start); took > AnnouncedAfter {
			t.Errorf("router %d got the list after %v", i, took)
		}
	}
	t.Logf("%d calls, all lists after %v", calls.Load(), time.Since(start))
}

// Lists are pushed, and discovery answers each call late, also behind an outage in which calls hang. Calls made meanwhile must
// not take the place of the one that is about to be answered.
func TestSlowDiscoveryIsHeardWhereListsArePushed(t *testing.T) {
	t.Parallel()
	for _, play := range []struct{ answerTime, outage, heardWithin time.Duration }{
		{1200 * time.Millisecond, 0, 2 * time.Second},
		{2500 * time.Millisecond, 0, 3500 * time.Millisecond},
		{1200 * time.Millisecond, 3 * time.Second, 4 * time.Second},
	} {
		for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%v after %v, grace %v", play.answerTime, play.outage, grace), func(t *testing.T) {
				t.Parallel()
				returns := time.Now().Add(play.outage)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if time.Now().Before(returns) {
						<-r.Context().Done()
						return
					}
					time.Sleep(play.answerTime)
					io.WriteString(w, fullList(8, "up")+"\n")
					w.(http.Flusher).Flush()
					<-r.Context().Done()
				}))
				defer server.Close()
				settings := pushedSettings()
				settings.DrainGrace = int64(grace)
				client, nodes := newDispatchedClient(t, strings.TrimPrefix(server.URL, "http://"), settings)
				defer client.Close()
				waitUntil(t, "the list", func() bool { return client.knows(nodes, "s-1") })
				if took := time.Since(returns); took > play.heardWithin {
					t.Errorf("the list came after %v, want %v at most", took, play.heardWithin)
				}
			})
		}
	}
}

// Of many calls that hang, calls of all ages keep their slots. With evenly spread ages, each would differ from the next by the same
// factor; where one has just been abandoned, its neighbors differ by the square of it at most.
func TestCallsOfAllAgesAreKept(t *testing.T) {
	const spacing = 100 * time.Millisecond
	largestFactor := math.Pow(float64(answerTimeout)/float64(spacing), 2.0/(maxCalls-1))
	now := time.Now()
	var calls []*pendingCall
	for range 200 {
		if len(calls) == maxCalls {
			redundant := mostRedundant(calls, now)
			calls = slices.Delete(calls, redundant, redundant+1)
		}
		calls = append(calls, &pendingCall{start: now})
		now = now.Add(spacing)
		calls = slices.DeleteFunc(calls, func(call *pendingCall) bool { return now.Sub(call.start) > answerTimeout })
		for i := 1; i < len(calls); i++ {
			older, newer := now.Sub(calls[i-1].start), now.Sub(calls[i].start)
			if float64(older) > largestFactor*float64(newer) {
				t.Fatalf("no call is between %v and %v old", newer, older)
			}
		}
	}
}
