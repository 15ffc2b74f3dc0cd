// Package discovery asks discovery for the list of nodes: the whole of it, and a watch on its changes, over
// HTTP/1.1. When to ask is told to it.
package discovery

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/dispatch"
)

// Client asks discovery, at one address at a time.
type Client struct {
	// Nanoseconds for a connection to come up, and after which the module is told that a call is not answered; 0: not before
	// its end, where calls are no matter of course.
	connectTimeout, hesitateAfter atomic.Int64
	dispatcher                    *dispatch.Dispatcher
	log                           *zap.Logger

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
	l := &Client{dispatcher: d, log: log, at: &endpoint{address: address, version: known.Version}, calls: map[net.Conn]struct{}{}}
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
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, sock)
}
