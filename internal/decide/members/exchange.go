package members

import "github.com/cespare/xxhash/v2"

// BucketCount is the number of buckets into which records are divided by the hash of their name. An exchange compares
// one checksum per bucket, so while two members agree, it is as short with three thousand members as with thirty.
const BucketCount = 64

// maxBucketsPerExchange bounds the buckets that an instance exchanges at a time once it has joined; the rest follows
// by rumors or with the next exchange.
const maxBucketsPerExchange = 8

// BucketChecksums returns the checksum of the live records in each bucket.
func (m *Members) BucketChecksums() [BucketCount]uint64 { return m.bucketChecksums }

// HasJoined reports whether this instance has heard from another since its start.
func (m *Members) HasJoined() bool { return m.joinedAt != 0 }

// DifferingBuckets returns the buckets whose checksums differ from another member's: a bounded number of them, or
// every bucket if all is set, for a member that has just started.
func (m *Members) DifferingBuckets(theirs *[BucketCount]uint64, all bool) (buckets []int) {
	first := m.randIntn(BucketCount)
	for i := range BucketCount {
		if b := (first + i) % BucketCount; (theirs[b] != m.bucketChecksums[b] || all) && (all || len(buckets) < maxBucketsPerExchange) {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// BucketRecords returns all records in the given buckets; those of inactive members have their age set.
func (m *Members) BucketRecords(now int64, buckets []int) (records []Record) {
	var want [BucketCount]bool
	for _, b := range buckets {
		want[b%BucketCount] = true
	}
	add := func(peer *peerState) {
		if want[peer.nameHash%BucketCount] {
			record := peer.Record
			if !record.isLive() {
				record.Age = uint32(max(1, (now-peer.stateSince)/1e9))
			}
			records = append(records, record)
		}
	}
	add(m.selfPeer)
	for _, peer := range m.probeOrder {
		add(peer)
	}
	for _, peer := range m.inactive {
		add(peer)
	}
	return records
}

// Merge takes in records from an exchange. An instance that has just started passes on only the other side's own
// record, as the others know the rest already: when a whole fleet starts at once, every member would otherwise gossip
// about every other for minutes.
func (m *Members) Merge(now int64, from string, records []Record) {
	m.detectPause(now)
	justStarted := now-m.startedAt < settlingPeriods*m.timing.Period
	for _, record := range records {
		m.suppressGossip = justStarted && record.Name != from
		m.applyRecord(now, record, from)
	}
	m.suppressGossip = false
	if m.joinedAt == 0 && len(records) > 0 && from != m.self.Name {
		m.joinedAt = now
	}
}

// compareChecksum schedules an exchange after several messages in a row with a different checksum.
func (m *Members) compareChecksum(now int64, peer *peerState, sum uint64) {
	if sum == m.checksum {
		m.checksumMismatches = 0
		return
	}
	if m.checksumMismatches++; m.checksumMismatches >= mismatchesBeforeExchange &&
		m.exchangeAt-now > exchangeGapPeriods*m.timing.Period {
		// A random delay, as hundreds of members may have noticed by the same rumor.
		m.exchangeAt = now + m.randomDelay(exchangeGapPeriods*m.timing.Period)
	}
}

// randomPeer returns the live peer for the next exchange, or nil if there is none.
func (m *Members) randomPeer() *peerState {
	if len(m.probeOrder) == 0 {
		return nil
	}
	return m.probeOrder[m.randIntn(len(m.probeOrder))]
}

// startExchange starts a full exchange with a peer, or with a seed if peer is nil.
func (m *Members) startExchange(now int64, peer *peerState) {
	m.checksumMismatches = 0
	m.exchangeAt = now + exchangePeriods*m.timing.Period/2 + m.randomDelay(exchangePeriods*m.timing.Period)
	switch {
	case peer != nil:
		m.delegate.StartExchange(peer.Name, peer.Address)
	case len(m.seeds) > 0:
		m.exchangeAt = now + exchangeGapPeriods*m.timing.Period/2 + m.randomDelay(exchangeGapPeriods*m.timing.Period)
		m.delegate.StartExchange("", m.seeds[m.randIntn(len(m.seeds))])
	}
}

// changeName gives this instance a new name.
func (m *Members) changeName(now int64, name string) {
	m.toggleChecksum(m.selfPeer)
	m.rumors.remove(m.selfPeer)
	m.self.Name = name
	record := m.self
	record.Incarnation = 1
	m.selfPeer = &peerState{Record: record, nameHash: xxhash.Sum64String(name), stateSince: now, laneIndex: -1}
	m.toggleChecksum(m.selfPeer)
	m.liveSetChanged(now)
	m.enqueueRumor(m.selfPeer)
}
