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

// Ask is what a job wants.
type Ask struct {
	Tariff, Group int
	Session       uint64
	Wait          int64 // for which its client waits yet
	After         int64 // position that it must see, or 0
}

// Life is a job in hand.
type Life struct {
	ticket *desk.Ticket
	client Client
	sender Sender
	trips  []Trip
}

// Begin takes a job in. Live has to follow.
func Begin(d *desk.Desk, ask Ask, client Client, sender Sender) *Life {
	l := &Life{client: client, sender: sender}
	l.ticket = d.Take(l, ask.Tariff, ask.Group, ask.Session, ask.Wait, ask.After)
	return l
}

// Live is the job's task: it waits for the module's orders and carries them out one by one, hands it the
// endings of trips, and returns when the module has no more to do with the job. The steps follow in the
// order in which a job meets them.
func (l *Life) Live() { l.ticket.Work() }

// Left tells that the client has gone. It may come at any time, also after the job's end.
func (l *Life) Left() { l.ticket.Left() }

// Send sends a trip to where the module chose.
func (l *Life) Send(leg, node int, until int64) {
	l.trips = append(l.trips, l.sender.Send(node, until, func(e End) {
		l.ticket.Post(func() { l.ended(leg, e) })
	}))
}

// Revoke calls a trip off.
func (l *Life) Revoke(leg int) { l.trips[leg].Revoke() }

// ended hands an ending to the module, which may order more, and the value to the client if it is the first.
func (l *Life) ended(leg int, e End) {
	if l.ticket.Ended(leg, e.Ending, e.Took, e.Note, e.Report) {
		l.client.Done(e.Value)
	}
}

// Bounce tells the client that a retry is harmless.
func (l *Life) Bounce(stayAway int64) { l.client.Bounced(stayAway) }

// Terminate tells the client that the job is given up.
func (l *Life) Terminate() { l.client.Terminated() }
