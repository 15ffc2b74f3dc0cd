package planner

import (
	"net"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/decide/plan"
	"sedgestream/internal/message"
)

// gossipTo keeps a connection to another planner and sends it all notices once per heartbeat period.
func (p *Planner) gossipTo(name, address string) {
	ticker := time.NewTicker(p.config.HeartbeatPeriod)
	defer ticker.Stop()
	var c *message.Conn
	for {
		select {
		case <-p.stop:
			if c != nil {
				c.Socket.Close()
			}
			return
		case <-ticker.C:
		}
		if c == nil {
			if c = p.dial(name, address); c == nil {
				continue
			}
		}
		if c.Write(&message.Frame{Gossip: p.gossipMessage()}, p.config.HeartbeatPeriod) != nil {
			c.Socket.Close()
			c = nil
		}
	}
}

// dial connects and sends a hello; it returns nil on failure. A separate goroutine reads what the other planner sends, so
// that the end of the connection is noticed.
func (p *Planner) dial(name, address string) *message.Conn {
	socket, err := net.DialTimeout("tcp", address, p.config.HeartbeatPeriod)
	if err != nil {
		return nil
	}
	c := message.NewConn(socket)
	p.mu.Lock()
	runID := p.runID
	p.mu.Unlock()
	if c.Write(&message.Frame{
		Hello: &message.Hello{Version: message.Version, Kind: message.Planner, Name: p.config.Name, RunID: runID},
	}, p.config.HeartbeatPeriod) != nil {
		socket.Close()
		return nil
	}
	p.spawn(func() {
		for {
			received, err := c.Read(20 * p.config.HeartbeatPeriod)
			if err != nil || received.CloseReason != "" {
				if err == nil {
					p.log.Info("hung up", zap.String("by", name), zap.String("why", received.CloseReason))
				}
				socket.Close()
				return
			}
		}
	})
	return c
}

// gossipMessage returns all notices on the board.
func (p *Planner) gossipMessage() *message.Gossip {
	p.mu.Lock()
	defer p.mu.Unlock()
	gossip := &message.Gossip{}
	p.board.Each(func(notice plan.Notice) { gossip.Notices = append(gossip.Notices, notice) })
	return gossip
}
