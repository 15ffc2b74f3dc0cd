package dispatch

import (
	"fmt"
	"unsafe"

	"sedgestream/balance"
	"sedgestream/internal/decide/terms"
)

// Callbacks execute what the router decides for one request. They are called one at a time, from
// RequestHandle.Run in the request's own goroutine. Attempts are numbered from 0 in the order in which they
// are sent; times are those of Dispatcher.Now.
type Callbacks struct {
	Send     func(Attempt)
	Cancel   func(attempt int)
	Withdraw func()                 // all attempts that have not been written yet, since the client has left
	Reject   func(retryAfter int64) // tells the client to retry, after so many nanoseconds if above 0
	Fail     func()
	Panicked func(p any) // another callback has panicked; if nil the panic is not recovered
}

// Attempt is an attempt that the router has decided on. Index is its number among those of its request.
type Attempt struct {
	Index, Node         int
	DecidedAt, Deadline int64
}

// Request describes a request as it arrives.
type Request struct {
	Policy       *Policy // nil: the current one
	Class, Group int     // the index of the class in Policy.Settings, and Dispatcher.GroupIndex of the group
	Timeout      int64   // how much longer the client waits, in nanoseconds
	MinPosition  int64   // the position in the replication log that the answer must reflect; 0: none

	ID string // the client's name for the request, for the log

	// What routes match by besides the class. The bytes of Key must not change while the request is in flight.
	GroupName      int64
	Key            []byte
	Write, IsRetry bool
}

// slot is the state of a request in flight. Its index is the one that the router has reserved for the request.
type slot struct {
	id           string // the client's name for the request
	callbacks    Callbacks
	serial       uint64 // distinguishes the requests that use a slot one after another
	attempts     int
	attemptNodes []int // the node of each attempt, while there is a load meter
	termsState   terms.Admission
	done         bool // the request has its final answer, or nobody waits for it
	freed        bool // it is done, and none of its attempts is in flight
	mailbox      chan func()
}

// RequestHandle refers to a request in flight. ClientLeft and IsOver may also be called after the request has
// ended and its slot is in use by another.
type RequestHandle struct {
	dispatcher *Dispatcher
	slot       balance.Slot
	serial     uint64
	mailbox    chan func()
	panicked   func(p any)
	mayHaveRun bool // an attempt has ended that ran or may have; guarded by the dispatcher's lock
}

// route returns the route whose terms apply to the request, or nil.
func (r *Request) route() *terms.Route {
	table := r.Policy.terms
	if table == nil {
		return nil
	}
	described := terms.Request{Class: r.Class, Group: r.GroupName, Write: r.Write,
		Session: r.MinPosition > 0, ClientRetry: r.IsRetry}
	if len(r.Key) > 0 {
		described.Key = unsafe.String(&r.Key[0], len(r.Key)) // safe: it is only read, and not kept beyond this call
	}
	return table.Find(&described)
}

// session returns the request's reference to its session, which is identified by the key.
func (r *Request) session() (ref balance.SessionRef) {
	ref.IsRetry = r.IsRetry
	ref.MinPosition = r.MinPosition
	if need := r.Policy.Settings.Classes[r.Class].Consistency; need == balance.Write || need == balance.Session {
		ref.ID = balance.SessionID(r.Key)
	}
	return ref
}

// Accept passes a request to the router. The client's timeout runs from this call on.
func (d *Dispatcher) Accept(callbacks Callbacks, request Request) *RequestHandle {
	if request.Policy == nil {
		request.Policy = d.policy.Load()
	}
	route := request.route()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	index := d.router.ReserveSlot()
	for len(d.slots) <= int(index) {
		d.slots = append(d.slots, slot{})
	}
	d.lastSerial++
	// The mailbox must hold all callbacks that can be queued at a time: the sending, the cancellation and the
	// end of each attempt, then the rejection or failure, the client's leaving and the release of the slot.
	// The router may already use newer settings than the request's.
	capacity := 3*max(request.Policy.Settings.MaxTotalAttempts(), d.policy.Load().Settings.MaxTotalAttempts()) + 4
	mailbox, _ := d.mailboxes.Get().(chan func())
	if cap(mailbox) < capacity {
		mailbox = make(chan func(), capacity)
	}
	d.slots[index] = slot{id: request.ID, callbacks: callbacks, serial: d.lastSerial, mailbox: mailbox,
		termsState: terms.Admission{Timeout: request.Timeout}, attemptNodes: d.slots[index].attemptNodes[:0]}
	s := &d.slots[index]
	d.trace.arrived(s, &request)
	if route != nil {
		s.termsState = route.Admit(now, request.Timeout)
	}
	d.inFlight++
	d.stalls.recordEvent(now, true)
	d.router.Accept(now, index, request.Policy.classIDs[request.Class], request.Group, s.termsState.Timeout, request.session(),
		&s.termsState.Terms)
	return &RequestHandle{dispatcher: d, slot: index, serial: d.lastSerial, mailbox: mailbox, panicked: callbacks.Panicked}
}

