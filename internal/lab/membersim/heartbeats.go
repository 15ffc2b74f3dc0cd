package membersim

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// This file has the failure detection that planners used before package members, kept for comparison: each instance sends heartbeats
// and all rumors to all others in each period.

// heartbeats is the membership of an instance by heartbeats with incarnations and suspicion, after SWIM (Das, Gupta, Motivala 2002).
// A silent member is probed through others before it is suspected, and may refute the suspicion by a higher incarnation before it
// counts as left. An instance that was paused notices it by its own clock and takes a new incarnation, which invalidates all that it
// promised before.
type heartbeats struct {
	me          string
	incarnation uint64
	period      int64
	lastTick    int64
	random      func(n int) int
	peers       map[string]*hbPeer
}

// hbHealth is what an instance believes of a member.
type hbHealth uint8

// The states of a member. Within an incarnation a later one overrides an earlier one.
const (
	hbAlive hbHealth = iota
	hbSuspect
	hbLeft
)

// String is the name of the state.
func (h hbHealth) String() string { return [...]string{"alive", "suspect", "left"}[h] }

// hbPeer is another member.
type hbPeer struct {
	name        string
	health      hbHealth
	incarnation uint64
	heardAt     int64 // last sign of life, directly or through others
	askedAt     int64 // when others were last asked to probe it
	healthSince int64
}

// Times, in periods.
const (
	hbIndirectAfter  = 3  // of silence, until others are asked to probe a member
	hbSuspectAfter   = 5  // of silence, until a member is suspected
	hbLeftAfter      = 10 // of silence, until a member counts as left
	hbForgetAfter    = 60 // until a member that left is forgotten
	hbPausedAfter    = 4  // between two ticks, from which this instance was paused
	hbIndirectProbes = 2  // members that are asked to probe a silent one; a number, not a time
)

// maxHeartbeatPeers bounds the number of members; further names are ignored.
const maxHeartbeatPeers = 4096

// hbRumor is a report about a member that one instance sends to another.
type hbRumor struct {
	Name        string
	Incarnation uint64
	Health      hbHealth
}

// newHeartbeats starts with no members but this one. random returns a number from 0 to below n.
func newHeartbeats(me string, incarnation uint64, period, now int64, random func(n int) int) *heartbeats {
	return &heartbeats{me: me, incarnation: incarnation, period: period, lastTick: now, random: random, peers: map[string]*hbPeer{}}
}

// Add adds a member by its name. It is believed alive until it has been silent for too long.
func (m *heartbeats) Add(now int64, name string) {
	if name != m.me && m.peers[name] == nil && len(m.peers) < maxHeartbeatPeers {
		m.peers[name] = &hbPeer{name: name, heardAt: now, healthSince: now}
	}
}

// Incarnation is this instance's incarnation.
func (m *heartbeats) Incarnation() uint64 { return m.incarnation }

// Confirm records a sign of life, from the member itself or from one that probed it.
func (m *heartbeats) Confirm(now int64, name string, incarnation uint64) {
	m.Add(now, name)
	peer := m.peers[name]
	if peer == nil || incarnation < peer.incarnation {
		return
	}
	if incarnation > peer.incarnation || peer.health != hbLeft { // a member that left needs a new incarnation
		if peer.health != hbAlive {
			peer.healthSince = now
		}
		peer.health, peer.incarnation, peer.heardAt, peer.askedAt = hbAlive, incarnation, max(peer.heardAt, now), 0
	}
}

// ApplyRumor applies a rumor. It returns true if the rumor falsely concerned this instance, which then takes a higher incarnation to
// refute it.
func (m *heartbeats) ApplyRumor(now int64, rumor hbRumor) (refuted bool) {
	if rumor.Name == m.me {
		if rumor.Health != hbAlive && rumor.Incarnation >= m.incarnation {
			m.incarnation = rumor.Incarnation + 1
			return true
		}
		return false
	}
	m.Add(now, rumor.Name)
	peer := m.peers[rumor.Name]
	if peer == nil || rumor.Incarnation < peer.incarnation || rumor.Incarnation == peer.incarnation && rumor.Health <= peer.health {
		return false
	}
	if peer.incarnation, peer.health, peer.healthSince = rumor.Incarnation, rumor.Health, now; rumor.Health == hbAlive {
		peer.heardAt = max(peer.heardAt, now)
	}
	return false
}

// hbTickResult is what has to be done after a tick.
type hbTickResult struct {
	WasPaused      bool        // this instance was paused: it has a new incarnation, and its earlier promises are void
	IndirectProbes [][2]string // the first is to be asked to probe the second
	Rumors         []hbRumor   // for all members
}

