package terms

import (
	"cmp"
	"slices"
	"strings"
)

// index finds the most specific route of a request. Routes are compared by the length of their key prefix, then by whether
// they name a class, a group, a kind of statement, a session, and the client's retry mark, in this order. Two different
// routes that fit one request always differ in one of these, so the order is total.
//
// Key prefixes form a radix trie. Each node at which a prefix ends has a table of the routes with this prefix, by their
// other members. A look-up takes at most one step per byte of the request's key, and for each prefix that matches at most
// one map look-up per combination of named members (fieldSet) that routes with this prefix have.
type index struct {
	nodes  []trieNode // the root comes first
	tables []keyTable
}

type trieNode struct {
	label      string  // bytes on the edge to this node
	children   []int32 // ordered by the first byte of their labels
	table      int32   // below 0: no prefix ends here
	tableAbove int32   // nearest ancestor with a table; below 0: none
}

// keyTable holds the routes with one key prefix.
type keyTable struct {
	fieldSets []fieldSet // the most specific first
	routes    map[tableKey]int32
}

// fieldSet is the set of members, apart from the key, that a route names. The member that counts most is the highest bit.
type fieldSet uint8

const (
	namesClientRetry fieldSet = 1 << iota
	namesSession
	namesStatement
	namesGroup
	namesClass
)

// tableKey is a match without its key prefix. Members that are not in fields are zero.
type tableKey struct {
	fields                      fieldSet
	write, session, clientRetry bool
	class                       int32
	group                       int64
}

func (m *Match) tableKey() (k tableKey) {
	if m.Class >= 0 {
		k.fields |= namesClass
	}
	if !m.AnyGroup {
		k.fields |= namesGroup
	}
	for _, member := range []struct {
		requirement Requirement
		names       fieldSet
	}{{m.Write, namesStatement}, {m.Session, namesSession}, {m.ClientRetry, namesClientRetry}} {
		if member.requirement != Any {
			k.fields |= member.names
		}
	}
	return tableKey{class: int32(m.Class), group: m.Group, write: m.Write == Yes, session: m.Session == Yes,
		clientRetry: m.ClientRetry == Yes}.restrictTo(k.fields)
}

// restrictTo returns the key with only the given members.
func (k tableKey) restrictTo(fields fieldSet) tableKey {
	k.fields = fields
	if fields&namesClass == 0 {
		k.class = 0
	}
	if fields&namesGroup == 0 {
		k.group = 0
	}
	k.write = k.write && fields&namesStatement != 0
	k.session = k.session && fields&namesSession != 0
	k.clientRetry = k.clientRetry && fields&namesClientRetry != 0
	return k
}

// newIndex builds the index of the routes' matches. Of two equal matches the first one counts.
func newIndex(matches []Match) *index {
	x := &index{nodes: []trieNode{{table: -1, tableAbove: -1}}}
	for i := range matches {
		x.insert(&matches[i], int32(i))
	}
	for i := range x.tables {
		slices.SortFunc(x.tables[i].fieldSets, func(a, b fieldSet) int { return cmp.Compare(b, a) })
	}
	x.linkTables(0, -1)
	return x
}

// insert adds a route, adding nodes to the trie and splitting edges as needed.
func (x *index) insert(m *Match, route int32) {
	node, key := int32(0), m.KeyPrefix
	for key != "" {
		k, found := x.child(node, key[0])
		if !found {
			x.nodes = append(x.nodes, trieNode{label: key, table: -1})
			leaf := int32(len(x.nodes) - 1)
			x.nodes[node].children = slices.Insert(x.nodes[node].children, k, leaf)
			node, key = leaf, ""
			break
		}
		next := x.nodes[node].children[k]
		label := x.nodes[next].label
		n := 0
		for n < len(label) && n < len(key) && label[n] == key[n] {
			n++
		}
		if n < len(label) { // the key diverges from the label, or ends within it: split the edge
			x.nodes = append(x.nodes, trieNode{label: label[:n], table: -1, children: []int32{next}})
			fork := int32(len(x.nodes) - 1)
			x.nodes[next].label = label[n:]
			x.nodes[node].children[k] = fork
			next = fork
		}
		node, key = next, key[n:]
	}
	if x.nodes[node].table < 0 {
		x.nodes[node].table = int32(len(x.tables))
		x.tables = append(x.tables, keyTable{routes: map[tableKey]int32{}})
	}
	table, tk := &x.tables[x.nodes[node].table], m.tableKey()
	if _, exists := table.routes[tk]; exists {
		return
	}
	table.routes[tk] = route
	if !slices.Contains(table.fieldSets, tk.fields) {
		table.fieldSets = append(table.fieldSets, tk.fields)
	}
}

// child returns the index, among the node's children, of the one whose label begins with the byte, or where to insert it.
func (x *index) child(node int32, b byte) (k int, found bool) {
	return slices.BinarySearchFunc(x.nodes[node].children, b, func(n int32, b byte) int { return cmp.Compare(x.nodes[n].label[0], b) })
}

// linkTables sets tableAbove of the node and of all nodes below it.
func (x *index) linkTables(node, above int32) {
	x.nodes[node].tableAbove = above
	if x.nodes[node].table >= 0 {
		above = node
	}
	for _, n := range x.nodes[node].children {
		x.linkTables(n, above)
	}
}

// find returns the index of the request's route, or a negative number.
func (x *index) find(req *Request) int32 {
	node, key := int32(0), req.Key
	for {
		k, found := x.child(node, firstByte(key))
		if !found || key == "" {
			break
		}
		next := x.nodes[node].children[k]
		label := x.nodes[next].label
		if !strings.HasPrefix(key, label) {
			break
		}
		node, key = next, key[len(label):]
	}
	if x.nodes[node].table < 0 {
		node = x.nodes[node].tableAbove
	}
	full := tableKey{write: req.Write, session: req.Session, clientRetry: req.ClientRetry, class: int32(req.Class), group: req.Group}
	for ; node >= 0; node = x.nodes[node].tableAbove {
		table := &x.tables[x.nodes[node].table]
		for _, fields := range table.fieldSets {
			if route, ok := table.routes[full.restrictTo(fields)]; ok {
				return route
			}
		}
	}
	return -1
}

func firstByte(key string) byte {
	if key == "" {
		return 0
	}
	return key[0]
}

// moreSpecificThan reports whether m takes precedence over other. Both must fit some request.
func (m *Match) moreSpecificThan(other *Match) bool {
	if len(m.KeyPrefix) != len(other.KeyPrefix) {
		return len(m.KeyPrefix) > len(other.KeyPrefix)
	}
	return m.tableKey().fields > other.tableKey().fields
}
