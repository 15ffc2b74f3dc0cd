package planner

import (
	"net"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/decide/plan"
	"sedgestream/internal/words"
)

// gossip keeps a connection to another planner, over which this one says every period that it is here and what it knows.
func (s *Planner) gossip(name, address string) {
	every := time.NewTicker(s.post.Period)
	defer every.Stop()
	var c *words.Conn
	for {
		select {
		case <-s.stop:
			if c != nil {
				c.Sock.Close()
			}
			return
		case <-every.C:
		}
		if c == nil {
			if c = s.call(name, address); c == nil {
				continue
			}
		}
		if c.Write(&words.Word{Gossip: s.say("")}, s.post.Period) != nil {
			c.Sock.Close()
			c = nil
			continue
		}
		for _, whom := range s.indirect(name) {
			c.Write(&words.Word{Gossip: s.say(whom)}, s.post.Period)
		}
	}
}

// call connects and greets; what comes back is read by a task of its own.
func (s *Planner) call(name, address string) *words.Conn {
	sock, err := net.DialTimeout("tcp", address, s.post.Period)
	if err != nil {
		return nil
	}
	c := words.On(sock)
	s.mu.Lock()
	life := s.life
	s.mu.Unlock()
	if c.Write(&words.Word{Hello: &words.Hello{Version: words.Version, Kind: words.Planner, Name: s.post.Name, Life: life}}, s.post.Period) != nil {
		sock.Close()
		return nil
	}
	s.task(func() {
		for {
			w, err := c.Read(20 * s.post.Period)
			if err != nil || w.Bye != "" {
				if err == nil {
					s.log.Info("hung up", zap.String("by", name), zap.String("why", w.Bye))
				}
				sock.Close()
				return
			}
			if w.Gossip != nil {
				s.heard(name, w.Gossip, nil)
			}
		}
	})
	return c
}

// say is what this planner tells another.
func (s *Planner) say(whom string) *words.Gossip {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &words.Gossip{Incarnation: s.members.Incarnation(), Whom: whom}
	if whom != "" {
		return g
	}
	g.Rumors = s.members.All()
	s.board.Each(func(n plan.Notice) { g.Notices = append(g.Notices, n) })
	return g
}

// indirect are those whom this peer is to be asked about: silent ones, each for as long as it is.
func (s *Planner) indirect(via string) (whom []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, silent := range s.members.Silent(s.now()) {
		if silent != via {
			whom = append(whom, silent)
		}
	}
	return whom
}

// heard takes in what another planner says. Asked whether a third is there, this one tells when it has heard of it lately.
func (s *Planner) heard(from string, g *words.Gossip, back *words.Conn) error {
	s.mu.Lock()
	now := s.now()
	s.members.Heard(now, from, g.Incarnation)
	if g.Here != "" {
		s.members.Heard(now, g.Here, g.Theirs)
	}
	for _, r := range g.Rumors {
		if s.members.Told(now, r) {
			s.log.Warn("called gone; denied", zap.String("by", from), zap.Uint64("incarnation", s.members.Incarnation()))
		}
	}
	s.posted(g.Notices)
	var answer *words.Gossip
	if g.Whom != "" && back != nil {
		if at, fresh := s.members.Fresh(now, g.Whom); fresh {
			answer = &words.Gossip{Incarnation: s.members.Incarnation(), Here: g.Whom, Theirs: at}
		}
	}
	s.mu.Unlock()
	if answer != nil {
		return back.Write(&words.Word{Gossip: answer}, s.post.Period)
	}
	return nil
}
