package intake

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/desk"
	"sedgestream/internal/job"
	"sedgestream/internal/pg"
	"sedgestream/internal/ring"
	"sedgestream/internal/trip"
)

// client is a connection from a client. Its goroutine reads all the time, so that a client that goes is
// noticed; while a job is in hand, that job's task writes. Further queries wait in the buffer.
type client struct {
	intake  *Intake
	sock    net.Conn
	in, out *ring.Ring
	need    int // bytes that the message at the front takes, as far as known
	held    int // bytes of the job's query, kept so that they count as long as it does

	busy      atomic.Bool   // a job of it is not answered yet
	waiting   atomic.Bool   // more has come meanwhile
	free      chan struct{} // told when it is answered while more waits
	idleSince atomic.Int64  // 0 while anything is in hand or half read, closing once it is to end
	asked     atomic.Bool   // it has sent a query; until then it is idle from its coming

	came, readAt int64        // when the connection came, and its last bytes
	begun        time.Time    // when the message at the front began; the first query begins as the connection comes
	late         bool         // that message has had its time, and what had come by then has been read
	ticket       *desk.Ticket // of the job in hand
	id           string       // of that job
	spare        bool         // there was no room for it when it came
	skip         bool         // until Sync, after an error in the extended protocol
}

const closing = -1

var errEnd = errors.New("intake: connection ends")

func (c *client) live() {
	defer func() {
		if p := recover(); p != nil {
			c.intake.log.Error("a connection's task failed", zap.Any("panic", p), zap.Stack("stack"))
		}
		if c.busy.Load() && c.ticket != nil {
			c.ticket.Left()
			c.intake.unclaim(c.id)
		}
		c.sock.Close()
		c.in.Free()
		c.intake.gone(c)
	}()
	started := false
	for {
		var err error
		for more := true; more && err == nil && !c.busy.Load(); {
			c.in.Discard(c.held)
			if c.held = 0; started {
				more, err = c.message()
			} else {
				started, more, err = c.startup()
			}
		}
		if err != nil {
			return
		}
		if err := c.read(); err != nil {
			return
		}
	}
}

