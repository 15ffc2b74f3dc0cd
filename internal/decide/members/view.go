package members

import (
	"cmp"
	"math"
	"slices"
)

// View is a stable set of members, with a number and a digest. Two views with the same number are the same if their
// digests are equal.
type View struct {
	Number  uint64   `json:"number"`
	Digest  uint64   `json:"digest"`
	Members []Member `json:"members"` // by name
}

// Member is an entry of a view.
type Member struct {
	Name  string `json:"name"`
	Zone  string `json:"zone,omitempty"`
	Kind  Kind   `json:"kind"`
	RunID uint64 `msgpack:"Life" json:"life"`
}

// Parameters of views. Names with Periods are in protocol periods.
const (
	viewSettlePeriods   = 2  // without a change, before the live set becomes a view
	maxViewDelayPeriods = 40 // for which changes or suspicions may delay a view
	maxViewNumber       = 1 << 48
	conflictPeriods     = 4 // for which views must differ to count as a conflict
)

// viewState tracks how the live set becomes a view. View numbers are Lamport timestamps (Lamport 1978): a new view
// has a number one above any that was heard, and a set that others have numbered already takes the highest number
// that any of them gave it.
type viewState struct {
	viewNumber, viewDigest uint64 // of the current view
	liveDigest             uint64 // of the live set as it is now
	liveChangedAt          int64  // when the live set last changed
	pendingSince           int64  // when the live set first differed from the view; 0: it does not differ
	highestNumber          uint64 // of the views heard of
	conflict               ViewConflict
	majorityPlanners       []string // planners in the last view held with a majority
}

// ViewConflict is another view with the same number as this instance's.
type ViewConflict struct {
	Reporter  string `msgpack:"Who" json:"who"` // the member that reported it last
	Number    uint64 `json:"number"`
	Digest    uint64 `json:"digest"`
	FirstSeen int64  `msgpack:"Since" json:"since"`
	LastSeen  int64  `msgpack:"Last" json:"last"`

	reported bool
}

// initView sets the view of an instance that knows no other.
func (m *Members) initView(now int64) {
	m.viewNumber, m.viewDigest, m.highestNumber = 1, m.liveDigest, 1
	m.liveChangedAt = now
}

// liveSetChanged records a change of the live set.
func (m *Members) liveSetChanged(now int64) {
	m.liveChangedAt = now
	switch {
	case m.liveDigest == m.viewDigest:
		m.pendingSince = 0 // changed back
	case m.pendingSince == 0:
		m.pendingSince = now
	}
}

// viewDueAt returns when the live set may become a view.
func (m *Members) viewDueAt() int64 {
	switch {
	case m.pendingSince == 0:
		return math.MaxInt64
	case len(m.suspects) > 0: // the suspicions may still end in failures, which belong to the same change
		return max(m.pendingSince+maxViewDelayPeriods*m.timing.Period, m.liveChangedAt+1)
	}
	return min(m.liveChangedAt+viewSettlePeriods*m.timing.Period, m.pendingSince+maxViewDelayPeriods*m.timing.Period)
}

// publishViewIfDue makes the live set the current view, once it is due.
func (m *Members) publishViewIfDue(now int64) {
	if m.pendingSince == 0 || now < m.viewDueAt() {
		return
	}
	m.pendingSince = 0
	m.highestNumber = max(m.highestNumber, m.viewNumber) + 1
	m.viewNumber, m.viewDigest, m.conflict = m.highestNumber, m.liveDigest, ViewConflict{}
	view := m.View()
	if !m.isMinority() {
		m.majorityPlanners = view.NamesOf(Planner) // nil if there is none: then the planners that answer count
	}
	m.delegate.ViewChanged(view)
}

// handleView takes in the view of another member.
func (m *Members) handleView(now int64, message *Message) {
	if message.ViewNumber >= maxViewNumber || message.From.Name == m.self.Name {
		return
	}
	m.highestNumber = max(m.highestNumber, message.ViewNumber)
	switch {
	case message.ViewDigest == m.viewDigest:
		m.viewNumber = max(m.viewNumber, message.ViewNumber) // the same set: keep the highest number that it was given
		if message.From.Name == m.conflict.Reporter {
			m.conflict = ViewConflict{}
		}
	case message.ViewNumber == m.viewNumber:
		if m.conflict.Reporter == "" || m.conflict.Number != m.viewNumber {
			m.conflict = ViewConflict{Number: m.viewNumber, FirstSeen: now}
		}
		m.conflict.Reporter, m.conflict.Digest, m.conflict.LastSeen = message.From.Name, message.ViewDigest, now
		if !m.conflict.reported && m.HasConflict(now) {
			m.conflict.reported = true
			m.delegate.ViewConflictFound(m.conflict)
		}
	}
}

// View returns the current view.
func (m *Members) View() View {
	view := View{Number: m.viewNumber, Digest: m.viewDigest, Members: make([]Member, 0, len(m.probeOrder)+1)}
	add := func(record *Record) {
		view.Members = append(view.Members, Member{record.Name, record.Zone, record.Kind, record.RunID})
	}
	if !m.hasLeft {
		add(&m.selfPeer.Record)
	}
	for _, peer := range m.probeOrder {
		add(&peer.Record)
	}
	slices.SortFunc(view.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return view
}

// NamesOf returns the names of the view's members of a kind.
func (v *View) NamesOf(kind Kind) (names []string) {
	for _, member := range v.Members {
		if member.Kind == kind {
			names = append(names, member.Name)
		}
	}
	return names
}

// ViewID returns the number and the digest of the current view.
func (m *Members) ViewID() (number, digest uint64) { return m.viewNumber, m.viewDigest }