// AttemptEnded passes on the outcome of an attempt, and reports whether its answer is the one for the client.
// It must be called before the next callback runs, and so before the request's slot is released.
func (h *RequestHandle) AttemptEnded(attempt int, outcome balance.Outcome, took int64, info balance.AnswerInfo,
	report balance.Report) (serve bool) {
	d := h.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.slots[h.slot]
	serve = outcome == balance.Succeeded && !s.done
	s.done = s.done || serve
	h.mayHaveRun = h.mayHaveRun || outcome == balance.Succeeded || outcome > balance.NotSent
	s.termsState.AttemptEnded(outcome, took)
	d.trace.attemptEnded(s, attempt, outcome, took, info)
	if d.loadMeter != nil {
		d.recordReport(s.attemptNodes[attempt], report)
		d.loadMeter.AttemptEnded(d.Now(), s.attemptNodes[attempt],
			outcome == balance.Failed || outcome == balance.Unreachable || outcome == balance.ConnectionLost)
	}
	now := d.Now()
	d.stalls.recordEvent(now, true)
	d.router.AttemptEnded(now, h.slot, attempt, outcome, s.done, took, info, report)
	return serve
}

// ClientLeft tells the router that nobody waits for the request any more: the client has disconnected, or has
// canceled the request. It reports whether that has ended the request. If not, the final answer was already
// given or queued. If so, no callback gives a final answer, and a caller that acts on a cancel request has to
// answer the client itself.
func (h *RequestHandle) ClientLeft() (ended bool) {
	d := h.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.slots[h.slot]
	if s.serial != h.serial || s.done {
		return false
	}
	s.done = true
	d.trace.clientLeft(s)
	if s.attempts > 0 && s.callbacks.Withdraw != nil {
		d.post(h.slot, s.callbacks.Withdraw) // must precede the release of the slot
	}
	d.router.ClientLeft(h.slot)
	return true
}

// IsOver reports whether the request has its final answer, or nobody waits for it.
func (h *RequestHandle) IsOver() bool {
	d := h.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.slots[h.slot]
	return s.serial != h.serial || s.done
}

// IsFreed reports whether the request is over and none of its attempts is in flight.
func (h *RequestHandle) IsFreed() bool {
	d := h.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.slots[h.slot]
	return s.serial != h.serial || s.freed
}

// MayHaveRun reports whether an attempt of the request has ended that ran or may have.
func (h *RequestHandle) MayHaveRun() bool {
	d := h.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return h.mayHaveRun
}

// Post queues a callback that handles the end of one of the request's attempts.
func (h *RequestHandle) Post(callback func()) { h.mailbox <- callback }

// Run executes the request's callbacks until the request is over and none of its attempts is outstanding.
// After a panic, which is passed to Callbacks.Panicked, it goes on with the callbacks that follow: otherwise
// the request would keep its slot forever, and a goroutine that has an attempt's end to Post would block
// forever.
func (h *RequestHandle) Run() {
	for callback := range h.mailbox {
		if callback == nil {
			h.dispatcher.mailboxes.Put(h.mailbox)
			return
		}
		h.runCallback(callback)
	}
}

func (h *RequestHandle) runCallback(callback func()) {
	if h.panicked != nil {
		defer func() {
			if p := recover(); p != nil {
				h.panicked(p)
			}
		}()
	}
	callback()
}

// InFlight returns the number of requests whose slot has not been released.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// AttemptMayBegin reports whether an attempt that has waited for its connection may still be sent.
func (h *RequestHandle) AttemptMayBegin(attempt int) bool {
	d := h.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.MayStartAttempt(d.Now(), h.slot, attempt)
}

// post queues a callback in a request's mailbox, which has room for all that one request can get; nil
// releases the slot.
func (d *Dispatcher) post(index balance.Slot, callback func()) {
	select {
	case d.slots[index].mailbox <- callback:
	default:
		panic(fmt.Sprintf("mailbox of place %d is full", index))
	}
}
