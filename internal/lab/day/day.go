// Package day has days of faults as data: drawn from a seed, written down, and played again from a file, in simulated time or
// between processes.
package day

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Kind is what goes wrong.
type Kind string

// The faults. Those that say so last for a while; the others are over at once.
const (
	Kill   Kind = "kill"   // Who end without a word, and start again as new lives when it is over; for ever if For is 0
	Stop   Kind = "stop"   // Who stand still, and go on when it is over
	Leave  Kind = "leave"  // Who are told to stop, and start again when it is over
	Split  Kind = "split"  // Who and all others don't reach each other
	OneWay Kind = "oneway" // nothing that Who say reaches Others
	Loss   Kind = "loss"   // a Part of all datagrams is lost
	Late   Kind = "late"   // a Part of all datagrams comes later by up to Span
	Double Kind = "double" // a Part of all datagrams comes twice
	Twin   Kind = "twin"   // another process starts with the name of Who[0], and ends when it is over
	Drain  Kind = "drain"  // the lists of Who tell that a node drains, those of all others when it is over; Part says which node
)

// Fault is one thing that goes wrong.
type Fault struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for,omitempty"`
	Kind   Kind          `json:"kind"`
	Who    []int         `json:"who,omitempty"` // numbers of instances
	Others []int         `json:"others,omitempty"`
	Part   float64       `json:"part,omitempty"`
	Span   time.Duration `json:"span,omitempty"`
}

// End is when it is over; its beginning if it is over at once or never.
func (f Fault) End() time.Duration { return f.At + f.For }

// Day is some instances, how long they run, and what goes wrong meanwhile.
type Day struct {
	Seed      uint64        `json:"seed"`
	Instances int           `json:"instances"`
	Period    time.Duration `json:"period"` // of probes
	Span      time.Duration `json:"span"`
	Faults    []Fault       `json:"faults"` // by At
}

// Last is when the last fault is over.
func (d *Day) Last() (at time.Duration) {
	for _, f := range d.Faults {
		at = max(at, f.End())
	}
	return at
}

// Draw is a day of one fault of a kind after the other, some of them at the same time, with a quiet end. Times go by the
// period, so that the same day can be played slowly and fast. Of all instances those below keep are left alone.
func Draw(seed uint64, instances, keep int, period time.Duration, faults int, kinds ...Kind) *Day {
	chance := rand.New(rand.NewPCG(seed, 28))
	d := &Day{Seed: seed, Instances: instances, Period: period}
	periods := func(least, most float64) time.Duration {
		return time.Duration((least + (most-least)*chance.Float64()) * float64(period)).Round(time.Millisecond)
	}
	some := func(part float64) (who []int) {
		n := 1 + chance.IntN(max(1, int(part*float64(instances-keep))))
		who = chance.Perm(instances - keep)[:n]
		for i := range who {
			who[i] += keep
		}
		slices.Sort(who)
		return who
	}
	at := periods(10, 20)
	for range faults {
		f := Fault{At: at, Kind: kinds[chance.IntN(len(kinds))]}
		switch f.Kind {
		case Kill:
			f.Who, f.For = some(0.2), periods(5, 60)
		case Stop:
			f.Who, f.For = some(0.1), periods(2, 30)
		case Leave:
			f.Who, f.For = some(0.1), periods(5, 40)
		case Split:
			f.Who, f.For = some(0.5), periods(5, 60)
		case OneWay:
			f.Who, f.Others, f.For = some(0.1), some(0.5), periods(5, 30)
		case Loss:
			f.Part, f.For = 0.05+0.35*chance.Float64(), periods(10, 40)
		case Late:
			f.Part, f.Span, f.For = 0.3*chance.Float64(), periods(1, 60), periods(10, 40)
		case Double:
			f.Part, f.For = chance.Float64(), periods(10, 40)
		case Twin:
			f.Who, f.For = some(0)[:1], periods(10, 40)
		case Drain:
			f.Who, f.Part, f.For = some(0.1), chance.Float64(), periods(10, 40)
		}
		d.Faults = append(d.Faults, f)
		at += periods(5, 50)
	}
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	d.Span = d.Last()
	return d
}

// Write writes the day down.
func (d *Day) Write(path string) error {
	text, err := json.MarshalIndent(d, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(text, '\n'), 0o644)
	}
	return err
}

// Read reads one that was written down.
func Read(path string) (*Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d := &Day{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i, f := range d.Faults {
		for _, w := range append(slices.Clone(f.Who), f.Others...) {
			if w < 0 || w >= d.Instances {
				return nil, fmt.Errorf("%s: fault %d names instance %d of %d", path, i, w, d.Instances)
			}
		}
	}
	return d, nil
}
