package message

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"sedgestream/internal/decide/loadsum"
	"sedgestream/internal/decide/members"
)

// Loads is what a router tells others of its attempts while no planner hears it: a datagram beside those of the membership.
type Loads struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	Life     uint64   // of the router
	Parts    []loadsum.NodeLoad
}

// loadsVersion marks such a datagram.
const loadsVersion = Version | 0x80

// AppendLoads is the datagram; parts that have no room in it are left out, from the end.
func AppendLoads(l *Loads, mark Mark) ([]byte, error) {
	for parts := l.Parts; ; parts = parts[:len(parts)*3/4] {
		body, err := msgpack.Marshal(&Loads{Life: l.Life, Parts: parts})
		if err != nil {
			return nil, err
		}
		if headOf+len(body) <= members.MostWord {
			return append(binary.BigEndian.AppendUint32([]byte{loadsVersion}, uint32(mark)), body...), nil
		}
	}
}

// IsLoads tells whether a datagram is one of these.
func IsLoads(text []byte) bool { return len(text) >= headOf && text[0] == loadsVersion }

// ReadLoads reads it. Anything out of its bounds is an error as a whole.
func ReadLoads(text []byte, mark Mark) (*Loads, error) {
	if !IsLoads(text) || len(text) > members.MostWord {
		return nil, fmt.Errorf("words: no loads in %d bytes", len(text))
	}
	if binary.BigEndian.Uint32(text[1:]) != uint32(mark) {
		return nil, ErrFleet
	}
	l := &Loads{}
	if err := msgpack.Unmarshal(text[headOf:], l); err != nil {
		return nil, fmt.Errorf("words: no word of ours: %w", err)
	}
	var errs []error
	if len(l.Parts) > loadsum.MaxNodeLoads {
		errs = append(errs, fmt.Errorf("words: loads of %d nodes", len(l.Parts)))
	}
	for i := range l.Parts {
		errs = append(errs, load(l.Parts[i].Held, l.Parts[i].Shown))
	}
	return l, errors.Join(errs...)
}