// read waits for more. A client that is silent in the middle of a message has so long; one between
// messages may be silent as long as it likes.
func (c *client) read() error {
	var until time.Time
	busy := c.busy.Load()
	if !busy && c.held > 0 {
		return nil // the job ended just now, and what it held goes back first
	}
	c.waiting.Store(c.in.Len() > c.held || c.held > ring.First) // a long query's room goes back at its end
	switch {
	case busy:
		if c.in.Room() == 0 { // the next queries wait outside
			if c.waiting.Store(true); c.busy.Load() {
				<-c.free
			}
			return nil
		}
	case c.in.Len() > 0 || !c.asked.Load():
		if c.begun.IsZero() {
			c.begun = time.Now()
		}
		until = c.begun.Add(patience)
		if c.late {
			c.refuse(pg.BadProtocol, "the message took too long")
			return errEnd
		}
		if err := c.in.Need(c.need, until); err != nil {
			c.refuse(pg.NoMemory, "no memory for so long a message")
			return err
		}
		if !c.asked.Load() {
			c.idle(c.came)
		}
	default:
		c.idle(c.intake.desk.Now())
	}
	c.sock.SetReadDeadline(until)
	// Whoever wants the connection to end says so first and wakes it then; it may have been woken too early.
	if c.idleSince.Load() == closing || !busy && c.intake.wantsEnd(c.asked.Load() && c.in.Len() == 0) {
		return errEnd
	}
	if busy && !c.busy.Load() {
		return nil // the job ended just now: its wake may have come before the deadline was set
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
		c.intake.changed() // a query that has been read is served; another connection may end for this one
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && (until.IsZero() || time.Now().Before(until)) {
		return nil // woken, be it for what is over by now
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.in.Len() > 0 {
		c.refuse(pg.BadProtocol, "the message took too long")
	}
	c.readAt = c.intake.desk.Now()
	return err
}

// startup answers what a connection begins with.
func (c *client) startup() (started, more bool, err error) {
	what, size, err := pg.Startup(c.in)
	if err != nil {
		c.refuse(pg.BadProtocol, "malformed startup packet")
		return false, false, err
	}
	if what == pg.Incomplete {
		c.need = size
		return false, false, nil
	}
	c.in.Discard(size)
	switch what {
	case pg.Version3:
		return true, true, c.say(pg.AppendWelcome(nil))
	case pg.Version3Later:
		return true, true, c.say(pg.AppendNegotiate(nil), pg.AppendWelcome(nil))
	case pg.Encryption:
		return false, true, c.say([]byte{'N'})
	case pg.Strange:
		c.refuse(pg.BadProtocol, "only version 3 of the protocol is spoken here")
	}
	return false, false, errEnd
}

func (c *client) refuse(state, words string) { c.say(pg.AppendError(nil, "FATAL", state, words, "")) }

// message takes in the next message, if it is whole.
func (c *client) message() (more bool, err error) {
	kind, body, size, err := pg.Message(c.in)
	if err != nil {
		c.refuse(pg.BadProtocol, "malformed message")
		return false, err
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
		if err = c.query(body); c.busy.Load() {
			c.held = size
			return false, err
		}
	case 'X':
		return false, errEnd
	case 'S':
		c.skip = false
		err = c.say(pg.AppendReady(nil))
	case 'P', 'B', 'D', 'E', 'C', 'F':
		c.skip = kind != 'F'
		words := pg.AppendError(nil, "ERROR", pg.NotHere, "only simple queries are served here", "")
		if kind == 'F' {
			words = pg.AppendReady(words)
		}
		err = c.say(words)
	case 'H', 'd', 'c', 'f':
	default:
		c.refuse(pg.BadProtocol, "unknown message")
		return false, errEnd
	}
	c.in.Discard(size)
	return true, err
}

// query makes a job of a query, or answers it at once.
func (c *client) query(body []byte) error {
	if len(body) == 0 || body[len(body)-1] != 0 {
		c.refuse(pg.BadProtocol, "malformed query")
		return errEnd
	}
	if !c.asked.Swap(true) {
		c.intake.settle()
	}
	c.begun, c.late = time.Time{}, false
	text := body[:len(body)-1]
	if pg.Empty(text) {
		return c.say(pg.AppendEmpty(nil))
	}
	if tag := pg.Harmless(text); tag != "" {
		return c.say(pg.AppendSet(nil, tag))
	}
	s, err := pg.ReadStatement(text)
	if err != nil {
		return c.wrong(pg.StrangeForm, err.Error())
	}
	t, ok := c.intake.contract.Names[s.Tariff]
	if !ok {
		return c.wrong(pg.StrangeValue, "unknown class in the comment")
	}
	g, ok := c.intake.desk.Group(s.Group)
	if !ok {
		return c.wrong(pg.StrangeValue, "unknown cluster in the comment")
	}
	if terms := &c.intake.contract.Tariffs[t]; terms.Repeat == balance.Numbered && !s.Marked {
		return c.wrong(pg.StrangeValue, "this class wants k in the comment")
	}
	if s.Write != (c.intake.contract.Tariffs[t].Need == balance.Write) {
		return c.wrong(pg.StrangeValue, "this class wants the other kind of statement")
	}
	if c.spare && !c.intake.hasRoom() {
		c.say(pg.AppendCrowded(nil))
		return errEnd
	}
	c.spare = false
	if !c.intake.claim(s.ID) {
		return c.wrong(pg.StrangeValue, "a query with this id is open already")
	}
	c.id = s.ID
	// What the query has waited here counts against its client's time.
	wait := s.Wait*int64(time.Millisecond) - (c.intake.desk.Now() - c.readAt)
	if c.idleSince.Swap(0) == closing {
		c.intake.changed()
	}
	c.busy.Store(true)
	c.ticket = job.Begin(c.intake.desk, job.Ask{Tariff: t, Group: g, Session: s.Session, Wait: wait,
		After: s.After * int64(time.Millisecond)}, c, trip.Cargo{Nodes: c.intake.nodes, Statement: s})
	go c.work(c.ticket)
	return nil
}

func (c *client) work(t *desk.Ticket) {
	defer func() {
		if p := recover(); p != nil {
			c.intake.log.Error("a job's task failed", zap.Any("panic", p), zap.Stack("stack"))
			c.sock.Close()
		}
	}()
	t.Work()
}

func (c *client) wrong(state, words string) error {
	return c.say(pg.AppendReady(pg.AppendError(nil, "ERROR", state, words, "")))
}

// say writes to the client, which has so long to read it.
func (c *client) say(parts ...[]byte) error {
	c.sock.SetWriteDeadline(time.Now().Add(patience))
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

// idle notes that nothing is in hand since then.
func (c *client) idle(since int64) {
	c.idleSince.Store(since)
	if c.intake.wanting.Load() {
		c.intake.changed()
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

// answer ends the job on this connection: the next query may come, and its id may be used anew.
func (c *client) answer(parts ...[]byte) {
	c.intake.unclaim(c.id)
	if err := c.say(parts...); err != nil {
		c.sock.Close()
	}
	if !c.waiting.Load() {
		c.idle(c.intake.desk.Now())
	}
	c.busy.Store(false)
	if c.waiting.Load() || c.intake.isLeaving() {
		c.sock.SetReadDeadline(ring.Past)
		select {
		case c.free <- struct{}{}:
		default:
		}
	}
}

// Done implements job.Client.
func (c *client) Done(value []byte) { c.answer(value, pg.AppendReady(nil)) }

// Bounced implements job.Client.
func (c *client) Bounced(stayAway int64) {
	detail := ""
	if ms := (stayAway + int64(time.Millisecond) - 1) / int64(time.Millisecond); ms > 0 {
		detail = strconv.FormatInt(ms, 10)
	}
	c.answer(pg.AppendReady(pg.AppendBounce(nil, detail)))
}

// Terminated implements job.Client.
func (c *client) Terminated() { c.answer(pg.AppendReady(pg.AppendTermination(nil))) }
