// Package request drives one request from its arrival until its client is answered and none of its attempts
// is outstanding. It is independent of the protocols of clients and nodes.
package request

import (
	"sedgestream/balance"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/ring"
)

// Client receives the answer to a request: exactly one of Succeeded, Rejected and Failed.
type Client interface {
	Succeeded(value ring.Payload)
	Rejected(retryAfter int64) // retrying is harmless, after so many nanoseconds if above 0
	Failed()                   // whether the request ran is not known
	// Panicked reports that a callback of the request has panicked. A client that has no answer yet is to be
	// answered now.
	Panicked(p any)
}

// Result is how an attempt ended.
type Result struct {
	Outcome balance.Outcome
	Took    int64 // nanoseconds
	Info    balance.AnswerInfo
	Report  balance.Report
	Value   ring.Payload // for the client, if Outcome is Succeeded
}

// Attempt is an outstanding attempt.
type Attempt interface {
	// Cancel makes the attempt end soon, as canceled unless it has ended otherwise.
	Cancel()
	// Withdraw makes the attempt end as not sent if its last byte has not been written yet; otherwise it has
	// no effect.
	Withdraw()
}

// Sender sends the attempts of one request.
type Sender interface {
	// Send starts an attempt and returns without blocking. It calls done exactly once, from any goroutine. An
	// attempt that is written some time after it was decided on calls mayBegin before, and ends as not sent if
	// the result is false.
	Send(attempt dispatch.Attempt, mayBegin func() bool, done func(Result)) Attempt
}

// Start passes a request to the dispatcher and returns its handle, whose Run then executes the callbacks
// defined here one at a time. The router (package balance) decides which attempts are sent or canceled and
// when the client is rejected or failed.
func Start(d *dispatch.Dispatcher, request dispatch.Request, client Client, sender Sender) (handle *dispatch.RequestHandle) {
	var callbacks dispatch.Callbacks
	var attempts []Attempt

	// The router has chosen a node, for the first attempt, for a retry after one that brought no value, or for
	// a hedged attempt beside one that takes too long.
	callbacks.Send = func(decided dispatch.Attempt) {
		attempt := decided.Index
		attempts = append(attempts, unsent{})
		if handle.IsOver() { // the client has left or been answered since this was queued
			handle.AttemptEnded(attempt, balance.NotSent, 0, balance.AnswerInfo{}, balance.Report{})
			return
		}
		// Reports the end of an attempt whose sending panics, so that the request does not wait for it
		// forever. The attempt counts as broken, since it may have run.
		defer func() {
			if attempts[attempt] == (unsent{}) {
				handle.AttemptEnded(attempt, balance.ConnectionLost, 0, balance.AnswerInfo{}, balance.Report{})
			}
		}()
		mayBegin := func() bool { return handle.AttemptMayBegin(attempt) }
		attempts[attempt] = sender.Send(decided, mayBegin, func(result Result) {
			handle.Post(func() {
				// The router decides what follows: another attempt, an answer, or nothing if there has been
				// an answer.
				if handle.AttemptEnded(attempt, result.Outcome, result.Took, result.Info, result.Report) {
					client.Succeeded(result.Value)
					callbacks.Withdraw()
				} else {
					result.Value.Long.Recycle()
				}
			})
		})
	}

	// A canceled attempt still reports its end as above.
	callbacks.Cancel = func(attempt int) { attempts[attempt].Cancel() }

	// Nobody waits for the request any more, so attempts that have not been written yet are not sent.
	callbacks.Withdraw = func() {
		for _, attempt := range attempts {
			attempt.Withdraw()
		}
	}

	// At the deadline an attempt may still wait to be written, and must not be sent behind the final answer.
	callbacks.Reject = func(retryAfter int64) {
		client.Rejected(retryAfter)
		callbacks.Withdraw()
	}
	callbacks.Fail = func() {
		client.Failed()
		callbacks.Withdraw()
	}
	callbacks.Panicked = func(p any) {
		client.Panicked(p)
		handle.ClientLeft()
	}

	// The router makes its first decision within this call: a node, a wait, or the end of the request.
	handle = d.Accept(callbacks, request)
	return handle
}

// unsent stands for an attempt that has not been sent.
type unsent struct{}

func (unsent) Cancel()   {}
func (unsent) Withdraw() {}
