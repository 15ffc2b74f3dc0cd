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

// PieceRecords bounds the records of one frame of an exchange.
const PieceRecords = 512

// Piece is a part of a full exchange of members. The one that begins says its sums; the other answers with what it knows of
// the buckets that differ, in pieces of which the last is marked so; the first answers likewise.
type Piece struct {
	Mark    Mark             `msgpack:"m"`
	From    members.Record   `msgpack:"f"`
	Sums    []uint64         `msgpack:"s,omitempty"` // of each bucket
	New     bool             `msgpack:"n,omitempty"` // it has just started, and wants all
	Buckets []int            `msgpack:"b,omitempty"` // those that differ
	Records []members.Record `msgpack:"r,omitempty"`
	Last    bool             `msgpack:"l,omitempty"`
}

func (p *Piece) check() error {
	errs := []error{Check(&p.From)}
	if len(p.Sums) != 0 && len(p.Sums) != members.Buckets {
		errs = append(errs, fmt.Errorf("words: %d sums, not %d", len(p.Sums), members.Buckets))
	}
	if len(p.Buckets) > members.Buckets || len(p.Records) > PieceRecords {
		errs = append(errs, fmt.Errorf("words: %d buckets and %d records in a piece", len(p.Buckets), len(p.Records)))
	}
	for _, b := range p.Buckets {
		if b < 0 || b >= members.Buckets {
			errs = append(errs, fmt.Errorf("words: bucket %d", b))
		}
	}
	for i := range p.Records {
		errs = append(errs, Check(&p.Records[i]))
	}
	return errors.Join(errs...)
}

// FleetRecords bounds the members that an instance tells an operator of.
const FleetRecords = 4096

// Fleet is an instance's view, for operators; empty it asks for it. Times are ages in nanoseconds.
type Fleet struct {
	Self   members.Record  `msgpack:"s" json:"self"`
	View   members.View    `msgpack:"v" json:"view"`
	Holds  members.Holds   `msgpack:"h" json:"holds"`
	All    []members.Known `msgpack:"a" json:"all"`
	Strain int             `msgpack:"w" json:"strain"` // own health; 0 is well
	// Other is a view of the same number with other members, which this one has heard of.
	Other *members.Contradiction `msgpack:"o,omitempty" json:"other,omitempty"`
	Tally Tally                  `msgpack:"t" json:"tally"`
	// Beyond is how many members are known beside those told, as a frame has its bounds.
	Beyond int   `msgpack:"b,omitempty" json:"beyond,omitempty"`
	Uptime int64 `msgpack:"u" json:"uptime"`
}

// Tally counts what an instance has said and heard for its membership since its start.
type Tally struct {
	WordsOut   int64 `msgpack:"wo" json:"words_out"`
	BytesOut   int64 `msgpack:"bo" json:"bytes_out"`
	WordsIn    int64 `msgpack:"wi" json:"words_in"`
	BytesIn    int64 `msgpack:"bi" json:"bytes_in"`
	Exchanges  int64 `msgpack:"e" json:"exchanges"`
	PieceBytes int64 `msgpack:"p" json:"piece_bytes"` // sent and got in exchanges
	Spoilt     int64 `msgpack:"x" json:"spoilt"`      // words that were none of ours
	LoadsOut   int64 `msgpack:"lo" json:"loads_out"`  // words on its attempts, to other routers
	LoadsIn    int64 `msgpack:"li" json:"loads_in"`
	Strange    int64 `msgpack:"z" json:"strange"` // of another fleet
}

// Off is an operator's word that a member goes: this instance itself if it has the name, else one that has failed and won't
// come back. The answer has the same form and says what became of it.
type Off struct {
	Name string `msgpack:"n"`
	By   string `msgpack:"b,omitempty"`
	Done bool   `msgpack:"d,omitempty"`
	Why  string `msgpack:"w,omitempty"` // it was not done
}

// Check holds a record against its bounds.
func Check(r *members.Record) error {
	if r.Name == "" || len(r.Name) > members.MostName || len(r.Address) > members.MostName || len(r.Zone) > members.MostZone ||
		len(r.By) > members.MostName || r.Health > members.Left || r.Kind > members.Planner || r.Incarnation > members.MostIncarnation {
		return fmt.Errorf("words: no record of a member: %.80q at %.80q, incarnation %d, health %d", r.Name, r.Address, r.Incarnation, r.Health)
	}
	return nil
}

// Mark marks words of one fleet: two whose seeds meet by a slip of a file must not become one.
type Mark uint32

// MarkOf is that of a fleet's name.
func MarkOf(fleet string) Mark { return Mark(xxhash.Sum64String(fleet)) }

// ErrFleet is the reason for which words of another fleet are not taken.
var ErrFleet = errors.New("words: of another fleet")

// headOf is what stands before a datagram's word: the version, and the mark.
const headOf = 5

// AppendDatagram is a word between members, as it is sent.
func AppendDatagram(w *members.Word, mark Mark) ([]byte, error) {
	text := bytes.NewBuffer(make([]byte, 0, 256))
	text.WriteByte(Version)
	text.Write(binary.BigEndian.AppendUint32(nil, uint32(mark)))
	e := msgpack.NewEncoder(text)
	e.UseCompactInts(true)
	err := e.Encode(w)
	if err == nil && text.Len() > members.MostWord {
		err = fmt.Errorf("words: a datagram of %d bytes", text.Len())
	}
	return text.Bytes(), err
}

// ReadDatagram is the word that a datagram has. One of another version, or with anything out of its bounds, is an error as a whole.
func ReadDatagram(text []byte, mark Mark) (*members.Word, error) {
	if len(text) < headOf || len(text) > members.MostWord {
		return nil, fmt.Errorf("words: a datagram of %d bytes", len(text))
	}
	if text[0] != Version {
		return nil, fmt.Errorf("%w: %d, not %d", ErrVersion, text[0], Version)
	}
	if binary.BigEndian.Uint32(text[1:]) != uint32(mark) {
		return nil, ErrFleet
	}
	w := &members.Word{}
	if err := msgpack.Unmarshal(text[headOf:], w); err != nil {
		return nil, fmt.Errorf("words: no word of ours: %w", err)
	}
	errs := []error{Check(&w.From)}
	if w.Kind > members.News || len(w.Rumors) > members.MostRumors || w.Whom == nil && (w.Kind == members.AskFor || w.Kind == members.Nack) {
		errs = append(errs, fmt.Errorf("words: a datagram of kind %d with %d rumors", w.Kind, len(w.Rumors)))
	}
	if w.Whom != nil {
		errs = append(errs, Check(w.Whom))
	}
	for i := range w.Rumors {
		errs = append(errs, Check(&w.Rumors[i]))
	}
	return w, errors.Join(errs...)
}
