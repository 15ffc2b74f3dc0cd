package balance

import "math"

// SessionTracking says how the router learns which writes a read of Session consistency must see.
type SessionTracking uint8

// The ways of tracking. Where none is known, such reads go to the primary, as no other member is sure to have the
// writes.
const (
	TrackingUnknown SessionTracking = iota
	TrackedByClient                 // each read says how long ago its session last wrote
	TrackedByRouter                 // routers remember the writes that they saw succeed
)

// SessionRef is what a request says of its session.
type SessionRef struct {
	ID             uint64 // SessionID of the session's key, for TrackedByRouter
	SinceLastWrite int64  // ns since the session last wrote, 0 for never; for TrackedByClient
	MinPosition    int64  // or the position that the read must see, on the servers' clock
	IsRetry        bool   // the client marks the request as a retry
}

// primaryOnly is a position that no replica is known to have.
const primaryOnly = math.MaxInt64

// sessionsPerGeneration is the number of sessions in each of two generations. An entry takes 24 bytes, and a growing
// Go map up to 3.5 times that: 2 x 32,768 x 84 bytes are at most 5.3 MiB (TestSessionMemory checks this).
const sessionsPerGeneration = 1 << 15

// SessionID returns the FNV-1a hash of a session's key. If two keys have the same ID, reads of either session also
// wait for the writes of the other.
func SessionID(key []byte) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	id := uint64(offset)
	for _, b := range key {
		id = (id ^ uint64(b)) * prime
	}
	return id
}

// lastWrite is what is known of a session's newest write.
type lastWrite struct {
	commit    int64 // newest known position of a commit; 0: none
	unknownAt int64 // when a write whose commit position is not known last ended, on this router's clock; 0: none did
}

// merge returns the newest of both.
func (w lastWrite) merge(other lastWrite) lastWrite {
	return lastWrite{max(w.commit, other.commit), max(w.unknownAt, other.unknownAt)}
}

// generation is a set of sessions with their last writes.
type generation struct {
	sessions map[uint64]lastWrite
	newest   lastWrite // of all its sessions
}

// sessionMemory remembers for each session which of the writes that this router saw succeed its reads must see. It
// drops the sessions that have not written for longest, a generation at a time. A session that is not found may have
// been dropped, so it must see the newest dropped write; until a replica is known to have that, its reads go to the
// primary.
type sessionMemory struct {
	enabled        bool
	recent, older  generation
	forgotten      lastWrite      // newest write that was dropped or not remembered
	writesInFlight map[uint64]int // attempts of writes by session; nodes may already have answered them with success
	// provenPosition is a position that a primary showed in the answer to an attempt sent at provenAt, so it includes
	// all that had been committed by then. This compares no two clocks. Reports are not used, as they may be older
	// than the probe that fetched them.
	provenAt, provenPosition int64
}

// configure turns the memory on or off. What was written while it was off counts as forgotten, and so does what was
// remembered before.
func (s *sessionMemory) configure(enabled bool) {
	if s.writesInFlight == nil {
		s.writesInFlight = map[uint64]int{}
	}
	if s.enabled == enabled {
		return
	}
	s.enabled = enabled
	s.forgotten = s.forgotten.merge(s.older.newest).merge(s.recent.newest)
	s.recent, s.older = generation{}, generation{}
	if enabled {
		s.recent.sessions, s.older.sessions = map[uint64]lastWrite{}, map[uint64]lastWrite{}
	}
}

// recordWrite records that a write of a session succeeded, with the position of its commit, or 0 if that is not known.
func (s *sessionMemory) recordWrite(session uint64, commit, now int64) {
	write := lastWrite{commit: commit}
	if commit <= 0 {
		write = lastWrite{unknownAt: now}
	}
	if !s.enabled {
		s.forgotten = s.forgotten.merge(write)
		return
	}
	write = write.merge(s.last(session))
	if _, known := s.recent.sessions[session]; !known && len(s.recent.sessions) >= sessionsPerGeneration {
		s.dropOlder()
	}
	s.recent.sessions[session] = write
	s.recent.newest = s.recent.newest.merge(write)
}

