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
}

// Sender sends trips of one job. It never blocks, and calls back exactly once for each, from anywhere.
type Sender interface {
	Send(node int, until int64, back func(End)) Trip
}

// Begin takes a job in. Its life is what follows here, from top to bottom: the module decides at the points
// that are marked, and its orders are carried out one by one in the job's task, which is the ticket's Work.
func Begin(d *desk.Desk, ask desk.Ask, client Client, sender Sender) (ticket *desk.Ticket) {
	var task desk.Task
	var trips []Trip

	// The module has chosen a node, now or after a while, and once more if a trip has brought nothing or
	// waits for too long.
	task.Send = func(leg, node int, until int64) {
		trips = append(trips, sender.Send(node, until, func(e End) {
			ticket.Post(func() {
				// An ending is the module's to judge: another trip, an answer, or nothing as one has been given.
				if ticket.Ended(leg, e.Ending, e.Took, e.Note, e.Report) {
					client.Done(e.Value)
				}
			})
		}))
	}

	// A trip is called off. It ends all the same, as above.
	task.Revoke = func(leg int) { trips[leg].Revoke() }

	// The module has given up: the client is told that a retry is harmless, or nothing of the kind.
	task.Bounce = client.Bounced
	task.Terminate = client.Terminated

	// The first choice is made while the job is taken in: a node, a wait, or the end.
	ticket = d.Take(task, ask)
	return ticket
}
