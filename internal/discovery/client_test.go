package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sedgestream/balance"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/settings"
)

// nodeAddresses is a NodeRegistry that records the addresses of nodes by their id.
type nodeAddresses map[string]string

func (r nodeAddresses) SetNode(_ int, name, address string) { r[name] = address }
func (r nodeAddresses) RemoveNode(int)                      {}

// fullList returns a full list of the given version with one node in the given state.
func fullList(version int, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Replace(sampleEntry, "draining", state, 1))
}

// indented spreads a list over several lines, as a pretty-printer does.
func indented(list string) string {
	return strings.NewReplacer("{", "{\n  ", "[", "[\n    ", ",", ",\n  ", "}", "\n}", "]", "\n  ]").Replace(list)
}

// Lists arrive on one line each or spread over several, in reads of any size. A truncated or malformed
// list must not cost any of the lists after it.
func TestSplitLists(t *testing.T) {
	one, two := fullList(8, "up"), fullList(9, "draining")
	flat := strings.ReplaceAll(indented(one), "\n  ", "\n") // spread over lines without indentation
	for _, c := range []struct{ name, stream, want string }{
		{"a line each", one + "\n" + two + "\n", "8 9 EOF"},
		{"empty lines", "\n\r\n" + one + "\n\n\n" + two, "- - 8 - - 9 EOF"},
		{"indented", indented(one) + "\n" + indented(two) + "\n\n", "8 9 - EOF"},
		{"indented from the first byte", "  " + strings.ReplaceAll(indented(one), "\n", "\n  ") + "\n", "8 EOF"},
		{"several lines, not indented", flat + "\n" + two + "\n", "8 9 EOF"},
		{"an empty line inside", strings.Replace(indented(one), "\n", "\n\n", 3) + "\n" + two, "8 9 EOF"},
		{"several on a line", one + two + "\n" + one, "8 9 8 EOF"},
		{"brackets and quotes in strings", strings.Replace(one, `"zone":"a"`, `"zone":"}]\"{[\\"`, 1) + "\n" + two, "8 9 EOF"},
		{"truncated in a string", one[:14] + `"fu` + "\n" + two + "\n", "malformed 9 EOF"},
		{"truncated between members", one[:13] + "\n" + two + "\n" + one, "malformed 9 8 EOF"},
		{"truncated after an entry", strings.TrimSuffix(one, "]}") + "\n" + indented(two) + "\n" + one + "\n", "malformed 9 8 EOF"},
		{"indented and truncated", indented(one)[:len(indented(one))/2] + "\n" + two + "\n", "malformed 9 EOF"},
		{"HTML", "<html>\n  <p>{}\n\n" + one + "\n", "malformed - 8 EOF"},
		{"an invalid entry", strings.Replace(one, `"up"`, `"asleep"`, 1) + "\n" + two + "\n", "malformed 9 EOF"},
		{"other JSON values", "[1]\n7\n" + one + "\n", "malformed 8 EOF"},
		{"stream ends within a list", one + "\n" + two[:30], "8 unexpected EOF"},
		{"unending", one + "\n{\"version\":[" + strings.Repeat("[1],", maxListBytes/4), "8 " + errTooLong.Error()},
		{"unending string", `{"` + strings.Repeat("v", 2*maxListBytes), errTooLong.Error()},
	} {
		for _, cut := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader} {
			s := &splitter{r: bufio.NewReader(cut(strings.NewReader(c.stream))), onStart: func() {}, onEnd: func() {}}
			var got []string
			for end := false; !end; {
				text, err := s.next()
				if err == nil && len(text) > 0 {
					var l ListUpdate
					if l, err = parseListText(text); err == nil {
						got = append(got, fmt.Sprint(l.Version))
						continue
					}
					err = &malformedError{s.offset, err}
				}
				var malformed *malformedError
				switch {
				case errors.As(err, &malformed):
					got = append(got, "malformed")
				case err != nil:
					got, end = append(got, err.Error()), true
				default:
					got = append(got, "-")
				}
			}
			if strings.Join(got, " ") != c.want {
				t.Errorf("%s: %q, want %q", c.name, strings.Join(got, " "), c.want)
			}
			if cap(s.text) > 2*maxListBytes {
				t.Errorf("%s: %d bytes are kept", c.name, cap(s.text))
			}
		}
	}
}

