package frontend

import (
	"time"

	"sedgestream/internal/ring"
)

// lingerTimeout is how long the end of a connection may wait for the acknowledgement of its last bytes. A
// restart allows for this much time after the last request; a router that takes longer could be killed with
// an answer unsent.
const lingerTimeout = 200 * time.Millisecond

// discardPause is the time between two reads of input that is dropped. A client that goes on sending is slowed down by
// its full socket, and takes no processor time from others.
const discardPause = 10 * time.Millisecond

// lingerClose shuts the connection for writing, and waits until it can be closed without a TCP reset where
// one could follow. The system resets a connection that is closed with unread input, and one that gets input
// after it was closed. A reset discards the answers that have not reached the client's machine yet.
//
// After a final answer, further input is dropped until the client closes the connection too, for readTimeout
// at most or until the connection is needed for another client. While the server drains, clients go on
// sending, so only the acknowledgement of what they were sent is awaited. A query that crosses the end of an
// idle connection is not read, so that its client retries elsewhere.
func (c *client) lingerClose(final bool) {
	c.mu.Lock()
	c.lingering = true
	c.mu.Unlock()
	c.in.Release()
	writer, ok := c.sock.(interface{ CloseWrite() error })
	if !ok || !final && !c.server.isDraining() || writer.CloseWrite() != nil {
		return
	}
	if !c.server.isDraining() {
		c.setIdle(c.server.dispatcher.Now())
		c.sock.SetReadDeadline(time.Now().Add(readTimeout))
		if c.idleSince.Load() != idleClosing {
			c.discardInput()
		}
		return
	}
	for deadline := time.Now().Add(lingerTimeout); ring.UnacknowledgedBytes(c.sock) > 0 && time.Now().Before(deadline); {
		time.Sleep(lingerTimeout / 64)
	}
}

// discardInput drops what the client sends, until it closes the connection or the read deadline passes.
func (c *client) discardInput() {
	dropped := make([]byte, ring.InitialSize)
	for {
		if _, err := c.sock.Read(dropped); err != nil {
			return
		}
		time.Sleep(discardPause)
	}
}
