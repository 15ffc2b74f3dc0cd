// Package list asks discovery for the list of nodes: the whole of it, and a watch on its changes, over
// HTTP/1.1. When to ask is told to it.
package list

import (
	"bufio"
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
	"sedgestream/internal/desk"
	"sedgestream/internal/field"
	"sedgestream/internal/ring"
)

// As the protocol page has it: an empty line comes every 2 s while nothing changes. A watch that brings nothing for half as
// long again has broken, and so has a list that has begun and does not end; a call is answered at once, or not at all. What a
// silent watch misses counts as told 6 s later: that leaves time for two more calls, one of which may hang as well. Where lists
// are pushed, what discovery has counts as told at its return: a call without an answer is not waited for alone then.
const (
	path    = "/discovery/hosts"
	beat    = 2 * time.Second
	silence = beat + beat/2
	atOnce  = beat / 2

	// Told is after how long a change counts as told, whether or not it was heard.
	Told = 3 * beat
)

// mostHeader is what the head of an answer may hold.
const mostHeader = 16 << 10

// List is one answer's entries.
type List struct {
	Version int64
	Whole   bool
	Rows    []desk.Row
}

// Read reads a list in discovery's form. Nothing of a wrong one is kept.
func Read(v *fastjson.Value) (l List, err error) {
	defer field.Catch(&err)
	l.Version, l.Whole = field.Whole(v, "version", true), field.Flag(v, "full")
	for _, e := range field.Array(v, "servers", true) {
		started := field.Whole(e, "started_ms", false)
		if started < 0 || started > math.MaxInt64/int64(time.Millisecond) {
			field.Fail("started_ms is no time")
		}
		w := desk.Row{ID: field.Str(e, "id", true), Address: field.Str(e, "addr", false),
			Zone: field.Str(e, "zone", false), Group: field.Whole(e, "cell", false),
			Weight: field.Number(e, "weight", 1), Started: started * int64(time.Millisecond),
			Primary: field.Str(e, "rank", false) == "source"}
		switch state := field.Str(e, "state", true); state {
		case "up":
		case "draining":
			w.Standing = balance.Draining
		case "removed":
			w.Standing = balance.Gone
		default:
			field.Fail("state %q is none of up, draining, removed", state)
		}
		if w.ID == "" || w.Weight < 0 || w.Address == "" && w.Standing != balance.Gone {
			field.Fail("an entry lacks its id, its address or its weight")
		}
		l.Rows = append(l.Rows, w)
	}
	return l, nil
}

// Lister asks discovery, at one address at a time.
type Lister struct {
	// Nanoseconds for a connection to come up, and after which the module is told that a call is not answered; 0: not before
	// its end, where calls are no matter of course.
	connect, hesitates atomic.Int64
	desk               *desk.Desk
	log                *zap.Logger

	mu    sync.Mutex
	at    *place                // nil once closed
	calls map[net.Conn]struct{} // that are under way
	tasks sync.WaitGroup        // of its own
}

// place is one address of discovery, until it moves. Versions are counted by each on its own.
type place struct {
	address string
	version int64
	strange bool     // it has not told the whole list yet, or told something wrong since
	asking  bool     // for the whole list, beside the watch
	doubts  int      // how often something wrong has come
	watch   net.Conn // the one that stands, if any
}

// New tells the list that the router had before it started.
func New(address string, known List, c *balance.Contract, d *desk.Desk, log *zap.Logger) *Lister {
	d.List(known.Version, true, known.Rows)
	l := &Lister{desk: d, log: log, at: &place{address: address, version: known.Version}, calls: map[net.Conn]struct{}{}}
	l.Heed(c)
	return l
}

// Heed has calls keep to a contract from now on.
func (l *Lister) Heed(c *balance.Contract) {
	l.connect.Store(c.ConnectTimeout)
	hesitates := int64(0)
	if c.ListPushed {
		hesitates = max(int64(atOnce)/8, min(int64(atOnce), c.DrainGrace)/4) // so that few are under way at a time
	}
	l.hesitates.Store(hesitates)
}

// Move has the list asked for at another address from now on. What is still on the way from the old one is dropped.
func (l *Lister) Move(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil || l.at.address == address {
		return
	}
	l.at = &place{address: address, strange: true}
	l.endCalls()
	l.desk.ListMoved()
}

func (l *Lister) endCalls() {
	for sock := range l.calls {
		sock.Close()
	}
}

// Watch follows the changes until the watch ends, and tells the module then. A discovery that has just become the one
// to ask tells the whole list first: it may count its versions otherwise than the one before.
func (l *Lister) Watch() {
	l.mu.Lock()
	at := l.at
	if at == nil || at.watch != nil {
		l.mu.Unlock()
		return
	}
	strange := at.strange
	l.mu.Unlock()
	// Guards against calls that are never answered, as discovery was down when they came: another is made beside them, and
	// whichever is answered first becomes the watch. Each try has the module told once until it is that.
	var told sync.Once
	err, failed := io.EOF, func(words string, err error) { told.Do(func() { l.failed(at, words, err) }) }
	late := func() { failed("discovery does not answer at once", nil) }
	if strange {
		err = l.follow(at, path, late)
	}
	if err == io.EOF {
		l.mu.Lock()
		target := fmt.Sprintf("%s?stream=1&index=%d", path, at.version)
		l.mu.Unlock()
		var c *call
		if c, err = l.call(at, target, late); err == nil {
			if !l.stands(at, c.sock) {
				l.over(c.sock)
				return // another was sooner
			}
			err = l.lists(at, c, true)
			l.falls(at)
			l.over(c.sock)
			l.failed(at, "the watch on the list ended", err)
			return
		}
	}
	failed("the watch on the list ended", err)
}

