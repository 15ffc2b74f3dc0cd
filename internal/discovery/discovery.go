// Package list asks discovery for the list of nodes: the whole of it, and a watch on its changes, over
// HTTP/1.1. When to ask is told to it.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/descriptors"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/jsonfield"
	"sedgestream/internal/ring"
)

// As the protocol page has it: an empty line comes every 2 s while nothing changes. A watch that brings nothing for half as
// long again has broken, and so has a list that has begun and does not end; a call is answered at once, or not at all. What a
// silent watch misses counts as told 6 s later: that leaves time for two more calls, one of which may hang as well. Where lists
// are pushed, what discovery has counts as told at its return: a call without an answer is not waited for alone then.
const (
	path              = "/discovery/hosts"
	heartbeatInterval = 2 * time.Second
	silenceTimeout    = heartbeatInterval + heartbeatInterval/2
	headTimeout       = heartbeatInterval / 2

	// ToldAfter is after how long a change counts as told, whether or not it was heard.
	ToldAfter = 3 * heartbeatInterval
)

// maxHeaderBytes is what the head of an answer may hold.
const maxHeaderBytes = 16 << 10

// Snapshot is one answer's entries.
type Snapshot struct {
	Version int64
	Full    bool
	Servers []dispatch.Server
}

// Read reads a list in discovery's form. Nothing of a wrong one is kept.
func Read(v *fastjson.Value) (l Snapshot, err error) {
	defer jsonfield.Catch(&err)
	l.Version, l.Full = jsonfield.Whole(v, "version", true), jsonfield.Flag(v, "full")
	for _, e := range jsonfield.Array(v, "servers", true) {
		started := jsonfield.Whole(e, "started_ms", false)
		if started < 0 || started > math.MaxInt64/int64(time.Millisecond) {
			jsonfield.Fail("started_ms is no time")
		}
		w := dispatch.Server{ID: jsonfield.Str(e, "id", true), Address: jsonfield.Str(e, "addr", false),
			Zone: jsonfield.Str(e, "zone", false), Group: jsonfield.Whole(e, "cell", false),
			Weight: jsonfield.Number(e, "weight", 1), Started: started * int64(time.Millisecond),
			Primary: jsonfield.Str(e, "rank", false) == "source"}
		switch state := jsonfield.Str(e, "state", true); state {
		case "up":
		case "draining":
			w.Standing = balance.Draining
		case "removed":
			w.Standing = balance.Gone
		default:
			jsonfield.Fail("state %q is none of up, draining, removed", state)
		}
		if w.ID == "" || w.Weight < 0 || w.Address == "" && w.Standing != balance.Gone {
			jsonfield.Fail("an entry lacks its id, its address or its weight")
		}
		l.Servers = append(l.Servers, w)
	}
	return l, nil
}

// Client asks discovery, at one address at a time.
type Client struct {
	// Nanoseconds for a connection to come up, and after which the module is told that a call is not answered; 0: not before
	// its end, where calls are no matter of course.
	connectTimeout, hesitateAfter atomic.Int64
	dispatcher                    *dispatch.Dispatcher
	log                           *zap.Logger

	Dialer  *descriptors.Dialer // nil: nobody makes room for a call that finds no descriptor
	room    chan struct{}       // holds one for each call that is under way
	life    context.Context     // ends with Close
	endLife context.CancelFunc

	mu    sync.Mutex
	at    *endpoint             // nil once closed
	calls map[net.Conn]struct{} // that are under way
	tasks sync.WaitGroup        // of its own
}

// endpoint is one address of discovery, until it moves. Versions are counted by each on its own.
type endpoint struct {
	address   string
	version   int64
	stale     bool     // it has not told the whole list yet, or told something wrong since
	asking    bool     // for the whole list, beside the watch
	malformed int      // how often something wrong has come
	watch     net.Conn // the one that stands, if any
}

