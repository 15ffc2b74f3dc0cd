package discovery

import (
	"context"
	"errors"
	"net"
	"time"
)

// maxCalls is how many connections to discovery are open or coming up at a time, the watch included: while discovery does not
// answer, calls are made beside those that hang, and they must not take more descriptors than the program keeps for itself. A
// call that hangs ends after headTimeout, so that many have room for another several times a second.
const maxCalls = 6

// errManyCalls is the failure of a call for which there was no room beside others that are not answered.
var errManyCalls = errors.New("list: too many calls are not answered yet")

// connect opens the connection for a call; closeCall makes room for another.
func (l *Client) connect(at *endpoint) (net.Conn, error) {
	if err := l.acquire(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(l.life, l.longestConnect())
	defer cancel()
	sock, err := l.Dialer.Dial(ctx, at.address)
	if err != nil {
		l.release()
	}
	return sock, err
}

// acquire waits for room for one more call, for as long as a call may take until the module is told that it is not answered.
func (l *Client) acquire() error {
	wait := time.Duration(l.hesitateAfter.Load())
	if wait == 0 {
		wait = headTimeout
	}
	select {
	case l.room <- struct{}{}:
		return nil
	case <-l.life.Done():
		return net.ErrClosed
	case <-time.After(wait):
		return errManyCalls
	}
}

func (l *Client) release() { <-l.room }

// longestConnect is how long a connection may take to come up. Where lists are pushed others are made beside it, and discovery's
// agent answers at once or not at all.
func (l *Client) longestConnect() time.Duration {
	longest := time.Duration(l.connectTimeout.Load())
	if l.hesitateAfter.Load() > 0 {
		longest = min(longest, headTimeout)
	}
	return longest
}