// fakeDiscovery is a listener whose calls are answered by respond. It records the target of each call.
type fakeDiscovery struct {
	t        *testing.T
	listener net.Listener
	targets  chan string
	conns    chan net.Conn
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &fakeDiscovery{t, l, make(chan string, 100), make(chan net.Conn, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				line, _ := bufio.NewReader(conn).ReadString('\n')
				d.targets <- strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "GET /discovery/hosts"), " HTTP/1.1")
				d.conns <- conn
			}()
		}
	}()
	return d
}

const okHeader = "HTTP/1.1 200 OK\r\n\r\n"

// respond waits for the next call, checks its target and sends the start of a response.
func (d *fakeDiscovery) respond(want, answer string) net.Conn {
	d.t.Helper()
	select {
	case got := <-d.targets:
		if got != want {
			d.t.Fatalf("asked for %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		d.t.Fatalf("no call for %q", want)
	}
	conn := <-d.conns
	d.t.Cleanup(func() { conn.Close() })
	io.WriteString(conn, answer)
	return conn
}

// newTestClient returns a client that knows list version 7, its dispatcher, the nodes it learns of, and
// its log.
func newTestClient(t *testing.T, address string) (*Client, *dispatch.Dispatcher, nodeAddresses, *observer.ObservedLogs) {
	core, logs := observer.New(zap.WarnLevel)
	nodes := nodeAddresses{}
	dispatcher := dispatch.New(&settings.Settings{Settings: balance.Settings{ListOnRequest: true, ListPollInterval: int64(time.Second),
		Classes: []balance.Class{{TargetLatency: int64(time.Second / 10), Value: 1}}}}, 1, nodes, zap.NewNop())
	client := New(address, ListUpdate{Version: 7}, &balance.Settings{ConnectTimeout: int64(time.Second)}, dispatcher, zap.New(core))
	t.Cleanup(client.Close)
	return client, dispatcher, nodes, logs
}

// runAsync runs f in the background. The channel receives how long it took.
func runAsync(f func()) <-chan time.Duration {
	done := make(chan time.Duration, 1)
	go func() {
		start := time.Now()
		f()
		done <- time.Since(start)
	}()
	return done
}

// expectEnd checks that a call of runAsync ends, and that it took between minimum and maximum.
func expectEnd(t *testing.T, what string, done <-chan time.Duration, minimum, maximum time.Duration) {
	t.Helper()
	select {
	case took := <-done:
		if took < minimum || took > maximum {
			t.Errorf("%s ended after %v, want %v to %v", what, took, minimum, maximum)
		}
	case <-time.After(maximum + 5*time.Second):
		t.Errorf("%s has not ended after %v", what, maximum+5*time.Second)
	}
}

// A silent connection is treated as broken: a watch, a watch whose list never ends although lines arrive,
// and a call whose header never arrives. Together with the router's wait before the next call, detection
// has to take less than the 6 s after which a missed change counts as announced.
func TestSilentWatch(t *testing.T) {
	margin := 700 * time.Millisecond // scheduling delays on a busy machine
	t.Run("watch", func(t *testing.T) {
		t.Parallel()
		server := newFakeDiscovery(t)
		client, _, _, _ := newTestClient(t, server.listener.Addr().String())
		done := runAsync(client.Watch)
		server.respond("?stream=1&index=7", okHeader+fullList(8, "up")+"\n\n")
		expectEnd(t, "a silent watch", done, heartbeatInterval, silenceTimeout+margin)
	})
	t.Run("list that never ends", func(t *testing.T) {
		t.Parallel()
		server := newFakeDiscovery(t)
		client, _, _, _ := newTestClient(t, server.listener.Addr().String())
		done := runAsync(client.Watch)
		conn := server.respond("?stream=1&index=7", okHeader+"{\"version\":8,\n")
		go func() {
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				io.WriteString(conn, "\n")
			}
		}()
		expectEnd(t, "a watch whose list never ends", done, heartbeatInterval, silenceTimeout+margin)
	})
	t.Run("response header", func(t *testing.T) {
		t.Parallel()
		server := newFakeDiscovery(t)
		client, dispatcher, _, _ := newTestClient(t, server.listener.Addr().String())
		awaitWatchOrder(dispatcher, time.Second)
		done := runAsync(client.Watch)
		start := time.Now()
		server.respond("?stream=1&index=7", "HTTP/1.1 ")
		if awaitWatchOrder(dispatcher, headerTimeout+margin) < 0 {
			t.Errorf("no hedged call %v after one whose header never arrives", time.Since(start))
		}
		expectEnd(t, "a call whose header never arrives", done, 0, answerTimeout+margin)
	})
	t.Run("slow heartbeats", func(t *testing.T) {
		t.Parallel()
		server := newFakeDiscovery(t)
		client, _, _, _ := newTestClient(t, server.listener.Addr().String())
		done := runAsync(client.Watch)
		conn := server.respond("?stream=1&index=7", okHeader)
		for range 3 {
			time.Sleep(heartbeatInterval + heartbeatInterval/4)
			io.WriteString(conn, "\n")
		}
		conn.Close()
		expectEnd(t, "a watch whose lines are slightly late", done, 3*heartbeatInterval, 3*(heartbeatInterval+heartbeatInterval/4)+margin)
	})
}

// A response that is shorter than its Content-Length is an error, in whatever pieces it is read.
func TestShortResponse(t *testing.T) {
	server := newFakeDiscovery(t)
	client, _, nodes, _ := newTestClient(t, server.listener.Addr().String())
	got := make(chan error)
	for _, c := range []struct {
		body string
		more int
		want error
	}{{fullList(8, "up"), 0, io.EOF}, {fullList(9, "up"), 1, io.ErrUnexpectedEOF}, {fullList(9, "up")[:40], 40, io.ErrUnexpectedEOF}} {
		go func() { got <- client.fetchFullList(client.current, hostsPath, nil) }()
		server.respond("", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(c.body)+c.more, c.body)).Close()
		if err := <-got; err != c.want {
			t.Errorf("%d bytes less than Content-Length: %v, want %v", c.more, err, c.want)
		}
	}
	if len(nodes) != 1 {
		t.Errorf("the nodes are %v", nodes)
	}
	watchOrdered := func(dispatcher *dispatch.Dispatcher) bool {
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if dispatcher.TakeActions().WatchList {
				return true
			}
		}
		return false
	}
	client.dispatcher.TakeActions()
	go func() { client.FetchList(); got <- nil }()
	server.respond("", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"+fullList(10, "up")[:50]).Close()
	if <-got; !watchOrdered(client.dispatcher) {
		t.Error("no new watch is ordered after a truncated response")
	}
}

