// Package job is the life of one job, from its coming in until its client has been answered and none of its
// trips is out. It knows neither the protocol of clients nor that of nodes.
package job

import (
	"sedgestream/balance"
	"sedgestream/internal/desk"
)

// Client is who the job came from. It gets one of the three answers.
type Client interface {
	Done(value []byte)
	Bounced(stayAway int64)
	Terminated()
	// Failed tells that one of the job's steps ended in a panic: unless it has been answered, it gets its answer now.
	Failed(p any)
}

// End is how a trip ended.
type End struct {
	Ending balance.Ending
	Took   int64
	Note   balance.Note
	Report balance.Report
	Value  []byte // what the client is to have, if Done
}

// Trip is one that is out.
type Trip interface {
	// Revoke makes it end soon, as revoked unless it has ended otherwise.
	Revoke()
	// Recall makes it end as never sent if its last byte has not been written yet; else it changes nothing.
	Recall()
}

// Sender sends trips of one job. It never blocks, and calls back exactly once for each, from anywhere.
type Sender interface {
	// Once a trip has waited, it asks whether it may still begin; if not, it ends as never sent.
	Send(node int, until int64, begins func() bool, back func(End)) Trip
}

// Begin takes a job in. Its life is what follows here, from top to bottom: the module decides at the points
// that are marked, and its orders are carried out one by one in the job's task, which is the ticket's Work.
func Begin(d *desk.Desk, ask desk.Ask, client Client, sender Sender) (ticket *desk.Ticket) {
	var task desk.Task
	var trips []Trip

	// The module has chosen a node, now or after a while, and once more if a trip has brought nothing or
	// waits for too long.
	task.Send = func(leg, node int, until int64) {
		trips = append(trips, unsent{})
		if ticket.Over() { // since this was ordered, its client has left or has been answered: nothing is sent for it
			ticket.Ended(leg, balance.Moot, 0, balance.Note{}, balance.Report{})
			return
		}
		// Guards against a trip that never ends: one whose sending fails by a panic may have run.
		defer func() {
			if trips[leg] == (unsent{}) {
				ticket.Ended(leg, balance.Broken, 0, balance.Note{}, balance.Report{})
			}
		}()
		begins := func() bool { return ticket.Begins(leg) }
		trips[leg] = sender.Send(node, until, begins, func(e End) {
			ticket.Post(func() {
				// An ending is the module's to judge: another trip, an answer, or nothing as one has been given.
				if ticket.Ended(leg, e.Ending, e.Took, e.Note, e.Report) {
					client.Done(e.Value)
					task.Recall()
				}
			})
		})
	}

	// A trip is called off. It ends all the same, as above.
	task.Revoke = func(leg int) { trips[leg].Revoke() }

	// Nobody waits for the job any more: what has not been sent for it yet is not sent.
	task.Recall = func() {
		for _, t := range trips {
			t.Recall()
		}
	}

	// The module has given up: the client is told that a retry is harmless, or nothing of the kind.
	task.Bounce = client.Bounced
	task.Terminate = client.Terminated
	task.Failed = func(p any) {
		client.Failed(p)
		ticket.Left()
	}

	// The first choice is made while the job is taken in: a node, a wait, or the end.
	ticket = d.Take(task, ask)
	return ticket
}

// unsent is a trip that is not on its way.
type unsent struct{}

func (unsent) Revoke() {}
func (unsent) Recall() {}
