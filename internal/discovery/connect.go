package discovery

import (
	"context"
	"errors"
	"math"
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

// abandonOther cancels a pending call other than the given one. Where lists are asked for, it is the newest: a slow discovery
// answers the others first. Where they are pushed, many more calls are made than there are slots for, and it is not known
// which of them discovery will answer: those from before its return are lost, and a slow one needs an old call. So calls of
// all ages are kept.
func (c *Client) abandonOther(call *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(c.pending), func(other *pendingCall) bool { return other == call })
	if len(others) == 0 {
		return
	}
	abandoned := others[len(others)-1]
	if !c.listsAskedFor.Load() {
		abandoned = others[mostRedundant(others, call.start)]
	}
	c.cancelPendingLocked(func(other *pendingCall) bool { return other == abandoned })
}

// mostRedundant returns the index of the call whose age at the given time is represented best by those of its neighbors, so
// that the ages of the calls that are left differ by a similar factor each. The calls are in the order of their starts. The
// oldest one is never returned unless it is the only one.
func mostRedundant(calls []*pendingCall, now time.Time) (index int) {
	leastGap := math.Inf(1)
	for i := 1; i < len(calls); i++ {
		olderAge, newerAge := now.Sub(calls[i-1].start), time.Duration(0)
		if i+1 < len(calls) {
			newerAge = now.Sub(calls[i+1].start)
		}
		gap := float64(olderAge-newerAge) / float64(max(olderAge, 1))
		if gap < leastGap {
			leastGap, index = gap, i
		}
	}
	return index
}

func (c *Client) releaseSlot() { <-c.slots }
