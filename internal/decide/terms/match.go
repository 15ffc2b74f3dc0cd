package terms

import (
	"cmp"
	"slices"
	"strings"
)

// index finds the most specific route of a request: first the longest key, then a class, a group, a kind of statement, a
// session, the client's mark. Two routes that fit one request differ in being specific, so the order is whole.
//
// Keys stand in a trie whose edges hold runs of bytes; each of its nodes that ends a key has a table of the rest. A
// look-up costs as many steps as the request's key has bytes at most, and at each key that fits as many looks into a table
// as there are kinds of routes (shapes) with that key.
type index struct {
	nodes  []trieNode
	tables []table
}

type trieNode struct {
	run   string  // what the edge to it holds
	next  []int32 // by the first byte of their runs
	table int32   // below 0: no key ends here
	above int32   // the nearest node above with a table, or below 0
}

// table has the routes of one key.
type table struct {
	shapes []shape // the most specific first
	routes map[rest]int32
}

// shape says which members a route names, the weightiest in the highest bit.
type shape uint8

const (
	namesAgain shape = 1 << iota
	namesSession
	namesStatement
	namesGroup
	namesTariff
)

// rest is a match but for its key; members that the shape does not name are zero.
type rest struct {
	shape                 shape
	write, session, again bool
	tariff                int32
	group                 int64
}

func (m *Match) rest() (r rest) {
	if m.Tariff >= 0 {
		r.shape |= namesTariff
	}
	if !m.AnyGroup {
		r.shape |= namesGroup
	}
	for _, w := range []struct {
		which Which
		names shape
	}{{m.Write, namesStatement}, {m.Session, namesSession}, {m.Again, namesAgain}} {
		if w.which != Either {
			r.shape |= w.names
		}
	}
	return rest{tariff: int32(m.Tariff), group: m.Group, write: m.Write == Yes, session: m.Session == Yes,
		again: m.Again == Yes}.of(r.shape)
}

// of leaves what the shape names.
func (r rest) of(s shape) rest {
	r.shape = s
	if s&namesTariff == 0 {
		r.tariff = 0
	}
	if s&namesGroup == 0 {
		r.group = 0
	}
	r.write = r.write && s&namesStatement != 0
	r.session = r.session && s&namesSession != 0
	r.again = r.again && s&namesAgain != 0
	return r
}

// newIndex takes the routes' matches in their order; of two alike the first counts.
func newIndex(matches []Match) *index {
	x := &index{nodes: []trieNode{{table: -1, above: -1}}}
	for i := range matches {
		x.insert(&matches[i], int32(i))
	}
	for i := range x.tables {
		slices.SortFunc(x.tables[i].shapes, func(a, b shape) int { return cmp.Compare(b, a) })
	}
	x.link(0, -1)
	return x
}

func (x *index) insert(m *Match, route int32) {
	at, key := int32(0), m.Key
	for key != "" {
		k, found := x.child(at, key[0])
		if !found {
			x.nodes = append(x.nodes, trieNode{run: key, table: -1})
			leaf := int32(len(x.nodes) - 1)
			x.nodes[at].next = slices.Insert(x.nodes[at].next, k, leaf)
			at, key = leaf, ""
			break
		}
		next := x.nodes[at].next[k]
		run := x.nodes[next].run
		n := 0
		for n < len(run) && n < len(key) && run[n] == key[n] {
			n++
		}
		if n < len(run) { // the edge forks, or ends, within its run
			x.nodes = append(x.nodes, trieNode{run: run[:n], table: -1, next: []int32{next}})
			fork := int32(len(x.nodes) - 1)
			x.nodes[next].run = run[n:]
			x.nodes[at].next[k] = fork
			next = fork
		}
		at, key = next, key[n:]
	}
	if x.nodes[at].table < 0 {
		x.nodes[at].table = int32(len(x.tables))
		x.tables = append(x.tables, table{routes: map[rest]int32{}})
	}
	t, r := &x.tables[x.nodes[at].table], m.rest()
	if _, there := t.routes[r]; there {
		return
	}
	t.routes[r] = route
	if !slices.Contains(t.shapes, r.shape) {
		t.shapes = append(t.shapes, r.shape)
	}
}

// child is where the edge that begins with the byte stands among those of the node.
func (x *index) child(at int32, b byte) (k int, found bool) {
	return slices.BinarySearchFunc(x.nodes[at].next, b, func(n int32, b byte) int { return cmp.Compare(x.nodes[n].run[0], b) })
}

// link notes for each node the nearest one above that has a table.
func (x *index) link(at, above int32) {
	x.nodes[at].above = above
	if x.nodes[at].table >= 0 {
		above = at
	}
	for _, n := range x.nodes[at].next {
		x.link(n, above)
	}
}

// find is the route of the request, or below 0.
func (x *index) find(j *Job) int32 {
	at, key := int32(0), j.Key
	for {
		k, found := x.child(at, first(key))
		if !found || key == "" {
			break
		}
		next := x.nodes[at].next[k]
		run := x.nodes[next].run
		if !strings.HasPrefix(key, run) {
			break
		}
		at, key = next, key[len(run):]
	}
	if x.nodes[at].table < 0 {
		at = x.nodes[at].above
	}
	full := rest{write: j.Write, session: j.Session, again: j.Again, tariff: int32(j.Tariff), group: j.Group}
	for ; at >= 0; at = x.nodes[at].above {
		t := &x.tables[x.nodes[at].table]
		for _, s := range t.shapes {
			if r, ok := t.routes[full.of(s)]; ok {
				return r
			}
		}
	}
	return -1
}

func first(key string) byte {
	if key == "" {
		return 0
	}
	return key[0]
}

// precedes tells whether of two matches that fit one request the first is taken.
func (m *Match) precedes(o *Match) bool {
	if len(m.Key) != len(o.Key) {
		return len(m.Key) > len(o.Key)
	}
	return m.rest().shape > o.rest().shape
}
