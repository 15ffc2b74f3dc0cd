package plan

import (
	"cmp"
	"slices"
)

// Members is who an instance believes to be there, by heartbeats with incarnations and suspicion, after SWIM (Das, Gupta,
// Motivala 2002). A member that is not heard of is asked through others before it is suspected, and may clear itself by a
// higher incarnation before it is called gone. One that was paused finds that out by its own clock and starts a new life,
// so that nothing it promised before counts.
type Members struct {
	me          string
	incarnation uint64
	period      int64
	last        int64 // when it last ticked
	chance      func(n int) int
	of          map[string]*peer
}

// Health is what is believed of a member.
type Health uint8

// The healths; the later outdoes the earlier of the same incarnation.
const (
	Alive Health = iota
	Suspect
	Left
)

// String names it for operators.
func (h Health) String() string { return [...]string{"alive", "suspect", "left"}[h] }

type peer struct {
	name        string
	health      Health
	incarnation uint64
	heard       int64 // when last, itself or through others
	asked       int64 // when others were asked to ask it
	since       int64 // of its health
}

// Times, in periods.
const (
	indirect = 3  // of silence, after which others are asked to ask
	suspect  = 5  // of silence, after which it is suspected
	gone     = 10 // of silence, after which it is called gone
	forget   = 60 // after which one that is gone is let go of
	paused   = 4  // between two ticks, after which this instance itself was away
	askers   = 2  // others that are asked to ask
)

// MostMembers bounds how many are kept; names beyond are not believed.
const MostMembers = 64

// Rumor is what one instance tells of a member.
type Rumor struct {
	Name        string
	Incarnation uint64
	Health      Health
}

// NewMembers knows nobody yet. Peers are told of by Meet; chance draws from 0 to below n.
func NewMembers(me string, incarnation uint64, period, now int64, chance func(n int) int) *Members {
	return &Members{me: me, incarnation: incarnation, period: period, last: now, chance: chance, of: map[string]*peer{}}
}

// Meet names a peer from the configuration: believed alive until it is silent for too long.
func (m *Members) Meet(now int64, name string) {
	if name != m.me && m.of[name] == nil && len(m.of) < MostMembers {
		m.of[name] = &peer{name: name, heard: now, since: now}
	}
}

// Incarnation is this instance's.
func (m *Members) Incarnation() uint64 { return m.incarnation }

// Heard takes in a sign of life, come from the member itself or from one that asked it.
func (m *Members) Heard(now int64, name string, incarnation uint64) {
	m.Meet(now, name)
	p := m.of[name]
	if p == nil || incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation || p.health != Left { // who was called gone has to come with a new one
		if p.health != Alive {
			p.since = now
		}
		p.health, p.incarnation, p.heard, p.asked = Alive, incarnation, max(p.heard, now), 0
	}
}

// Told takes in a rumor, and tells whether it was about this instance and has to be denied, which a higher incarnation
// does that others hear of next.
func (m *Members) Told(now int64, r Rumor) (denied bool) {
	if r.Name == m.me {
		if r.Health != Alive && r.Incarnation >= m.incarnation {
			m.incarnation = r.Incarnation + 1
			return true
		}
		return false
	}
	m.Meet(now, r.Name)
	p := m.of[r.Name]
	if p == nil || r.Incarnation < p.incarnation || r.Incarnation == p.incarnation && r.Health <= p.health {
		return false
	}
	if p.incarnation, p.health, p.since = r.Incarnation, r.Health, now; r.Health == Alive {
		p.heard = max(p.heard, now)
	}
	return false
}

// Ticked is what has to be done after a tick.
type Ticked struct {
	Paused   bool        // this instance was away: it has a new incarnation, and whatever it had promised is void
	Indirect [][2]string // ask the first to ask the second
	Rumors   []Rumor     // to be told to all
}

// Tick looks after the members. It is called once a period or so.
func (m *Members) Tick(now int64) (t Ticked) {
	away := now - m.last
	m.last = now
	if away > paused*m.period {
		m.incarnation++
		t.Paused = true
		for _, p := range m.of { // its own silence is not theirs
			p.heard = max(p.heard, now-m.period)
		}
	}
	for _, p := range m.sorted() {
		switch silent := now - p.heard; {
		case p.health == Left:
			if now-p.since > forget*m.period {
				delete(m.of, p.name)
			}
		case silent > gone*m.period:
			p.health, p.since = Left, now
			t.Rumors = append(t.Rumors, Rumor{p.name, p.incarnation, Left})
		case silent > suspect*m.period && p.health == Alive:
			p.health, p.since = Suspect, now
			t.Rumors = append(t.Rumors, Rumor{p.name, p.incarnation, Suspect})
		}
		if p.health != Left && now-p.heard > indirect*m.period && now-p.asked >= m.period { // suspected or not
			p.asked = now
			others := m.Live()
			others = slices.DeleteFunc(others, func(n string) bool { return n == m.me || n == p.name })
			for range min(askers, len(others)) {
				k := m.chance(len(others))
				t.Indirect = append(t.Indirect, [2]string{others[k], p.name})
				others = slices.Delete(others, k, k+1)
			}
		}
	}
	return t
}

func (m *Members) sorted() (ps []*peer) {
	for _, p := range m.of {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b *peer) int { return cmp.Compare(a.name, b.name) })
	return ps
}

// Live are those not called gone, this instance among them, by name. One that is suspected still counts: taking its groups
// away and giving them back would cost more than the wait.
func (m *Members) Live() (names []string) {
	names = append(names, m.me)
	for _, p := range m.of {
		if p.health != Left {
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	return names
}

// All are the rumors that a newcomer is told, this instance's first.
func (m *Members) All() (rs []Rumor) {
	rs = append(rs, Rumor{m.me, m.incarnation, Alive})
	for _, p := range m.sorted() {
		rs = append(rs, Rumor{p.name, p.incarnation, p.health})
	}
	return rs
}

// Silent are those that have been silent for so long that others are asked about them, and are not gone.
func (m *Members) Silent(now int64) (names []string) {
	for _, p := range m.sorted() {
		if p.health != Left && now-p.heard > indirect*m.period {
			names = append(names, p.name)
		}
	}
	return names
}

// Fresh tells whether a member was heard of within two periods, and its incarnation: what may be told to one that asks.
func (m *Members) Fresh(now int64, name string) (incarnation uint64, fresh bool) {
	if p := m.of[name]; p != nil && p.health == Alive && now-p.heard <= 2*m.period {
		return p.incarnation, true
	}
	return 0, false
}