// New tells the list that the router had before it started.
func New(address string, known Snapshot, c *balance.Settings, d *dispatch.Dispatcher, log *zap.Logger) *Client {
	d.List(known.Version, true, known.Servers)
	l := &Client{dispatcher: d, log: log, at: &endpoint{address: address, version: known.Version}, calls: map[net.Conn]struct{}{},
		room: make(chan struct{}, maxCalls)}
	l.life, l.endLife = context.WithCancel(context.Background())
	l.Configure(c)
	return l
}

// Apply has calls keep to settings from now on.
func (l *Client) Configure(c *balance.Settings) {
	l.connectTimeout.Store(c.ConnectTimeout)
	hesitates := int64(0)
	if c.ListPushed {
		hesitates = max(int64(headTimeout)/8, min(int64(headTimeout), c.DrainGrace)/4) // so that few are under way at a time
	}
	l.hesitateAfter.Store(hesitates)
}

// Move has the list asked for at another address from now on. What is still on the way from the old one is dropped.
func (l *Client) Move(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil || l.at.address == address {
		return
	}
	l.at = &endpoint{address: address, stale: true}
	l.endCalls()
	l.dispatcher.ListMoved()
}

func (l *Client) endCalls() {
	for sock := range l.calls {
		sock.Close()
	}
}

// Watch follows the changes until the watch ends, and tells the module then. A discovery that has just become the one
// to ask tells the whole list first: it may count its versions otherwise than the one before.
func (l *Client) Watch() {
	l.mu.Lock()
	at := l.at
	if at == nil || at.watch != nil {
		l.mu.Unlock()
		return
	}
	strange := at.stale
	l.mu.Unlock()
	// Guards against calls that are never answered, as discovery was down when they came: another is made beside them, and
	// whichever is answered first becomes the watch. Each try has the module told once until it is that.
	var told sync.Once
	err, failed := io.EOF, func(words string, err error) { told.Do(func() { l.failed(at, words, err) }) }
	late := func() { failed("discovery does not answer at once", nil) }
	if strange {
		err = l.fetch(at, path, late)
	}
	if err == io.EOF {
		l.mu.Lock()
		target := fmt.Sprintf("%s?stream=1&index=%d", path, at.version)
		l.mu.Unlock()
		var c *call
		if c, err = l.call(at, target, late); err == nil {
			if !l.claimWatch(at, c.sock) {
				l.closeCall(c.sock)
				return // another was sooner
			}
			err = l.consume(at, c, true)
			l.releaseWatch(at)
			l.closeCall(c.sock)
			l.failed(at, "the watch on the list ended", err)
			return
		}
	}
	failed("the watch on the list ended", err)
}

// claimWatch has a connection be the watch, unless there is one.
func (l *Client) claimWatch(at *endpoint, sock net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.watch == nil {
		at.watch = sock
	}
	return at.watch == sock
}

func (l *Client) releaseWatch(at *endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at.watch = nil
}

// Lookup asks once for the whole list.
func (l *Client) Lookup() {
	l.mu.Lock()
	at := l.at
	l.mu.Unlock()
	if at == nil {
		return
	}
	if err := l.fetch(at, path, nil); err != nil && err != io.EOF {
		l.failed(at, "asking for the list failed", err)
	}
}

// refetch has the whole list asked for at once, since a wrong one may have held what nobody tells again. The watch goes on
// beside that. One that was asked for before the last wrong one came, or that the watch has overtaken by changes, is asked for
// once more. If the whole list does not come, the watch ends, and begins by it when it is opened anew.
func (l *Client) refetch(at *endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at.malformed++
	if at.stale = true; l.at != at || at.asking {
		return
	}
	at.asking = true
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		err := io.EOF
		l.mu.Lock()
		defer l.mu.Unlock()
		for doubts, version := -1, int64(-1); err == io.EOF && l.at == at && (doubts != at.malformed || at.stale && version < at.version); {
			doubts, version = at.malformed, at.version
			l.mu.Unlock()
			err = l.fetch(at, path, nil)
			l.mu.Lock()
		}
		if at.asking = false; l.at == at && err != io.EOF {
			l.log.Warn("asking for the whole list after a wrong one failed", zap.Error(err))
			if at.watch != nil {
				at.watch.Close()
			}
		}
	}()
}