// After a malformed line the full list is fetched at once while the watch continues, and the position of
// the line is logged.
func TestMalformedLineRefetchesFullList(t *testing.T) {
	server := newFakeDiscovery(t)
	client, _, nodes, logs := newTestClient(t, server.listener.Addr().String())
	done := runAsync(client.Watch)
	invalid := strings.Replace(fullList(8, "up"), `"up"`, `"asleep"`, 1)
	watch := server.respond("?stream=1&index=7", okHeader+invalid+"\n")
	refetch := server.respond("", okHeader+strings.Replace(fullList(8, "up"), "s-1", "s-2", 1))
	refetch.Close()
	waitUntil(t, "the full list", func() bool { client.mu.Lock(); defer client.mu.Unlock(); return len(nodes) == 1 })
	io.WriteString(watch, strings.Replace(fullList(9, "up"), "s-1", "s-3", 1)+"\n")
	waitUntil(t, "both lists", func() (both bool) {
		client.mu.Lock()
		defer client.mu.Unlock()
		return len(nodes) == 2
	})
	if e := logs.FilterMessage("a line from discovery is wrong").All(); len(e) != 1 || e[0].ContextMap()["byte"] != int64(len(invalid)) {
		t.Errorf("logged %v", e)
	}
	watch.Close()
	expectEnd(t, "the watch", done, 0, time.Second)
	// If the full list cannot be fetched, the next watch starts with it.
	done = runAsync(client.Watch)
	watch = server.respond("?stream=1&index=9", okHeader+"nonsense\n")
	server.respond("", "HTTP/1.1 503 no\r\n\r\n").Close()
	watch.Close()
	expectEnd(t, "the watch", done, 0, time.Second)
	done = runAsync(client.Watch)
	server.respond("", okHeader+fullList(10, "up")).Close()
	server.respond("?stream=1&index=10", okHeader).Close()
	expectEnd(t, "the watch", done, 0, time.Second)
}

