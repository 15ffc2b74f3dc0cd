package frontend

// droppedMessage is a message for which there was no memory. Its bytes are dropped as they come, and it is answered once
// the last of them has come, so that the client hears of it at once and the connection goes on.
type droppedMessage struct {
	kind  byte
	bytes int // still to come, or to be taken from the buffer; 0 if no message is being dropped
}

// isMidMessage reports whether a message has come in part.
func (c *client) isMidMessage() bool { return c.in.Len() > 0 || c.dropped.bytes > 0 }

// hasStarted reports whether the startup is over. Its packet carries no kind, and no query can be rejected in it.
func (c *client) hasStarted() bool { return c.key.Process != 0 }

// dropMessage has the message at the front, which has come in part, dropped.
func (c *client) dropMessage() {
	c.dropped = droppedMessage{kind: c.in.Peek(1)[0], bytes: c.neededBytes}
	c.neededBytes = 0
	c.takeDropped()
}

// takeDropped drops what has come of the message.
func (c *client) takeDropped() {
	n := min(c.dropped.bytes, c.in.Len())
	c.in.Discard(n)
	c.dropped.bytes -= n
}

// handleDropped drops what has come of the message, and answers it if that was the rest.
func (c *client) handleDropped() (more bool, err error) {
	c.takeDropped()
	if c.dropped.bytes > 0 {
		return false, nil
	}
	switch {
	case c.skipUntilSync:
	case c.dropped.kind == 'Q':
		c.noteQuery()
		err = c.rejectForMemory(c.server.dispatcher.Policy())
	default:
		err = c.handleNonQuery(c.dropped.kind)
	}
	return true, err
}
