package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["leaves"] = leaves }

// leaves: a client sends a long read and many writes behind it at once, and closes its connection.
func leaves(w *world) (broken bool, err error) {
	const (
		rounds   = 6
		commands = 140
		value    = 900 // bytes of each write
		length   = 2500 * time.Millisecond
		late     = 100*time.Millisecond + slack
	)
	if err = w.open(5, 50*time.Millisecond, limits{1, 192, 1024}); err != nil {
		return false, err
	}
	begun, begunLate := 0, 0
	for round := range rounds {
		closedAt, err := w.sendMuch(round, commands, value)
		if err != nil {
			return false, err
		}
		time.Sleep(length)
		for _, n := range w.nodes {
			for _, attempt := range n.attempts() {
				if !strings.HasPrefix(attempt.request, fmt.Sprintf("c%x-", round)) {
					continue
				}
				begun++
				if behind := attempt.at.Sub(closedAt); behind > late {
					begunLate++
					w.record.say("LATE: %s begins at %s %.3f s after its client has closed its connection", attempt.request, attempt.node, behind.Seconds())
				}
			}
		}
	}
	w.record.say("%d clients sent %d commands each; %d attempts began at nodes, %d of them more than %v after the close", rounds, commands+1, begun,
		begunLate, late)
	return begunLate > 0, nil
}

// sendMuch plays one client and returns when it closed its connection: at once, or without the disruption when it has all answers.
func (w *world) sendMuch(round, commands, value int) (closedAt time.Time, err error) {
	c, err := connect(w.router.address)
	if err != nil {
		return closedAt, err
	}
	defer c.Close()
	if _, _, err = c.awaitReady(); err != nil {
		return closedAt, err
	}
	text := query(fmt.Sprintf("SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' /* id=c%x-0,c=monthly-report,d=12000,cluster=2 */", round))
	for i := range commands {
		text = append(text, query(write(fmt.Sprintf("c%x-%x", round, i+1), 2000, value))...)
	}
	if _, err = c.Write(text); err != nil {
		return closedAt, err
	}
	w.record.add("client %d has sent %d commands of %d bytes in all", round, commands+1, len(text))
	if !w.trouble {
		c.SetDeadline(time.Now().Add(15 * time.Second))
		for answers := 0; answers <= commands; answers++ {
			value, code, err := c.awaitReady()
			w.record.add("client %d, answer %d: %q %s %v", round, answers, value, code, err)
			if err != nil {
				return closedAt, err
			}
		}
	}
	c.Close()
	w.record.add("client %d has closed its connection", round)
	return time.Now(), nil
}