// A hanging call of FetchList delays neither a change of address nor the end of the program.
func TestHangingFetchIsCanceled(t *testing.T) {
	server, other := newFakeDiscovery(t), newFakeDiscovery(t)
	client, _, _, _ := newTestClient(t, server.listener.Addr().String())
	for _, end := range []func(){func() { client.SetAddress(other.listener.Addr().String()) }, client.Close} {
		done := runAsync(client.FetchList)
		asked := server
		if client.current.address == other.listener.Addr().String() {
			asked = other
		}
		asked.respond("", "HTTP/1.1 200 OK\r\n")
		start := time.Now()
		end()
		<-done
		if took := time.Since(start); took > headerTimeout/2 {
			t.Errorf("the call ended after %v", took)
		}
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain: ", what)
		}
	}
}

// configurePushed applies settings with a pushed list.
func (c *Client) configurePushed() {
	c.Configure(&balance.Settings{ConnectTimeout: int64(time.Second), ListPushed: true, DrainGrace: int64(time.Second)})
}

// awaitWatchOrder returns how long it took until the dispatcher ordered a watch, or -1 if it did not
// within maximum.
func awaitWatchOrder(d *dispatch.Dispatcher, maximum time.Duration) time.Duration {
	for start := time.Now(); time.Since(start) < maximum; time.Sleep(time.Millisecond) {
		if d.TakeActions().WatchList {
			return time.Since(start)
		}
	}
	return -1
}

// A call made while discovery was down is never answered, so another is started long before it times out.
// The first to be answered becomes the watch; the others end without being reported.
func TestHedgedCall(t *testing.T) {
	for _, first := range []int{0, 1} {
		server := newFakeDiscovery(t)
		client, dispatcher, nodes, _ := newTestClient(t, server.listener.Addr().String())
		client.configurePushed()
		awaitWatchOrder(dispatcher, time.Second) // drops the order of the start
		var watches []<-chan time.Duration
		var conns []net.Conn
		for i := range 2 {
			watches = append(watches, runAsync(client.Watch))
			conns = append(conns, server.respond("?stream=1&index=7", ""))
			if took := awaitWatchOrder(dispatcher, headerTimeout); i == 0 && (took < 0 || took > 3*headerTimeout/4) {
				t.Fatalf("a hedged call is ordered after %v", took)
			}
		}
		io.WriteString(conns[first], okHeader+fullList(8, "up")+"\n")
		waitUntil(t, "the list", func() bool { client.mu.Lock(); defer client.mu.Unlock(); return len(nodes) == 1 })
		io.WriteString(conns[1-first], okHeader)
		expectEnd(t, "the other call", watches[1-first], 0, headerTimeout)
		if took := runAsync(client.Watch); <-took > headerTimeout/2 {
			t.Error("a second watch is opened")
		}
		for end := time.Now().Add(silenceTimeout + heartbeatInterval); time.Now().Before(end); time.Sleep(heartbeatInterval / 2) {
			io.WriteString(conns[first], "\n")
		}
		select {
		case <-watches[first]:
			t.Error("the open watch has ended")
		default:
		}
		dispatcher.TakeActions() // drops the order that the other call caused
		conns[first].Close()
		waitUntil(t, "the watch to end", func() bool { return len(watches[first]) > 0 })
		if awaitWatchOrder(dispatcher, time.Second) < 0 {
			t.Error("the end of the watch is not reported")
		}
	}
}

