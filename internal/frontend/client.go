package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/pg"
	"sedgestream/internal/request"
	"sedgestream/internal/ring"
	"sedgestream/internal/upstream"
)

// client is a connection from a client. Its goroutine reads all the time, so that a client that goes is noticed. Queries
// written one behind the other become requests as they come, so that none waits for the one before to be answered; the
// answers go out in the order of the queries, by the task of whichever request is next.
type client struct {
	server  *Server
	sock    net.Conn
	in, out *ring.Ring
	need    int // bytes that the message at the front takes, as far as known
	held    int // bytes of a long query, kept so that they count as long as its request does

	mu      sync.Mutex
	pending []*pendingAnswer // whose answers are not out yet
	writing bool             // the first of them is being written, by the task of some request
	left    bool             // nobody reads answers any more

	inFlight  atomic.Int32  // how many turns there are
	waiting   atomic.Bool   // more has come meanwhile
	free      chan struct{} // told when one is answered while more waits
	idleSince atomic.Int64  // 0 while anything is in hand or half read, closing once it is to end
	asked     atomic.Bool   // it has sent a query; until then it is idle from its coming

	came, readAt int64     // when the connection came, and the bytes that are looked at next
	begun        time.Time // when the message at the front began; the first query begins as the connection comes
	late         bool      // that message has had its time, and what had come by then has been read
	alone        bool      // a long query is in hand, or waits for those before it: nothing goes beside it
	spare        bool      // there was no room for it when it came
	skip         bool      // until Sync, after an error in the extended protocol
}

// pendingAnswer is a place in the order of a client's answers; that of a request is who the request came from.
type pendingAnswer struct {
	client *client
	id     string
	ticket *dispatch.Ticket // of its request, if any
	parts  [][]byte         // the answer, once there is one
	kept   int              // bytes of it that count while it waits for those before it
}

// maxPipelined is how many queries of one client may be in hand; more wait in its buffer, and then outside. With half a
// page each, and a third of the descriptors, that is a sixth of the smallest memory of the platform's page.
const maxPipelined = 32

// transitAllowance is for how long a query and its answer are on their ways together, at most: a client's time runs from its sending.
const transitAllowance = int64(10 * time.Millisecond)

const closing = -1

// lingerTimeout is how long an end may wait for the last bytes to be acknowledged. A restart has that much to spare, as the protocol
// page has it: whoever ends later than the last request in hand could be killed with an answer unsent.
const lingerTimeout = 200 * time.Millisecond

var (
	errEnd  = errors.New("intake: connection ends")
	errLast = errors.New("intake: connection ends once all is answered")
)

func (c *client) serve() {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error("a connection's task failed", zap.Any("panic", p), zap.Stack("stack"))
		}
		c.leave()
		c.sock.Close()
		c.in.Free()
		c.server.remove(c)
	}()
	started := false
	for {
		var err error
		for more := true; more && err == nil && !c.full(); {
			if c.inFlight.Load() == 0 {
				c.in.Discard(c.held)
				c.held, c.alone = 0, false
			}
			if started {
				more, err = c.message()
			} else {
				started, more, err = c.startup()
			}
		}
		if err == nil {
			err = c.read()
		}
		if err == errLast {
			for n := c.inFlight.Load(); n > 0 && err == errLast; n = c.inFlight.Load() {
				if gone := c.await(n); gone != nil {
					err = gone
				}
			}
		}
		if err == errLast || err == errEnd {
			c.lingerClose(err == errLast)
		}
		if err != nil {
			return
		}
	}
}

// lingerClose ends the sending where a reset could follow: a connection that ends with unread bytes sends one, and so does one that
// has ended when more comes, and it takes with it whatever of the answers has not come to the client's machine. Behind a last
// word what still comes is dropped until the client ends too; whoever needs the place ends that. As the program ends, clients
// go on sending: what they were sent is waited for. A query that crosses the end of an idle connection is not read, so that
// its client asks again elsewhere.
func (c *client) lingerClose(last bool) {
	end, ok := c.sock.(interface{ CloseWrite() error })
	if !ok || !last && !c.server.isDraining() || end.CloseWrite() != nil {
		return
	}
	if !c.server.isDraining() {
		c.idle(c.server.dispatcher.Now())
		c.sock.SetReadDeadline(time.Now().Add(readTimeout))
		if c.idleSince.Load() != closing {
			io.Copy(io.Discard, struct{ io.Reader }{c.sock})
		}
		return
	}
	for end := time.Now().Add(lingerTimeout); ring.Unsent(c.sock) > 0 && time.Now().Before(end); {
		time.Sleep(lingerTimeout / 64)
	}
}

// full tells whether what comes next has to wait for an answer.
func (c *client) full() bool {
	n := c.inFlight.Load()
	return n >= maxPipelined || c.alone && n > 0
}