// stands has a connection be the watch, unless there is one.
func (l *Lister) stands(at *place, sock net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.watch == nil {
		at.watch = sock
	}
	return at.watch == sock
}

func (l *Lister) falls(at *place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at.watch = nil
}

// Lookup asks once for the whole list.
func (l *Lister) Lookup() {
	l.mu.Lock()
	at := l.at
	l.mu.Unlock()
	if at == nil {
		return
	}
	if err := l.follow(at, path, nil); err != nil && err != io.EOF {
		l.failed(at, "asking for the list failed", err)
	}
}

// doubt has the whole list asked for at once, since a wrong one may have held what nobody tells again. The watch goes on
// beside that. One that was asked for before the last wrong one came, or that the watch has overtaken by changes, is asked for
// once more. If the whole list does not come, the watch ends, and begins by it when it is opened anew.
func (l *Lister) doubt(at *place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at.doubts++
	if at.strange = true; l.at != at || at.asking {
		return
	}
	at.asking = true
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		err := io.EOF
		l.mu.Lock()
		defer l.mu.Unlock()
		for doubts, version := -1, int64(-1); err == io.EOF && l.at == at && (doubts != at.doubts || at.strange && version < at.version); {
			doubts, version = at.doubts, at.version
			l.mu.Unlock()
			err = l.follow(at, path, nil)
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
func (l *Lister) failed(at *place, words string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == at {
		l.log.Warn(words, zap.Error(err))
		l.desk.ListFailed()
	}
}

// Close ends the watch, and whatever else is being asked.
func (l *Lister) Close() {
	l.mu.Lock()
	l.at = nil
	l.endCalls()
	l.mu.Unlock()
	l.tasks.Wait()
}

// counts tells whether the list is still asked for there; the call is then among those that Close and Move end.
func (l *Lister) counts(at *place, sock net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == at {
		l.calls[sock] = struct{}{}
	}
	return l.at == at
}

func (l *Lister) over(sock net.Conn) {
	sock.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, sock)
}

// follow asks for the whole list once. It gives io.EOF once that has come whole; late is told of a call that is not answered
// at once, if anybody wants to know.
func (l *Lister) follow(at *place, target string, late func()) error {
	c, err := l.call(at, target, late)
	if err != nil {
		return err
	}
	defer l.over(c.sock)
	return l.lists(at, c, false)
}

// call is one whose answer has begun.
type call struct {
	sock net.Conn
	in   *source
	body io.Reader
}

// call sends one request and reads the head of its answer.
func (l *Lister) call(at *place, target string, late func()) (c *call, err error) {
	if after := time.Duration(l.hesitates.Load()); late != nil && after > 0 {
		defer time.AfterFunc(after, late).Stop()
	}
	sock, err := net.DialTimeout("tcp", at.address, time.Duration(l.connect.Load()))
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			l.over(sock)
		}
	}()
	if !l.counts(at, sock) {
		return nil, net.ErrClosed
	}
	out := ring.New(ring.First, ring.First, nil)
	fmt.Fprintf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, at.address)
	sock.SetWriteDeadline(time.Now().Add(time.Duration(l.connect.Load())))
	if err = out.Flush(sock); err != nil {
		return nil, err
	}
	in := &source{sock: sock, ring: ring.New(ring.First, ring.First, nil), until: time.Now().Add(atOnce)}
	body, err := answer(bufio.NewReader(in))
	if err != nil {
		return nil, err
	}
	return &call{sock, in, body}, nil
}

// lists takes in each list of an answer, and gives io.EOF once that is whole.
func (l *Lister) lists(at *place, c *call, watch bool) error {
	lists := &lists{r: bufio.NewReaderSize(c.body, ring.First)}
	lists.begins = func() { c.in.until = time.Now().Add(silence) }
	lists.ends = func() { c.in.until = time.Time{} }
	if lists.ends(); !watch {
		lists.begins() // the only one, which comes at once
	}
	for stands := false; ; {
		text, err := lists.next()
		switch {
		case err == nil && len(text) > 0:
			err = l.list(at, text, lists.at)
		case err == nil && watch && !stands: // nothing has changed, and what failed before is over
			stands = true
			l.stood(at)
		}
		if wrong := (*wrongList)(nil); errors.As(err, &wrong) {
			l.log.Warn("a line from discovery is wrong", zap.String("at", at.address), zap.Int64("byte", wrong.at), zap.Error(err))
			if watch {
				l.doubt(at)
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
		until := time.Now().Add(silence)
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

// list takes in one list, which ends so many bytes into the answer's body. Of a wrong one nothing is taken, and the last
// list stands.
func (l *Lister) list(at *place, text []byte, upTo int64) error {
	list, err := parse(text)
	if err != nil {
		return &wrongList{upTo, err}
	}
	l.take(at, list)
	return nil
}

// stood takes in that a watch brings empty lines: a list in which nothing has changed.
func (l *Lister) stood(at *place) {
	l.mu.Lock()
	version := at.version
	l.mu.Unlock()
	l.take(at, List{Version: version})
}

func (l *Lister) take(at *place, list List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Version < at.version || l.at != at { // of a call overtaken by the watch, or from where nobody asks any more
		return
	}
	at.version, at.strange = list.Version, at.strange && !list.Whole
	l.desk.List(list.Version, list.Whole, list.Rows)
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
		if held += len(h); held > mostHeader {
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