// Where lists are asked for, no call is hedged before the header timeout, and each is awaited for as long
// as an overloaded discovery may take.
func TestSlowCallIsAwaitedWhereListIsAskedFor(t *testing.T) {
	server := newFakeDiscovery(t)
	client, dispatcher, _, _ := newTestClient(t, server.listener.Addr().String())
	awaitWatchOrder(dispatcher, time.Second)
	done := runAsync(client.Watch)
	server.respond("?stream=1&index=7", "")
	if took := awaitWatchOrder(dispatcher, headerTimeout*3/4); took >= 0 {
		t.Errorf("a hedged call is ordered after %v", took)
	}
	expectEnd(t, "the call", done, 2*headerTimeout, answerTimeout+headerTimeout/2)
}

// If the full list cannot be fetched after a malformed line, the watch is closed, and the next one starts
// with the full list.
func TestFailedRefetchClosesWatch(t *testing.T) {
	server := newFakeDiscovery(t)
	client, dispatcher, _, _ := newTestClient(t, server.listener.Addr().String())
	awaitWatchOrder(dispatcher, time.Second)
	done := runAsync(client.Watch)
	server.respond("?stream=1&index=7", okHeader+"nonsense\n")
	server.respond("", "HTTP/1.1 503 no\r\n\r\n").Close()
	expectEnd(t, "the watch", done, 0, heartbeatInterval/2)
	if awaitWatchOrder(dispatcher, 2*time.Second) < 0 {
		t.Fatal("no new watch is ordered")
	}
	done = runAsync(client.Watch)
	server.respond("", okHeader+fullList(9, "up")).Close()
	server.respond("?stream=1&index=9", okHeader).Close()
	expectEnd(t, "the next watch", done, 0, time.Second)
}

// A full list fetched after a malformed line is requested again if the watch has overtaken it by a change,
// or if another malformed line arrives after the call.
func TestFullListOvertakenByChange(t *testing.T) {
	named := func(id string, version int) string { return strings.Replace(fullList(version, "up"), "s-1", id, 1) }
	change := strings.Replace(named("s-3", 9), `"full":true`, `"full":false`, 1)
	for _, nextLine := range []string{change, "{}"} {
		server := newFakeDiscovery(t)
		client, _, nodes, _ := newTestClient(t, server.listener.Addr().String())
		runAsync(client.Watch)
		watch := server.respond("?stream=1&index=7", okHeader+"nonsense\n")
		refetch := server.respond("", "") // its list dates from this moment
		io.WriteString(watch, nextLine+"\n")
		waitUntil(t, "the line after it", func() bool {
			client.mu.Lock()
			defer client.mu.Unlock()
			return len(nodes) == 1 || client.current.refetchRequests > 1
		})
		io.WriteString(refetch, okHeader+named("s-2", 8))
		refetch.Close()
		server.respond("", okHeader+named("s-4", 9)).Close()
		waitUntil(t, "the full list", func() bool {
			client.mu.Lock()
			defer client.mu.Unlock()
			return nodes["s-4"] != "" && !client.current.fetching
		})
	}
}
