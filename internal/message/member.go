package message

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"sedgestream/internal/decide/members"
)

// MaxChunkRecords bounds the records in one frame of an exchange.
const MaxChunkRecords = 512

// ExchangeChunk is a frame of a full exchange of membership records. The initiator sends its checksums; the other
// side answers with its records in the buckets that differ, in one or more chunks; then the initiator answers
// likewise.
type ExchangeChunk struct {
	FleetID   FleetID          `msgpack:"m"`
	From      members.Record   `msgpack:"f"`
	Checksums []uint64         `msgpack:"s,omitempty"` // one per bucket
	Joining   bool             `msgpack:"n,omitempty"` // the sender has just started and requests all buckets
	Buckets   []int            `msgpack:"b,omitempty"` // the buckets that differ
	Records   []members.Record `msgpack:"r,omitempty"`
	Last      bool             `msgpack:"l,omitempty"`
}

// check checks that the chunk is within its bounds.
func (c *ExchangeChunk) check() error {
	errs := []error{CheckRecord(&c.From)}
	if len(c.Checksums) != 0 && len(c.Checksums) != members.BucketCount {
		errs = append(errs, fmt.Errorf("message: %d checksums, not %d", len(c.Checksums), members.BucketCount))
	}
	if len(c.Buckets) > members.BucketCount || len(c.Records) > MaxChunkRecords {
		errs = append(errs, fmt.Errorf("message: %d buckets or %d records exceed the limit of an exchange chunk",
			len(c.Buckets), len(c.Records)))
	}
	for _, b := range c.Buckets {
		if b < 0 || b >= members.BucketCount {
			errs = append(errs, fmt.Errorf("message: bucket %d out of range", b))
		}
	}
	for i := range c.Records {
		errs = append(errs, CheckRecord(&c.Records[i]))
	}
	return errors.Join(errs...)
}

// MaxStatusRecords bounds the members in a FleetStatus.
const MaxStatusRecords = 4096

// FleetStatus is an instance's view of the fleet, for operators. An empty one requests it. Times are ages in
// nanoseconds.
type FleetStatus struct {
	Self        members.Record        `msgpack:"s" json:"self"`
	View        members.View          `msgpack:"v" json:"view"`
	Permissions members.Permissions   `msgpack:"h" json:"holds"`
	Members     []members.KnownMember `msgpack:"a" json:"all"`
	HealthScore int                   `msgpack:"w" json:"strain"` // local health score; 0 is healthy
	// Conflict is a view with the same number but other members, which this instance has heard of.
	Conflict *members.ViewConflict `msgpack:"o,omitempty" json:"other,omitempty"`
	Counters Counters              `msgpack:"t" json:"tally"`
	// Omitted is the number of known members that are left out because of MaxStatusRecords.
	Omitted int   `msgpack:"b,omitempty" json:"beyond,omitempty"`
	Uptime  int64 `msgpack:"u" json:"uptime"`
}

// Counters counts the traffic of an instance's membership since its start.
type Counters struct {
	DatagramsOut  int64 `msgpack:"wo" json:"words_out"`
	BytesOut      int64 `msgpack:"bo" json:"bytes_out"`
	DatagramsIn   int64 `msgpack:"wi" json:"words_in"`
	BytesIn       int64 `msgpack:"bi" json:"bytes_in"`
	Exchanges     int64 `msgpack:"e" json:"exchanges"`
	ExchangeBytes int64 `msgpack:"p" json:"piece_bytes"` // sent and received in exchanges
	Malformed     int64 `msgpack:"x" json:"spoilt"`      // invalid datagrams
	LoadsOut      int64 `msgpack:"lo" json:"loads_out"`  // load reports to other routers
	LoadsIn       int64 `msgpack:"li" json:"loads_in"`
	OtherFleet    int64 `msgpack:"z" json:"strange"` // datagrams of another fleet
}

// Removal is an operator's request to remove a member: the receiving instance itself if it has that name, else a
// failed member that will not come back. The answer has the same form and contains the result.
type Removal struct {
	Name   string `msgpack:"n"`
	By     string `msgpack:"b,omitempty"`
	Done   bool   `msgpack:"d,omitempty"`
	Reason string `msgpack:"w,omitempty"` // why it was not done
}

// CheckRecord checks that a record is within its bounds.
func CheckRecord(record *members.Record) error {
	if record.Name == "" || len(record.Name) > members.MaxNameBytes ||
		len(record.Address) > members.MaxNameBytes || len(record.Zone) > members.MaxZoneBytes ||
		len(record.By) > members.MaxNameBytes || record.Health > members.Left || record.Kind > members.Planner ||
		record.Incarnation > members.MaxIncarnation {
		return fmt.Errorf("message: invalid member record: %.80q at %.80q, incarnation %d, health %d",
			record.Name, record.Address, record.Incarnation, record.Health)
	}
	return nil
}

// FleetID marks the messages of one fleet, so that two fleets do not merge if a seed of one is configured in the other by
// mistake.
type FleetID uint32

// FleetIDOf returns the ID of a fleet by its name.
func FleetIDOf(name string) FleetID { return FleetID(xxhash.Sum64String(name)) }

// ErrOtherFleet is the error for a message of another fleet.
var ErrOtherFleet = errors.New("message: from another fleet")

// datagramHeaderBytes is the size of a datagram's header: the version and the fleet ID.
const datagramHeaderBytes = 5

// EncodeDatagram encodes a message between members as a datagram.
func EncodeDatagram(m *members.Message, fleet FleetID) ([]byte, error) {
	buffer := bytes.NewBuffer(make([]byte, 0, 256))
	buffer.WriteByte(Version)
	buffer.Write(binary.BigEndian.AppendUint32(nil, uint32(fleet)))
	encoder := msgpack.NewEncoder(buffer)
	encoder.UseCompactInts(true)
	err := encoder.Encode(m)
	if err == nil && buffer.Len() > members.MaxDatagramBytes {
		err = fmt.Errorf("message: a datagram of %d bytes exceeds the limit", buffer.Len())
	}
	return buffer.Bytes(), err
}

// DecodeDatagram decodes a datagram. If its version is another or any part is out of bounds, the whole datagram is
// rejected.
func DecodeDatagram(datagram []byte, fleet FleetID) (*members.Message, error) {
	if len(datagram) < datagramHeaderBytes || len(datagram) > members.MaxDatagramBytes {
		return nil, fmt.Errorf("message: invalid datagram size of %d bytes", len(datagram))
	}
	if datagram[0] != Version {
		return nil, fmt.Errorf("%w: %d, not %d", ErrVersion, datagram[0], Version)
	}
	if binary.BigEndian.Uint32(datagram[1:]) != uint32(fleet) {
		return nil, ErrOtherFleet
	}
	m := &members.Message{}
	if err := msgpack.Unmarshal(datagram[datagramHeaderBytes:], m); err != nil {
		return nil, fmt.Errorf("message: no word of ours: %w", err)
	}
	errs := []error{CheckRecord(&m.From)}
	if m.Kind > members.Gossip || len(m.Rumors) > members.MaxRumors ||
		m.Target == nil && (m.Kind == members.PingReq || m.Kind == members.Nack) {
		errs = append(errs, fmt.Errorf("message: invalid datagram of kind %d with %d rumors", m.Kind, len(m.Rumors)))
	}
	if m.Target != nil {
		errs = append(errs, CheckRecord(m.Target))
	}
	for i := range m.Rumors {
		errs = append(errs, CheckRecord(&m.Rumors[i]))
	}
	return m, errors.Join(errs...)
}
