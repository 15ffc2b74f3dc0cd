package member

import (
	"errors"
	"net"
	"time"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/message"
)

// errTooManyExchanges rejects an exchange beyond the number served at a time.
var errTooManyExchanges = errors.New("too many exchanges are in progress here")

// runExchange compares all records with those of another member and merges what differs, in chunks.
func (s *Instance) runExchange(address string) error {
	dialer := net.Dialer{Timeout: frameTimeout, LocalAddr: s.exchangeSource}
	socket, err := dialer.Dial("tcp", address)
	if err != nil {
		return err
	}
	conn := message.NewConn(socket)
	defer socket.Close()
	if err := conn.Write(&message.Frame{
		Hello: &message.Hello{Version: message.Version, Kind: message.Member, Name: s.config.Name},
	}, frameTimeout); err != nil {
		return err
	}
	s.mu.Lock()
	sums := s.members.BucketChecksums()
	first := &message.ExchangeChunk{FleetID: s.fleet, From: s.members.Self(), Checksums: sums[:], Joining: !s.members.HasJoined()}
	s.counters.Exchanges++
	s.mu.Unlock()
	if err := conn.Write(&message.Frame{Chunk: first}, frameTimeout); err != nil {
		return err
	}
	buckets, err := s.receiveRecords(conn)
	if err != nil {
		return err
	}
	return s.sendRecords(conn, buckets)
}

// serveExchange is the other side of runExchange.
func (s *Instance) serveExchange(conn *message.Conn, chunk *message.ExchangeChunk) error {
	if chunk.FleetID != s.fleet {
		return message.ErrOtherFleet
	}
	if s.servedExchanges.Add(1) > maxServedExchanges {
		s.servedExchanges.Add(-1)
		return errTooManyExchanges
	}
	defer s.servedExchanges.Add(-1)
	s.mu.Lock()
	// A member that starts an exchange is alive, so its record is merged at once.
	s.members.Merge(s.now(), chunk.From.Name, []members.Record{chunk.From})
	buckets := s.members.DifferingBuckets((*[members.BucketCount]uint64)(chunk.Checksums), chunk.Joining)
	s.mu.Unlock()
	if err := s.sendRecords(conn, buckets); err != nil {
		return err
	}
	_, err := s.receiveRecords(conn)
	return err
}

// sendRecords sends all records in the given buckets.
func (s *Instance) sendRecords(conn *message.Conn, buckets []int) error {
	s.mu.Lock()
	records := s.members.BucketRecords(s.now(), buckets)
	self := s.members.Self()
	s.mu.Unlock()
	for first := true; first || len(records) > 0; first = false {
		n := min(len(records), message.MaxChunkRecords)
		chunk := &message.ExchangeChunk{FleetID: s.fleet, From: self, Records: records[:n], Last: n == len(records)}
		if first {
			chunk.Buckets = buckets
		}
		before := conn.BytesSent
		if err := conn.Write(&message.Frame{Chunk: chunk}, frameTimeout); err != nil {
			return err
		}
		records = records[n:]
		s.mu.Lock()
		s.counters.ExchangeBytes += conn.BytesSent - before
		s.mu.Unlock()
	}
	return nil
}

// receiveRecords merges the records that the other side sends, up to its last chunk, and returns the buckets that it
// sent.
func (s *Instance) receiveRecords(conn *message.Conn) (buckets []int, err error) {
	for deadline := time.Now().Add(10 * frameTimeout); time.Now().Before(deadline); {
		before := conn.BytesReceived
		frame, err := conn.Read(frameTimeout)
		if err != nil {
			return nil, err
		}
		switch {
		case frame.Hello != nil:
			continue
		case frame.CloseReason != "":
			return nil, errors.New(frame.CloseReason)
		case frame.Chunk == nil:
			return nil, errors.New("expected a chunk of an exchange")
		case frame.Chunk.FleetID != s.fleet:
			return nil, message.ErrOtherFleet
		}
		if frame.Chunk.Buckets != nil {
			buckets = frame.Chunk.Buckets
		}
		s.mu.Lock()
		s.counters.ExchangeBytes += conn.BytesReceived - before
		if !s.closed {
			s.members.Merge(s.now(), frame.Chunk.From.Name, append(frame.Chunk.Records, frame.Chunk.From))
			s.resetTimer()
		}
		s.mu.Unlock()
		if frame.Chunk.Last {
			return buckets, nil
		}
	}
	return nil, errors.New("the exchange took too long")
}