// Tick updates the state of the members. It is called about once a period.
func (m *heartbeats) Tick(now int64) (result hbTickResult) {
	elapsed := now - m.lastTick
	m.lastTick = now
	if elapsed > hbPausedAfter*m.period {
		m.incarnation++
		result.WasPaused = true
		for _, peer := range m.peers { // they were not silent, this instance was paused
			peer.heardAt = max(peer.heardAt, now-m.period)
		}
	}
	for _, peer := range m.sortedPeers() {
		switch silent := now - peer.heardAt; {
		case peer.health == hbLeft:
			if now-peer.healthSince > hbForgetAfter*m.period {
				delete(m.peers, peer.name)
			}
		case silent > hbLeftAfter*m.period:
			peer.health, peer.healthSince = hbLeft, now
			result.Rumors = append(result.Rumors, hbRumor{peer.name, peer.incarnation, hbLeft})
		case silent > hbSuspectAfter*m.period && peer.health == hbAlive:
			peer.health, peer.healthSince = hbSuspect, now
			result.Rumors = append(result.Rumors, hbRumor{peer.name, peer.incarnation, hbSuspect})
		}
		if peer.health != hbLeft && now-peer.heardAt > hbIndirectAfter*m.period && now-peer.askedAt >= m.period { // also if suspected
			peer.askedAt = now
			others := m.Live()
			others = slices.DeleteFunc(others, func(n string) bool { return n == m.me || n == peer.name })
			for range min(hbIndirectProbes, len(others)) {
				k := m.random(len(others))
				result.IndirectProbes = append(result.IndirectProbes, [2]string{others[k], peer.name})
				others = slices.Delete(others, k, k+1)
			}
		}
	}
	return result
}

// sortedPeers are the other members, by name.
func (m *heartbeats) sortedPeers() (peers []*hbPeer) {
	for _, peer := range m.peers {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b *hbPeer) int { return cmp.Compare(a.name, b.name) })
	return peers
}

// Live are the members that have not left, with this instance, by name. A suspected one is still live: to move its groups away and back
// would cost more than to wait.
func (m *heartbeats) Live() (names []string) {
	names = append(names, m.me)
	for _, peer := range m.peers {
		if peer.health != hbLeft {
			names = append(names, peer.name)
		}
	}
	slices.Sort(names)
	return names
}

// Rumors are the rumors for a new member, that about this instance first.
func (m *heartbeats) Rumors() (rumors []hbRumor) {
	rumors = append(rumors, hbRumor{m.me, m.incarnation, hbAlive})
	for _, peer := range m.sortedPeers() {
		rumors = append(rumors, hbRumor{peer.name, peer.incarnation, peer.health})
	}
	return rumors
}

// Silent are the members that others are asked to probe.
func (m *heartbeats) Silent(now int64) (names []string) {
	for _, peer := range m.sortedPeers() {
		if peer.health != hbLeft && now-peer.heardAt > hbIndirectAfter*m.period {
			names = append(names, peer.name)
		}
	}
	return names
}

// RecentlyHeard returns the incarnation of a member that was heard of within the last two periods. It answers an indirect probe.
func (m *heartbeats) RecentlyHeard(now int64, name string) (incarnation uint64, fresh bool) {
	if peer := m.peers[name]; peer != nil && peer.health == hbAlive && now-peer.heardAt <= 2*m.period {
		return peer.incarnation, true
	}
	return 0, false
}

// RunHeartbeats simulates n instances, one of which dies halfway, with a loss of messages. It returns, in periods, after what time each
// other instance knew of the death; how often a live instance counted as left; and the bytes per instance and period, at 20
// bytes a rumor.
func RunHeartbeats(n, periods int, loss float64, seed uint64) (detectionTimes []float64, falseFailures int, bytes float64) {
	const period = int64(1e9)
	random := rand.New(rand.NewPCG(seed, 9))
	names := make([]string, n)
	instances := make([]*heartbeats, n)
	for i := range instances {
		names[i] = string(rune('A'+i/26)) + string(rune('a'+i%26))
	}
	for i := range instances {
		instances[i] = newHeartbeats(names[i], 1, period, 0, random.IntN)
		for _, name := range names {
			instances[i].Add(0, name)
		}
	}
	dead, deathPeriod := n-1, periods/2
	knows := make([]bool, n)
	lost := func() bool { return random.Float64() < loss }
	falselyCalled := map[[2]int]bool{}
	for p := range periods {
		now := int64(p) * period
		for i, instance := range instances {
			if i == dead && p >= deathPeriod {
				continue
			}
			tick := instance.Tick(now)
			all := instance.Rumors()
			for k, other := range instances {
				if k == i || k == dead && p >= deathPeriod {
					continue
				}
				bytes += 20 * float64(len(all))
				if lost() {
					continue
				}
				other.Confirm(now, names[i], instance.Incarnation())
				for _, r := range append(tick.Rumors, all...) {
					other.ApplyRumor(now, r)
				}
			}
			for _, probe := range tick.IndirectProbes {
				target := slices.Index(names, probe[1])
				answered := true // four messages: to the member that was asked, on to the target, and back
				for range 4 {
					answered = !lost() && answered
				}
				if answered && !(target == dead && p >= deathPeriod) {
					instance.Confirm(now, probe[1], instances[target].Incarnation())
				}
			}
		}
		for i, instance := range instances {
			if i == dead && p >= deathPeriod {
				continue
			}
			for k, name := range names {
				if k == i {
					continue
				}
				peer := instance.peers[name]
				gone := peer == nil || peer.health == hbLeft
				switch {
				case k == dead && p >= deathPeriod:
					if gone && !knows[i] {
						knows[i] = true
						detectionTimes = append(detectionTimes, float64(p-deathPeriod))
					}
				case gone && !falselyCalled[[2]int{i, k}]:
					falselyCalled[[2]int{i, k}] = true
					falseFailures++
				case !gone:
					delete(falselyCalled, [2]int{i, k})
				}
			}
		}
	}
	return detectionTimes, falseFailures, bytes / float64(n) / float64(periods)
}
