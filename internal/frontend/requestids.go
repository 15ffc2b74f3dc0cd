package frontend

import (
	"hash/maphash"
	"sync"
)

// requestIDs keeps requests from running twice because their id comes twice, though each request has an id of its own by the
// protocol. An id is taken until its request has ended: its client has left or been answered, and no attempt of it is in
// flight. The ids of requests that may have run, must not run again, and whose clients left without an answer are remembered
// beyond that.
type requestIDs struct {
	mu        sync.Mutex
	open      map[string]struct{} // bounded by the memory of requests in hand
	abandoned abandonedIDs
}

// maxAbandonedIDs is how many ids are in a generation of abandonedIDs at most. Entries take some 40 bytes.
const maxAbandonedIDs = 1 << 13

// abandonedIDs remembers between maxAbandonedIDs and twice as many of the newest ids, by their hash.
type abandonedIDs struct {
	seed          maphash.Seed
	recent, older map[uint64]struct{}
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]struct{}{},
		abandoned: abandonedIDs{seed: maphash.MakeSeed(), recent: map[uint64]struct{}{}}}
}

// claim takes an id, and returns false if it is taken, or remembered from a request whose client has left.
func (r *requestIDs) claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, taken := r.open[id]
	if taken || r.abandoned.has(id) {
		return false
	}
	r.open[id] = struct{}{}
	return true
}

// release ends a claim.
func (r *requestIDs) release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
}

// abandon ends a claim and remembers the id.
func (r *requestIDs) abandon(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	r.abandoned.add(id)
}

// openCount returns how many ids are taken.
func (r *requestIDs) openCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

func (a *abandonedIDs) has(id string) bool {
	hash := maphash.String(a.seed, id)
	_, isRecent := a.recent[hash]
	_, isOlder := a.older[hash]
	return isRecent || isOlder
}

// add remembers an id. The oldest generation is forgotten when the newest is full.
func (a *abandonedIDs) add(id string) {
	if len(a.recent) >= maxAbandonedIDs {
		a.older, a.recent = a.recent, map[uint64]struct{}{}
	}
	a.recent[maphash.String(a.seed, id)] = struct{}{}
}

// releaseIDIfEnded ends the claim on the request's id if none of its attempts is in flight. Otherwise the claim ends with the
// request's goroutine.
func (a *pendingAnswer) releaseIDIfEnded() {
	if a.handle != nil && a.handle.IsFreed() && !a.idReleased.Swap(true) {
		a.client.server.ids.release(a.id)
	}
}

// releaseID ends the claim on the request's id as its goroutine ends.
func (a *pendingAnswer) releaseID() {
	if a.idReleased.Swap(true) {
		return
	}
	if a.isAbandoned.Load() && !a.repeatable && a.handle.MayHaveRun() {
		a.client.server.ids.abandon(a.id)
	} else {
		a.client.server.ids.release(a.id)
	}
}