// leave gives up the turns that are left: the client has gone, and nothing more is owed. An answer that is being written to a
// client that doesn't read does not hold it up.
func (c *client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	for _, t := range c.pending {
		c.server.budget.Give(t.kept)
		if t.parts == nil && t.ticket != nil {
			t.ticket.Left()
			c.server.unclaim(t.id)
		}
	}
}

// read waits for more. A client that is silent in the middle of a message has so long; one between
// messages may be silent as long as it likes.
func (c *client) read() error {
	var until time.Time
	hands, stalled := c.inFlight.Load(), c.full() && c.in.Len() > c.held
	busy := hands > 0
	if !busy && c.held > 0 {
		return nil // the request ended just now, and what it held goes back first
	}
	c.waiting.Store(c.in.Len() > c.held || c.held > ring.First) // a long query's room goes back at its end
	switch {
	case busy:
		if c.in.Room() == 0 { // the next queries wait outside, and the end of the stream behind them
			return c.await(hands)
		}
	case c.in.Len() > 0 || !c.asked.Load():
		if c.begun.IsZero() {
			c.begun = time.Now()
		}
		until = c.begun.Add(readTimeout)
		if c.late {
			return c.refuse(pg.BadProtocol, "the message took too long")
		}
		if err := c.in.Need(c.need, until); err != nil {
			return c.refuse(pg.NoMemory, "no memory for so long a message")
		}
		if !c.asked.Load() {
			c.idle(c.came)
		} else if at := c.idleSince.Load(); at > 0 { // of the answer before
			c.idleSince.CompareAndSwap(at, 0)
		}
	default:
		c.idle(c.server.dispatcher.Now())
	}
	c.sock.SetReadDeadline(until)
	// Whoever wants the connection to end says so first and wakes it then; it may have been woken too early. What has come by
	// then is owed an answer, and is read.
	if c.idleSince.Load() == closing || !busy && c.server.wantsEnd(c.asked.Load() && c.in.Len() == 0) {
		if c.server.isOverdue() || !ring.Pending(c.sock) {
			return errEnd
		}
		c.sock.SetReadDeadline(time.Now().Add(readTimeout))
	}
	if c.inFlight.Load() != hands {
		return nil // a request ended just now: its wake may have come before the deadline was set
	}
	n, err := c.in.Fill(c.sock)
	if errors.Is(err, os.ErrDeadlineExceeded) && ring.Pending(c.sock) { // what has come is looked at, late or not
		c.sock.SetReadDeadline(time.Time{})
		n, err = c.in.Fill(c.sock)
		c.late = !until.IsZero() && time.Now().After(until)
	}
	if c.idleSince.Swap(0) == closing {
		if n == 0 {
			return errEnd
		}
		c.server.changed() // a query that has been read is served; another connection may end for this one
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && (until.IsZero() || time.Now().Before(until)) {
		return nil // woken, be it for what is over by now
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.in.Len() > 0 {
		return c.refuse(pg.BadProtocol, "the message took too long")
	}
	if !stalled { // what stands before these bytes came earlier
		c.readAt = c.server.dispatcher.Now()
	}
	return err
}

// await waits, without reading, until there are not so many turns any more. Its error tells that the client has gone.
func (c *client) await(hands int32) error {
	c.waiting.Store(true)
	c.sock.SetReadDeadline(time.Time{})
	if c.inFlight.Load() != hands {
		return nil // its wake may have come before the deadline was set
	}
	err := ring.AwaitEnd(c.sock)
	if err == ring.ErrUnawaited {
		<-c.free
		err = nil
	}
	return err
}

// startup answers what a connection begins with.
func (c *client) startup() (started, more bool, err error) {
	what, size, err := pg.Startup(c.in)
	if err != nil {
		return false, false, c.refuse(pg.BadProtocol, "malformed startup packet")
	}
	if what == pg.Incomplete {
		c.need = size
		return false, false, nil
	}
	c.in.Discard(size)
	switch what {
	case pg.Version3:
		return true, true, c.reply(pg.AppendWelcome(nil))
	case pg.Version3Later:
		return true, true, c.reply(pg.AppendNegotiate(nil), pg.AppendWelcome(nil))
	case pg.Encryption:
		return false, true, c.reply([]byte{'N'})
	case pg.Strange:
		return false, false, c.refuse(pg.BadProtocol, "only version 3 of the protocol is spoken here")
	}
	return false, false, errEnd
}

// refuse is the last answer on a connection.
func (c *client) refuse(state, words string) error {
	c.reply(pg.AppendError(nil, "FATAL", state, words, ""))
	return errLast
}

// message takes in the next message, if it is whole.
func (c *client) message() (more bool, err error) {
	kind, body, size, err := pg.Message(c.in)
	if err != nil {
		return false, c.refuse(pg.BadProtocol, "malformed message")
	}
	if kind == 0 {
		c.need = size
		return false, nil
	}
	if c.asked.Load() {
		c.begun, c.late = time.Time{}, false
	}
	if c.skip && kind != 'S' && kind != 'X' {
		c.in.Discard(size)
		return true, nil
	}
	switch kind {
	case 'Q':
		long := size > ring.First/2
		if c.alone = long; long && c.inFlight.Load() > 0 {
			return false, nil // those before it are answered first
		}
		if err = c.query(body); long && c.inFlight.Load() > 0 {
			c.held = size
			return false, err
		}
	case 'X':
		return false, errEnd
	case 'S':
		c.skip = false
		err = c.reply(pg.AppendReady(nil))
	case 'P', 'B', 'D', 'E', 'C', 'F':
		c.skip = kind != 'F'
		words := pg.AppendError(nil, "ERROR", pg.NotHere, "only simple queries are served here", "")
		if kind == 'F' {
			words = pg.AppendReady(words)
		}
		err = c.reply(words)
	case 'H', 'd', 'c', 'f':
	default:
		return false, c.refuse(pg.BadProtocol, "unknown message")
	}
	c.in.Discard(size)
	return true, err
}

// query makes a request of a query, or answers it at once.
func (c *client) query(body []byte) error {
	if len(body) == 0 || body[len(body)-1] != 0 {
		return c.refuse(pg.BadProtocol, "malformed query")
	}
	if !c.asked.Swap(true) {
		c.server.noteAsker()
	}
	begun := c.begun
	c.begun, c.late = time.Time{}, false
	text := body[:len(body)-1]
	if pg.Empty(text) {
		return c.reply(pg.AppendEmpty(nil))
	}
	if tag := pg.Harmless(text); tag != "" {
		return c.reply(pg.AppendSet(nil, tag))
	}
	s, err := pg.ReadStatement(text)
	if err != nil {
		return c.wrong(pg.StrangeForm, err.Error())
	}
	deal := c.server.dispatcher.Policy() // one set of settings judges a query from here on, whatever is loaded meanwhile
	contract := deal.Settings
	t, ok := contract.ByName[s.Tariff]
	if !ok {
		return c.wrong(pg.StrangeValue, "unknown class in the comment")
	}
	g, ok := c.server.dispatcher.Group(s.Group)
	if !ok {
		return c.wrong(pg.StrangeValue, "unknown cluster in the comment")
	}
	if terms := &contract.Classes[t]; terms.Repeat == balance.Deduplicated && !s.Marked {
		return c.wrong(pg.StrangeValue, "this class wants k in the comment")
	}
	if s.Write != (contract.Classes[t].Need == balance.Write) {
		return c.wrong(pg.StrangeValue, "this class wants the other kind of statement")
	}
	if c.server.finishing.Load() { // nothing new is begun: its client comes again elsewhere
		return c.reply(pg.AppendReady(pg.AppendBounce(nil, "")))
	}
	if c.spare && !c.server.hasRoom() {
		c.reply(pg.AppendCrowded(nil))
		return errLast
	}
	c.spare = false
	// Of a query that has waited here the client may have gone, its end unread behind what it wrote. Nothing is sent for it.
	if c.hasWaited(begun) && ring.Ended(c.sock) {
		return io.EOF
	}
	if !c.server.claim(s.ID) {
		return c.wrong(pg.StrangeValue, "a query with this id is open already")
	}
	// No client waits for longer than the settings say: guards against times that would hold a place for days. What
	// the query has waited here counts against its client's time, and so do the ways: a request that ends with its deadline
	// would else be answered after its client has given up.
	wait := s.Wait * int64(time.Millisecond)
	if most := contract.Deadlines[t]; most > 0 {
		wait = min(wait, most)
	}
	wait -= c.server.dispatcher.Now() - c.readAt
	wait -= min(transitAllowance, wait/16)
	turn := &pendingAnswer{client: c, id: s.ID}
	if c.take(turn) {
		c.server.changed()
	}
	turn.ticket = request.Begin(c.server.dispatcher, dispatch.Arrival{Policy: deal, Class: t, Group: g, Wait: wait,
		After: s.After * int64(time.Millisecond), GroupName: s.Group, Key: s.Key, Write: s.Write, Again: s.Again}, turn, upstream.Sender{Nodes: c.server.nodes, Statement: s})
	go turn.ticket.Work()
	return nil
}

// hasWaited tells whether the query looked at now, which began to come then, has been here for longer than a tick.
func (c *client) hasWaited(begun time.Time) bool {
	tick := c.server.dispatcher.Policy().Settings.Tick
	return c.server.dispatcher.Now()-c.readAt > tick || !begun.IsZero() && time.Since(begun) > time.Duration(tick)
}

// take puts a turn behind the others, and tells whether the connection was about to end.
func (c *client) take(t *pendingAnswer) (ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ending = c.idleSince.Swap(0) == closing
	c.pending = append(c.pending, t)
	c.inFlight.Store(int32(len(c.pending)))
	return ending
}

func (c *client) wrong(state, words string) error {
	return c.reply(pg.AppendReady(pg.AppendError(nil, "ERROR", state, words, "")))
}

// write writes to the client, which has so long to read it.
func (c *client) write(parts ...[]byte) error {
	c.sock.SetWriteDeadline(time.Now().Add(readTimeout))
	for _, p := range parts {
		if c.out.Len()+len(p) > ring.First {
			if err := c.out.Flush(c.sock); err != nil {
				return err
			}
		}
		if len(p) <= ring.First {
			c.out.Write(p)
		} else if _, err := c.sock.Write(p); err != nil { // from where it is, so that it does not stand in memory twice
			return err
		}
	}
	return c.out.Flush(c.sock)
}

// writeUnlocked writes what the caller, who holds the lock, has the turn for.
func (c *client) writeUnlocked(parts [][]byte) error {
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.write(parts...)
}

// idle notes that nothing is in hand since then.
func (c *client) idle(since int64) {
	c.idleSince.Store(since)
	if c.server.wanting.Load() {
		c.server.changed()
	}
}

// closeIdle has the connection end if it has been idle since then and nothing has come meanwhile. Its own task
// does that, so that no query is read and then dropped.
func (c *client) closeIdle(since int64) bool {
	if since <= 0 || !c.idleSince.CompareAndSwap(since, closing) {
		return false
	}
	c.sock.SetReadDeadline(ring.Past)
	return true
}

// reply answers what no request was made of, in its turn.
func (c *client) reply(parts ...[]byte) error {
	c.mu.Lock()
	if len(c.pending) == 0 { // then no request's task writes, nor will one before the next query is read
		c.mu.Unlock()
		return c.write(parts...)
	}
	defer c.mu.Unlock()
	c.pending = append(c.pending, &pendingAnswer{client: c, parts: parts})
	c.inFlight.Store(int32(len(c.pending)))
	return nil
}

// answer ends a request: its id may be used anew, and its answer goes out once those before it are out. Whoever has the first of
// them writes it, and whatever has its answer by then behind it; the lock is free meanwhile, for the client's own task.
func (t *pendingAnswer) answer(parts ...[]byte) {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left || t.parts != nil {
		return
	}
	c.server.unclaim(t.id)
	if t.parts = parts; c.writing || t != c.pending[0] {
		t.keep()
		return
	}
	for c.writing = true; len(c.pending) > 0 && c.pending[0].parts != nil; {
		next := c.pending[0]
		if err := c.writeUnlocked(next.parts); err != nil {
			c.sock.Close()
		}
		if c.left {
			return
		}
		c.server.budget.Give(next.kept)
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.writing = false
	if len(c.pending) == 0 && !c.waiting.Load() {
		c.idle(c.server.dispatcher.Now())
	}
	c.inFlight.Store(int32(len(c.pending)))
	if c.waiting.Load() || c.server.isDraining() {
		c.sock.SetReadDeadline(ring.Past)
		select {
		case c.free <- struct{}{}:
		default:
		}
	}
}

// keep counts a long answer that has to wait. One for which there is no memory is given up: its request has run.
func (t *pendingAnswer) keep() {
	size := 0
	for _, p := range t.parts {
		size += len(p)
	}
	if size <= ring.First {
		return
	}
	if t.client.server.budget.Try(size) {
		t.kept = size
	} else {
		t.client.server.log.Warn("no memory for an answer that has to wait", zap.Int("bytes", size))
		t.parts = [][]byte{pg.AppendReady(pg.AppendTermination(nil))}
	}
}

// Succeeded implements request.Client.
func (t *pendingAnswer) Succeeded(value []byte) { t.answer(value, pg.AppendReady(nil)) }

// Rejected implements request.Client.
func (t *pendingAnswer) Rejected(stayAway int64) {
	detail := ""
	if ms := (stayAway + int64(time.Millisecond) - 1) / int64(time.Millisecond); ms > 0 {
		detail = strconv.FormatInt(ms, 10)
	}
	t.answer(pg.AppendReady(pg.AppendBounce(nil, detail)))
}

// Failed implements request.Client.
func (t *pendingAnswer) Failed() { t.answer(pg.AppendReady(pg.AppendTermination(nil))) }

// Panicked implements request.Client.
func (t *pendingAnswer) Panicked(p any) {
	t.client.server.log.Error("a job's task failed", zap.Any("panic", p), zap.Stack("stack"))
	if t.client.answered(t) {
		t.client.sock.Close() // it may have been cut off in the middle
		return
	}
	t.Failed()
}

func (c *client) answered(t *pendingAnswer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.parts != nil
}
