package wire

import (
	"encoding/base64"
	"hash/crc32"
	"math"
	"strconv"

	"github.com/valyala/fastjson"

	"sedgestream/balance"
	"sedgestream/internal/jsonfield"
	"sedgestream/internal/settings"
)

// host is one router of this process. It translates between the ids and names on the wire and the small
// indices that package balance uses, and implements balance.Actions by writing each action as JSON.
type host struct {
	router                   *balance.Router
	now                      int64
	actions                  []byte // encoded actions of this batch, each followed by a comma
	nodeNames                []string
	nodes                    map[string]int
	groups                   map[int64]int
	zones                    map[string]int
	classes                  map[string]int
	requestIDs               []int64 // ids of requests on the wire, by slot
	slots                    map[int64]balance.Slot
	positionZero             int64 // offset of positions, in nanoseconds
	readsPosition, readsRole bool
	arena                    fastjson.Arena
}

// provision starts the router, or replaces it by a new one, with the settings of the event.
func (h *host) provision(event *fastjson.Value) {
	parsed, warnings := settings.Parse(jsonfield.Object(event, "facts"))
	*h = host{now: h.now, actions: h.actions, nodes: map[string]int{}, groups: map[int64]int{}, zones: map[string]int{},
		classes: parsed.ClassByName, slots: map[int64]balance.Slot{}, positionZero: parsed.PositionZero,
		readsPosition: parsed.ReportsPosition, readsRole: parsed.ReportsRole}
	for _, warning := range warnings {
		h.write(`{"op":"WRITE_LOG","words":`).writeQuoted("settings: " + warning.String()).endAction()
	}
	parsed.ResolveZone(h.zones)
	h.router = balance.NewRouter(&parsed.Settings, uint64(jsonfield.Int(event, "initSeed", false)), h, h.now)
}

// listChanged passes a stored list to the router.
func (h *host) listChanged(event *fastjson.Value, s *server) {
	kind := jsonfield.String(event, "kind", true)
	switch kind {
	case "broken":
		h.router.ListFailed(h.now)
		return
	case "patch", "whole", "stale_copy":
	default:
		jsonfield.Fail("kind %q is not one of patch, whole, stale_copy, broken", kind)
	}
	h.router.BeginListUpdate(kind != "patch")
	for _, entry := range s.lists[s.bufferIndex(event)] {
		node := settings.AssignIndex(h.nodes, entry.node)
		if node == len(h.nodeNames) {
			h.nodeNames = append(h.nodeNames, entry.node)
		}
		h.router.UpdateNode(h.now, node, settings.AssignIndex(h.groups, entry.group),
			settings.AssignIndex(h.zones, entry.zone), crc32.ChecksumIEEE([]byte(entry.node)),
			entry.standing, entry.weight, entry.startedAt, entry.primary)
	}
	h.router.EndListUpdate(h.now)
}

// requestArrived passes a new request to the router.
func (h *host) requestArrived(event *fastjson.Value) {
	id := jsonfield.Int(event, "job", true)
	class, ok := h.classes[jsonfield.String(event, "type", true)]
	if !ok {
		jsonfield.Fail("type %q is not in the settings", jsonfield.String(event, "type", true))
	}
	session := balance.SessionRef{ID: balance.SessionID([]byte(jsonfield.String(event, "connKey", false))),
		SinceLastWrite: int64(math.Floor(jsonfield.Float(event, "wroteMsAgo", 0) * 1e6)), IsRetry: jsonfield.Bool(event, "retry")}
	slot := h.router.ReserveSlot()
	for int(slot) >= len(h.requestIDs) {
		h.requestIDs = append(h.requestIDs, 0)
	}
	h.requestIDs[slot], h.slots[id] = id, slot
	h.router.Accept(h.now, slot, class, settings.AssignIndex(h.groups, jsonfield.Int(event, "setNo", false)),
		jsonfield.Int(event, "budgetUs", true)*1000,
		session, &balance.Terms{})
}

// attemptEnded reports the outcome of an attempt. Attempts of unknown requests are ignored.
func (h *host) attemptEnded(event *fastjson.Value) {
	slot, ok := h.slots[jsonfield.Int(event, "job", true)]
	if !ok {
		return
	}
	var outcome balance.Outcome
	switch jsonfield.Int(event, "rc", false) {
	case 0:
	case 1:
		outcome = balance.Misdirected
	case 249:
		outcome = balance.NotSent
	case 250:
		outcome = balance.Canceled
	case 251:
		outcome = balance.ConnectionLost
	case 252:
		outcome = balance.Unreachable
	case 253:
		outcome = balance.TimedOut
	case 254:
		outcome = balance.Full
	case 255:
		outcome = balance.Failed
	default: // an unknown code: the attempt may have run
		outcome = balance.Failed
	}
	var info balance.AnswerInfo
	// posRole has the role in its lowest two bits and the position in milliseconds above them.
	if v := jsonfield.Int(event, "posRole", false); v > 0 {
		info.Role = balance.Role(v % 4)
		if v >= 4 {
			info.Position = h.positionZero + v/4*1e6
		}
	}
	h.router.AttemptEnded(h.now, slot, int(jsonfield.Int(event, "leg", false)), outcome, jsonfield.Bool(event, "settled"),
		jsonfield.Int(event, "latencyUs", false)*1000,
		info, h.report(event))
}

