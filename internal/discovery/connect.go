package discovery

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"
)

// maxCalls bounds the connections to discovery that are open or being opened, including the watch. While
// discovery does not answer, hedged calls are made, and they must not use more descriptors than the
// program reserves for them.
const maxCalls = 6

// errTooManyCalls is the error of a call that found no free slot because other calls are still unanswered.
var errTooManyCalls = errors.New("list: too many unanswered calls")

// pendingCall is a call whose response header has not arrived.
type pendingCall struct {
	endpoint *endpoint
	start    time.Time
	timeout  time.Duration
	forWatch bool
	canceled bool // by another call or a change of address, which says nothing about discovery
	cancel   context.CancelFunc
}

// addPending records a call that has started. removePending takes it off the list once its response header
// has arrived or it has failed.
func (c *Client) addPending(ep *endpoint, req request, cancel context.CancelFunc) *pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := &pendingCall{endpoint: ep, start: time.Now(), timeout: req.timeout, forWatch: req.forWatch, cancel: cancel}
	c.pending = append(c.pending, call)
	return call
}

func (c *Client) removePending(call *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removePendingLocked(call)
}

// removePendingLocked is removePending for a caller that holds the lock.
func (c *Client) removePendingLocked(call *pendingCall) {
	c.pending = slices.DeleteFunc(c.pending, func(other *pendingCall) bool { return other == call })
}

// cancelPendingLocked cancels the pending calls for which a condition holds. The caller holds the lock.
func (c *Client) cancelPendingLocked(condition func(*pendingCall) bool) {
	c.pending = slices.DeleteFunc(c.pending, func(call *pendingCall) bool {
		if !condition(call) {
			return false
		}
		call.canceled = true
		call.cancel()
		return true
	})
}

// connect opens the connection for a call and takes a slot; closeConn frees the slot.
func (c *Client) connect(ctx context.Context, call *pendingCall) (net.Conn, error) {
	if err := c.acquireSlot(ctx, call); err != nil {
		return nil, err
	}
	timeout := headerTimeout
	if configured := time.Duration(c.connectTimeout.Load()); configured > 0 {
		timeout = min(timeout, configured)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.Dialer.Dial(ctx, call.endpoint.address)
	if err != nil {
		c.releaseSlot()
	}
	return conn, err
}

// acquireSlot takes a slot for a call. If none is free, it cancels another call that waits for its response. A newer
// call, which discovery answers once it is back, must not wait behind calls that will never be answered.
func (c *Client) acquireSlot(ctx context.Context, call *pendingCall) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
	}
	c.abandonOther(call)
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errTooManyCalls
	}
}

// abandonOther cancels a pending call other than the given one. Where lists are pushed, this is the oldest, which was
// made while discovery was down. Where they are asked for, it is the newest: a slow discovery answers the others first.
func (c *Client) abandonOther(call *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(c.pending), func(other *pendingCall) bool { return other == call })
	if len(others) == 0 {
		return
	}
	abandoned := others[0]
	if c.listsAskedFor() {
		abandoned = others[len(others)-1]
	}
	c.cancelPendingLocked(func(other *pendingCall) bool { return other == abandoned })
}

func (c *Client) releaseSlot() { <-c.slots }
