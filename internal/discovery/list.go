package discovery

import (
	"math"
	"time"

	"github.com/valyala/fastjson"

	"sedgestream/balance"
	"sedgestream/internal/dispatch"
	"sedgestream/internal/jsonfield"
)

// ListUpdate is one message of discovery: the full list of nodes, or the entries that have changed.
type ListUpdate struct {
	Version int64
	Full    bool
	Nodes   []dispatch.ListedNode
}

// ParseList reads a list in the format of discovery. It returns an error if any entry is invalid.
func ParseList(v *fastjson.Value) (list ListUpdate, err error) {
	defer jsonfield.Catch(&err)
	list.Version, list.Full = jsonfield.Int(v, "version", true), jsonfield.Bool(v, "full")
	for _, entry := range jsonfield.Array(v, "servers", true) {
		started := jsonfield.Int(entry, "started_ms", false)
		if started < 0 || started > math.MaxInt64/int64(time.Millisecond) {
			jsonfield.Fail("started_ms is out of range")
		}
		node := dispatch.ListedNode{ID: jsonfield.String(entry, "id", true), Address: jsonfield.String(entry, "addr", false),
			Zone: jsonfield.String(entry, "zone", false), Group: jsonfield.Int(entry, "cell", false),
			Weight: jsonfield.Float(entry, "weight", 1), StartedAt: started * int64(time.Millisecond),
			Primary: jsonfield.String(entry, "rank", false) == "source"}
		switch state := jsonfield.String(entry, "state", true); state {
		case "up":
		case "draining":
			node.Standing = balance.Draining
		case "removed":
			node.Standing = balance.Removed
		default:
			jsonfield.Fail("state %q is not one of up, draining, removed", state)
		}
		if node.ID == "" || node.Weight < 0 || node.Address == "" && node.Standing != balance.Removed {
			jsonfield.Fail("an entry has no id, no address or a negative weight")
		}
		list.Nodes = append(list.Nodes, node)
	}
	return list, nil
}

// parseListText parses the text of a list.
func parseListText(text []byte) (ListUpdate, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return ListUpdate{}, err
	}
	return ParseList(v)
}