// failed tells the module, unless nobody asks there any more.
func (l *Client) failed(at *endpoint, words string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == at {
		l.log.Warn(words, zap.Error(err))
		l.dispatcher.ListFailed()
	}
}

// Close ends the watch, and whatever else is being asked.
func (l *Client) Close() {
	l.endLife()
	l.mu.Lock()
	l.at = nil
	l.endCalls()
	l.mu.Unlock()
	l.tasks.Wait()
}

// register tells whether the list is still asked for there; the call is then among those that Close and Move end.
func (l *Client) register(at *endpoint, sock net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == at {
		l.calls[sock] = struct{}{}
	}
	return l.at == at
}

func (l *Client) closeCall(sock net.Conn) {
	sock.Close()
	l.release()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, sock)
}

// fetch asks for the whole list once. It gives io.EOF once that has come whole; late is told of a call that is not answered
// at once, if anybody wants to know.
func (l *Client) fetch(at *endpoint, target string, late func()) error {
	c, err := l.call(at, target, late)
	if err != nil {
		return err
	}
	defer l.closeCall(c.sock)
	return l.consume(at, c, false)
}

// call is one whose answer has begun.
type call struct {
	sock net.Conn
	in   *source
	body io.Reader
}

// call sends one request and reads the head of its answer.
func (l *Client) call(at *endpoint, target string, late func()) (c *call, err error) {
	if after := time.Duration(l.hesitateAfter.Load()); late != nil && after > 0 {
		defer time.AfterFunc(after, late).Stop()
	}
	sock, err := l.connect(at)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			l.closeCall(sock)
		}
	}()
	if !l.register(at, sock) {
		return nil, net.ErrClosed
	}
	out := ring.New(ring.First, ring.First, nil)
	fmt.Fprintf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, at.address)
	sock.SetWriteDeadline(time.Now().Add(time.Duration(l.connectTimeout.Load())))
	if err = out.Flush(sock); err != nil {
		return nil, err
	}
	in := &source{sock: sock, ring: ring.New(ring.First, ring.First, nil), until: time.Now().Add(headTimeout)}
	body, err := answer(bufio.NewReader(in))
	if err != nil {
		return nil, err
	}
	return &call{sock, in, body}, nil
}

// consume takes in each list of an answer, and gives io.EOF once that is whole.
func (l *Client) consume(at *endpoint, c *call, watch bool) error {
	lists := &splitter{r: bufio.NewReaderSize(c.body, ring.First)}
	lists.begins = func() { c.in.until = time.Now().Add(silenceTimeout) }
	lists.ends = func() { c.in.until = time.Time{} }
	if lists.ends(); !watch {
		lists.begins() // the only one, which comes at once
	}
	for stands := false; ; {
		text, err := lists.next()
		switch {
		case err == nil && len(text) > 0:
			err = l.apply(at, text, lists.at)
		case err == nil && watch && !stands: // nothing has changed, and what failed before is over
			stands = true
			l.unchanged(at)
		}
		if wrong := (*malformedError)(nil); errors.As(err, &wrong) {
			l.log.Warn("a line from discovery is wrong", zap.String("at", at.address), zap.Int64("byte", wrong.at), zap.Error(err))
			if watch {
				l.refetch(at)
				continue
			}
		}
		if err != nil {
			return err
		}
	}
}

// source is the socket through its ring; a read that brings nothing for too long fails, and so does one past the time by
// which what has begun is to be whole, if there is one.
type source struct {
	sock  net.Conn
	ring  *ring.Ring
	until time.Time
}

