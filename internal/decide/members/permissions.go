package members

// Situation is how far an instance may trust its own view of the fleet.
type Situation uint8

// The situations. If several apply, the one listed last is reported.
const (
	Majority   Situation = iota // it sees at least half of the members that may be alive, and no view conflict
	Conflicted                  // another member has a different view with the same number
	Minority                    // it sees fewer than half of the members that may be alive
	Isolated                    // it sees no other member, or has left
	Starting                    // it has just started: effects of an earlier run may not be over
	Resumed                     // it was paused for a while
)

// situationNames are the names in logs and in the status for operators, where they are part of the format.
var situationNames = [...]string{"whole", "contradicted", "minority", "alone", "started", "woke"}

// String returns the name of the situation for operators and logs.
func (s Situation) String() string { return situationNames[s] }

// Permissions is what an instance may do, given what it knows of the others. All of it is decided in this file; the
// design note has the same rules as a table.
type Permissions struct {
	Situation Situation `json:"situation"`
	// Senders is the divisor of budgets that all instances share: the number of those that may be alive and sending.
	// Failed members count until they have left, were removed by an operator or are forgotten, so it grows at once
	// and shrinks only on explicit information. 0: not known; only what is safe whatever others do may be used.
	Senders int `json:"senders"`
	// MayPledge tells whether new pledges of shares may be made to planners (see package plan). An instance that does
	// not know what it did before its start or its pause uses only what is safe on its own.
	MayPledge bool `msgpack:"Pledge" json:"pledge"`
	// Planners are those over which groups are distributed; nil: there is no view to rely on, so the planners that
	// answer count. An instance that is cut off keeps the last view of a majority and moves no groups.
	Planners []string `msgpack:"Owners" json:"owners"`
	// TrustHints tells whether hints of others about a node count. Members that are cut off together see their own
	// links fail, not the node.
	TrustHints bool `msgpack:"Hints" json:"hints"`
}

// settlingPeriods is the number of periods after a start or a pause until the view may be trusted.
const settlingPeriods = 4

// Situation returns the current situation of this instance.
func (m *Members) Situation(now int64) Situation {
	settling := settlingPeriods * m.timing.Period
	switch {
	case m.resumedAt != 0 && now-m.resumedAt < settling:
		return Resumed
	case now-m.startedAt < settling:
		return Starting
	case m.hasLeft || len(m.probeOrder) == 0 && (len(m.inactive) > 0 || len(m.seeds) > 0):
		return Isolated
	case m.isMinority():
		return Minority
	case m.HasConflict(now):
		return Conflicted
	}
	return Majority
}

// Permissions returns what this instance may do in its current situation.
func (m *Members) Permissions(now int64) Permissions {
	situation := m.Situation(now)
	permissions := Permissions{Situation: situation, Senders: m.SenderCount()}
	if situation == Starting || m.joinedAt == 0 && len(m.seeds) > 0 {
		permissions.Senders = 0
	}
	switch situation {
	case Majority:
		permissions.MayPledge, permissions.TrustHints, permissions.Planners = true, true, m.majorityPlanners
	case Conflicted: // whichever view is right, a share is pledged to only one planner, of those that answer
		permissions.MayPledge, permissions.TrustHints, permissions.Planners = true, true, m.majorityPlanners
	case Minority, Isolated:
		if permissions.MayPledge = true; !m.hasLeft { // an instance that has left goes by the planners that answer
			permissions.Planners = m.majorityPlanners
		}
	}
	return permissions
}

// SenderCount returns the number of members that may be alive and sending.
func (m *Members) SenderCount() int {
	n := m.LiveCount()
	for _, peer := range m.inactive {
		if peer.Health == Failed {
			n++
		}
	}
	return n
}

// SenderCountOf returns the number of members of a kind that may be alive and sending.
func (m *Members) SenderCountOf(kind Kind) (n int) {
	count := func(record *Record) {
		if record.Kind == kind && record.Health != Left {
			n++
		}
	}
	count(&m.selfPeer.Record)
	for _, peer := range m.probeOrder {
		count(&peer.Record)
	}
	for _, peer := range m.inactive {
		count(&peer.Record)
	}
	return n
}

// isMinority reports whether fewer than half of the members that may be alive are live here.
func (m *Members) isMinority() bool { return 2*m.LiveCount() < m.SenderCount() }

// HasConflict reports whether another view with this one's number has been reported for some time, and still is.
func (m *Members) HasConflict(now int64) bool {
	conflict := &m.conflict
	return conflict.Reporter != "" && conflict.Number == m.viewNumber &&
		conflict.LastSeen-conflict.FirstSeen >= conflictPeriods*m.timing.Period &&
		now-conflict.LastSeen < 4*conflictPeriods*m.timing.Period
}

// LastConflict returns the last view conflict that was found, and whether it still applies to the current view.
func (m *Members) LastConflict() (ViewConflict, bool) {
	return m.conflict, m.conflict.Reporter != "" && m.conflict.Number == m.viewNumber
}