// dropOlder drops the older generation and begins a new one.
func (s *sessionMemory) dropOlder() {
	s.forgotten = s.forgotten.merge(s.older.newest)
	s.older, s.recent = s.recent, generation{sessions: s.older.sessions}
	clear(s.recent.sessions)
}

// last returns the last write of a session, or the newest forgotten one if the session is not found.
func (s *sessionMemory) last(session uint64) lastWrite {
	if write, known := s.recent.sessions[session]; known {
		return write
	}
	if write, known := s.older.sessions[session]; known {
		return write
	}
	return s.forgotten
}

// recordProof records a position that a primary showed in the answer to an attempt sent at the given time.
func (s *sessionMemory) recordProof(sentAt, position int64) {
	if position > 0 && sentAt > s.provenAt {
		s.provenAt, s.provenPosition = sentAt, position
	}
}

// writeSent records that an attempt of a write is in flight. This is done even while the memory is off, as it may be
// turned on before the attempt ends.
func (s *sessionMemory) writeSent(session uint64) {
	s.writesInFlight[session]++
}

// writeEnded records that an attempt of a write is no longer in flight.
func (s *sessionMemory) writeEnded(session uint64) {
	if s.writesInFlight[session]--; s.writesInFlight[session] <= 0 {
		delete(s.writesInFlight, session)
	}
}

// minPosition returns the position that a read of the session must see; 0: any. If the position of a commit is not
// known, it is covered by any position that a primary showed for an attempt sent after the write had ended; until
// there is one, only the primary may be read.
func (s *sessionMemory) minPosition(session uint64) int64 {
	write := s.last(session)
	switch {
	case s.writesInFlight[session] > 0:
		return primaryOnly
	case write.unknownAt == 0:
		return write.commit
	case write.unknownAt > s.provenAt:
		return primaryOnly
	}
	write = lastWrite{commit: max(write.commit, s.provenPosition)}
	if _, known := s.recent.sessions[session]; known { // stored, as later proofs would ask for more than needed
		s.recent.sessions[session] = write
	} else if _, known := s.older.sessions[session]; known {
		s.older.sessions[session] = write
	} else {
		s.forgotten = write
	}
	return write.commit
}

// sessionMinPosition returns the position that a request must see because of its session; 0: any.
func (r *Router) sessionMinPosition(class *classRecord, session SessionRef, now int64) int64 {
	switch {
	case class.Consistency != Session:
		return 0
	case class.tracking == TrackedByRouter:
		return r.sessions.minPosition(session.ID)
	case class.tracking != TrackedByClient:
		return primaryOnly
	case session.MinPosition > 0:
		return session.MinPosition
	case session.SinceLastWrite > 0:
		return now - session.SinceLastWrite
	}
	return 0
}

// configureSessions turns the session memory on if the settings ask for it and some class needs it.
func (r *Router) configureSessions(settings *Settings) {
	hasSessionReads := false
	for i := range settings.Classes {
		hasSessionReads = hasSessionReads || settings.Classes[i].Consistency == Session
	}
	r.retriesMarked = settings.RetriesMarked
	r.sessions.configure(settings.Sessions == TrackedByRouter && hasSessionReads)
}

// isOwnCommit reports whether the commit position in the answer to a write is of the write itself, and so later than
// its sending. The answer to a repeat that was discarded may show the commit of the write that it repeats.
func (r *Router) isOwnCommit(req *request) bool {
	if r.classes[req.class].RetrySafety != Deduplicated {
		return true
	}
	return r.retriesMarked && !req.isRetry && len(req.attempts) == 1
}

// recordSessionWrite records how an attempt of a write ended. An attempt without a complete answer may have
// succeeded, and the node may have confirmed that, so the session's reads must see it.
func (r *Router) recordSessionWrite(req *request, sentAt int64, outcome Outcome, commit, now int64) {
	r.sessions.writeEnded(req.session)
	switch outcome {
	case Succeeded:
		if r.isOwnCommit(req) {
			r.sessions.recordProof(sentAt, commit)
		}
		r.sessions.recordWrite(req.session, commit, now)
	case TimedOut, ConnectionLost, Canceled:
		r.sessions.recordWrite(req.session, 0, now)
	}
}