// peerMessage passes on another router's message. A malformed one is ignored.
func (h *host) peerMessage(event *fastjson.Value) {
	content, err := base64.StdEncoding.DecodeString(jsonfield.String(event, "content", false))
	if err != nil {
		return // an error of another router must not stop this one
	}
	h.router.ReceiveMessage(h.now, int(jsonfield.Int(event, "src", false)), content)
}

// report reads a node's report from an event.
func (h *host) report(event *fastjson.Value) balance.Report {
	report := jsonfield.Get(event, "report")
	if report == nil {
		return balance.Report{InFlight: -1}
	}
	// Where the number of requests in flight is not reported, the queue length is a lower bound.
	result := balance.Report{Present: true, InFlight: jsonfield.Float(report, "concurrent", jsonfield.Float(report, "depth", -1)),
		Utilization: jsonfield.Float(report, "load_share", 0)}
	if h.readsPosition && jsonfield.Get(report, "x0") != nil {
		result.Position = h.positionZero + int64(math.Floor(jsonfield.Float(report, "x0", 0)*1e6))*1000
	}
	if h.readsRole && jsonfield.Get(report, "x1") != nil {
		result.Role = balance.Replica
		if jsonfield.Float(report, "x1", 0) >= 0.5 {
			result.Role = balance.Primary
		}
	}
	return result
}

// Encoding of the router's actions, in the order of its calls.

func (h *host) write(s string) *host {
	h.actions = append(h.actions, s...)
	return h
}

func (h *host) writeInt(value int64) *host {
	h.actions = strconv.AppendInt(h.actions, value, 10)
	return h
}

func (h *host) writeQuoted(s string) *host {
	h.arena.Reset()
	h.actions = h.arena.NewString(s).MarshalTo(h.actions)
	return h
}

func (h *host) endAction() { h.actions = append(h.actions, "},"...) }

// ceilMicros converts nanoseconds to microseconds, rounded up so that nothing happens too early.
func ceilMicros(ns int64) int64 { return (ns + 999) / 1000 }

// Submit implements balance.Actions.
func (h *host) Submit(slot balance.Slot, node int, deadline int64) {
	h.write(`{"op":"SUBMIT_TO","job":`).writeInt(h.requestIDs[slot]).write(`,"node":`).writeQuoted(h.nodeNames[node])
	h.write(`,"tryUntilUs":`).writeInt(ceilMicros(deadline)).endAction()
}

// Reject implements balance.Actions.
func (h *host) Reject(slot balance.Slot, retryAfter int64, _ balance.Reason) {
	h.write(`{"op":"NOT_NOW","job":`).writeInt(h.requestIDs[slot]).write(`,"retryInUs":`).writeInt(ceilMicros(retryAfter)).endAction()
}

// Fail implements balance.Actions.
func (h *host) Fail(slot balance.Slot, _ balance.Reason) {
	h.write(`{"op":"SURRENDER","job":`).writeInt(h.requestIDs[slot]).endAction()
}

// SetTimer implements balance.Actions.
func (h *host) SetTimer(after int64) {
	h.write(`{"op":"SET_ALARM","fromNowUs":`).writeInt(ceilMicros(after)).write(`,"nonce":1`).endAction()
}

// Probe implements balance.Actions.
func (h *host) Probe(node int) {
	h.write(`{"op":"PING","node":`).writeQuoted(h.nodeNames[node]).endAction()
}

// WatchList implements balance.Actions.
func (h *host) WatchList() { h.write(`{"op":"OBSERVE","on":true`).endAction() }

// Cancel implements balance.Actions.
func (h *host) Cancel(slot balance.Slot, attempt int) {
	h.write(`{"op":"REVOKE","job":`).writeInt(h.requestIDs[slot]).write(`,"leg":`).writeInt(int64(attempt)).endAction()
}

// GrantAttempt implements balance.Actions. The simulator has no terms, and so no budget of retries.
func (h *host) GrantAttempt(balance.Slot, bool) bool { return true }

// CloseIdle implements balance.Actions.
func (h *host) CloseIdle(node int) {
	h.write(`{"op":"RELEASE","node":`).writeQuoted(h.nodeNames[node]).endAction()
}

// FetchList implements balance.Actions.
func (h *host) FetchList() { h.write(`{"op":"LOOKUP"`).endAction() }

// SendMessage implements balance.Actions.
func (h *host) SendMessage(router int, content []byte) {
	h.write(`{"op":"MEMO_TO","target":`)
	if router < 0 {
		h.write("null")
	} else {
		h.writeInt(int64(router))
	}
	h.write(`,"content":"`)
	h.actions = base64.StdEncoding.AppendEncode(h.actions, content)
	h.write(`"`).endAction()
}

// Log implements balance.Actions.
func (h *host) Log(node int, message string) {
	h.write(`{"op":"WRITE_LOG","words":`).writeQuoted(message + " " + h.nodeNames[node]).endAction()
}

// FreeSlot implements balance.Actions.
func (h *host) FreeSlot(slot balance.Slot) { delete(h.slots, h.requestIDs[slot]) }
