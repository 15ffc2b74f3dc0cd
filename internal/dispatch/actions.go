package dispatch

import (
	"time"

	"go.uber.org/zap"

	"sedgestream/balance"
)

// PeerMessage is a message for another router, or for all others if To is negative.
type PeerMessage struct {
	To      int
	Payload []byte
}

// maxQueuedMessages bounds the messages that wait for the network. The oldest is dropped: newer messages
// supersede it.
const maxQueuedMessages = 16

// PendingActions are the actions of the router that belong to no request.
type PendingActions struct {
	Probes, CloseIdle    []int // nodes to probe, and nodes whose idle connections to close
	WatchList, FetchList bool  // to open a watch on the list, and to fetch the full list once
	Messages             []PeerMessage
}

// TakeActions returns the actions that were queued since the last call.
func (d *Dispatcher) TakeActions() PendingActions {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions := PendingActions{d.pendingProbes, d.pendingCloseIdle, d.pendingWatchList, d.pendingFetchList, d.pendingMessages}
	d.pendingProbes, d.pendingCloseIdle, d.pendingWatchList, d.pendingFetchList, d.pendingMessages = nil, nil, false, false, nil
	return actions
}

func (d *Dispatcher) signal() {
	select {
	case d.Pending <- struct{}{}:
	default:
	}
}

// Submit implements balance.Actions.
func (d *Dispatcher) Submit(index balance.Slot, node int, deadline int64) {
	s := &d.slots[index]
	if d.loadMeter != nil {
		s.attemptNodes = append(s.attemptNodes, node)
		d.loadMeter.AttemptStarted(d.Now(), node)
	}
	send := s.callbacks.Send
	attempt := Attempt{Index: s.attempts, Node: node, DecidedAt: d.Now(), Deadline: deadline}
	d.trace.attemptSent(s, attempt.Index, d.nodeNames[node], deadline-attempt.DecidedAt)
	if s.attempts++; attempt.Index == 0 {
		s.termsState.FirstAttemptSent(attempt.DecidedAt)
	}
	d.post(index, func() { send(attempt) })
}

// GrantAttempt implements balance.Actions.
func (d *Dispatcher) GrantAttempt(index balance.Slot, hedge bool) bool {
	return d.slots[index].termsState.GrantExtraAttempt(d.Now(), hedge)
}

// Cancel implements balance.Actions.
func (d *Dispatcher) Cancel(index balance.Slot, attempt int) {
	cancel := d.slots[index].callbacks.Cancel
	d.post(index, func() { cancel(attempt) })
}

// Reject implements balance.Actions.
func (d *Dispatcher) Reject(index balance.Slot, retryAfter int64, reason balance.Reason) {
	s := &d.slots[index]
	d.trace.gaveUp(s, "refused", reason)
	s.done = true
	reject := s.callbacks.Reject
	d.post(index, func() { reject(retryAfter) })
}

// Fail implements balance.Actions.
func (d *Dispatcher) Fail(index balance.Slot, reason balance.Reason) {
	s := &d.slots[index]
	d.trace.gaveUp(s, "failed", reason)
	s.done = true
	d.post(index, s.callbacks.Fail)
}

// FreeSlot implements balance.Actions.
func (d *Dispatcher) FreeSlot(index balance.Slot) {
	d.post(index, nil)
	d.slots[index].freed = true
	d.slots[index].termsState.Release()
	d.inFlight--
}

// SetTimer implements balance.Actions.
func (d *Dispatcher) SetTimer(after int64) { d.timer.Reset(time.Duration(after)) }

// Probe implements balance.Actions.
func (d *Dispatcher) Probe(node int) {
	d.pendingProbes = append(d.pendingProbes, node)
	d.signal()
}

// CloseIdle implements balance.Actions.
func (d *Dispatcher) CloseIdle(node int) {
	d.pendingCloseIdle = append(d.pendingCloseIdle, node)
	d.signal()
}

// WatchList implements balance.Actions.
func (d *Dispatcher) WatchList() {
	d.pendingWatchList = true
	d.signal()
}

// FetchList implements balance.Actions.
func (d *Dispatcher) FetchList() {
	d.pendingFetchList = true
	d.signal()
}

// SendMessage implements balance.Actions.
func (d *Dispatcher) SendMessage(router int, payload []byte) {
	if len(d.pendingMessages) == maxQueuedMessages {
		d.pendingMessages = d.pendingMessages[1:]
	}
	d.pendingMessages = append(d.pendingMessages, PeerMessage{router, append([]byte(nil), payload...)})
	d.signal()
}

// Log implements balance.Actions.
func (d *Dispatcher) Log(node int, message string) {
	d.log.Info(message, zap.String("node", d.nodeNames[node]))
}