func (s *source) Read(p []byte) (int, error) {
	if s.ring.Len() == 0 {
		until := time.Now().Add(silenceTimeout)
		if !s.until.IsZero() && s.until.Before(until) {
			until = s.until
		}
		s.sock.SetReadDeadline(until)
		if _, err := s.ring.Fill(s.sock); err != nil && s.ring.Len() == 0 {
			return 0, err
		}
	}
	return s.ring.Read(p)
}

// apply takes in one list, which ends so many bytes into the answer's body. Of a wrong one nothing is taken, and the last
// list stands.
func (l *Client) apply(at *endpoint, text []byte, upTo int64) error {
	list, err := parse(text)
	if err != nil {
		return &malformedError{upTo, err}
	}
	l.deliver(at, list)
	return nil
}

// unchanged takes in that a watch brings empty lines: a list in which nothing has changed.
func (l *Client) unchanged(at *endpoint) {
	l.mu.Lock()
	version := at.version
	l.mu.Unlock()
	l.deliver(at, Snapshot{Version: version})
}

func (l *Client) deliver(at *endpoint, list Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Version < at.version || l.at != at { // of a call overtaken by the watch, or from where nobody asks any more
		return
	}
	at.version, at.stale = list.Version, at.stale && !list.Full
	l.dispatcher.List(list.Version, list.Full, list.Servers)
}

// answer reads the head of an HTTP answer and gives its body.
func answer(r *bufio.Reader) (io.Reader, error) {
	status, err := headLine(r)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(status, " ")
	if !strings.HasPrefix(version, "HTTP/1.") {
		return nil, errors.New("list: not an HTTP/1 answer")
	}
	if !strings.HasPrefix(rest, "200") {
		return nil, fmt.Errorf("list: discovery answered %q", rest)
	}
	length, chunked := int64(-1), false
	for held := 0; ; {
		h, err := headLine(r)
		if err != nil {
			return nil, err
		}
		if h == "" {
			break
		}
		if held += len(h); held > maxHeaderBytes {
			return nil, errors.New("list: the answer's head is too long")
		}
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, errors.New("list: malformed header")
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 63); err != nil || length < 0 {
				return nil, errors.New("list: malformed Content-Length")
			}
		case "transfer-encoding":
			if chunked = strings.EqualFold(value, "chunked"); !chunked {
				return nil, fmt.Errorf("list: transfer encoding %q", value)
			}
		}
	}
	switch {
	case chunked:
		return &chunks{r: r}, nil
	case length >= 0:
		return &counted{r, length}, nil
	}
	return r, nil
}

// counted reads a body of so many bytes; one that ends earlier is torn.
type counted struct {
	r    io.Reader
	left int64
}

func (c *counted) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	if c.left -= int64(n); err == io.EOF && c.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// headLine is a line without its end, of bounded length.
func headLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull {
			return "", errors.New("list: a line of the head is too long")
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// chunks reads a chunked body.
type chunks struct {
	r      *bufio.Reader
	left   int64 // of the chunk
	inside bool
}

func (c *chunks) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.inside { // the end of the chunk before
			if end, err := headLine(c.r); err != nil || end != "" {
				return 0, errors.Join(errors.New("list: malformed chunk"), err)
			}
		}
		head, err := headLine(c.r)
		if err != nil {
			return 0, err
		}
		head, _, _ = strings.Cut(head, ";")
		if c.left, err = strconv.ParseInt(strings.TrimSpace(head), 16, 63); err != nil || c.left < 0 {
			return 0, errors.New("list: malformed chunk")
		}
		if c.inside = true; c.left == 0 {
			for { // trailers
				if t, err := headLine(c.r); err != nil {
					return 0, err
				} else if t == "" {
					return 0, io.EOF
				}
			}
		}
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	if c.left -= int64(n); err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
