// Package settings parses the settings that the platform gives a router, both over the simulator's wire protocol
// and in its configuration file. A value outside the platform documentation is replaced, with a warning, by one
// that cannot break a rule.
package settings

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"sedgestream/balance"
	"sedgestream/internal/jsonfield"
)

// Settings are the settings of package balance, and what its callers need besides.
type Settings struct {
	balance.Settings
	ClassByName     map[string]int // indices of Classes by name
	HomeZone        string         // the router's own zone; "" if it is not given
	PositionZero    int64          // offset of positions in the simulator's protocol, in nanoseconds
	ReportsPosition bool           // reports carry the node's position in the replication log
	ReportsRole     bool           // reports carry the node's role
	Deadlines       []int64        // how long clients of each class wait at most, in nanoseconds; 0: not given
}

// Defaults where the settings give no value. A default that a rule depends on is stricter than any value in the
// platform documentation.
const (
	defaultConnectTimeout   = int64(250 * time.Millisecond)
	defaultIdleTimeout      = int64(time.Second) // idle connections may be closed after this
	defaultListPollInterval = int64(10 * time.Second)
	defaultWarmUpTime       = int64(30 * time.Second) // where fallUs is given without coldUs
	defaultOverloadWindow   = int64(3 * time.Second)
	defaultTargetLatency    = int64(time.Second)
	maxAttempts             = 1 << 10
)

// Parse reads the settings object, and returns warnings for values that it had to replace. It panics with
// jsonfield.Malformed only if no class can be served.
func Parse(value *fastjson.Value) (*Settings, []Warning) {
	var warnings []Warning
	if value.Type() != fastjson.TypeObject {
		jsonfield.Fail("settings: want an object, have %s", value.Type())
	}
	top := section{value: value, warnings: &warnings}
	limits, rules, specifics := top.section("limits"), top.section("rules"), top.section("specifics")
	s := &Settings{ClassByName: map[string]int{}, HomeZone: top.text("locality"), PositionZero: specifics.duration("positionZeroUs", 0),
		ReportsPosition: specifics.text("reportX0") != "", ReportsRole: specifics.text("reportX1") != ""}
	s.TickInterval = top.duration("tickUs", 0)
	s.RouterIndex = int(top.integer("me", 0, maxMicroseconds))
	s.Zone = -1
	s.RouterCount = int(top.integer("balancers", 0, 1<<20))
	s.RetriesMarked = top.optional("callers").boolean("marksRetry")
	s.readLimits(limits)
	s.readRules(rules)
	s.readDiscovery(top)
	s.NodesCheckFreshness = choice(specifics, "serverChecks", specifics.text("serverChecks"),
		map[string]bool{"await": true, "bounce": true, "off": false}, false, "off: this router checks")
	s.readClasses(top, specifics)
	if len(s.ClassByName) == 0 {
		jsonfield.Fail("settings.classes: there is none that could be served")
	}
	return s, warnings
}

func (s *Settings) readLimits(limits section) {
	s.MaxAttempts = int(limits.integer("sendCap", 1, maxAttempts))
	if limits.member("sendCap") == nil || s.MaxAttempts == 0 {
		limits.warn("sendCap", "missing or zero, read as 1")
		s.MaxAttempts = 1
	}
	s.Hedging = limits.boolean("secondCopies")
	s.Probes = limits.boolean("probes")
	s.PeerMessages = limits.boolean("peers")
	s.ConnectTimeout = limits.duration("connectTimeoutUs", defaultConnectTimeout)
	s.IdleTimeout = limits.duration("keepaliveUs", defaultIdleTimeout)
	if limits.boolean("retryAfter") {
		s.MaxRetryAfter = limits.duration("maxRetryAfterUs", 0)
	}
}

func (s *Settings) readRules(rules section) {
	s.ListPollInterval = rules.duration("askEveryUs", defaultListPollInterval)
	s.DrainGrace = rules.duration("drainGraceUs", 0)
	s.RemovedMayServe = rules.boolean("softRemoval")
	s.ColdCapacityShare = min(rules.number("startCapacity", 0), 1)
	s.OverloadMultiple = rules.number("fallMultiple", 1)
	s.OverloadWindow = rules.duration("fallUs", defaultOverloadWindow)
	warmUpTime := int64(0)
	if rules.member("fallUs") != nil || rules.member("coldUs") != nil {
		warmUpTime = defaultWarmUpTime
	}
	s.WarmUpTime = rules.duration("coldUs", warmUpTime)
}

// readDiscovery reads whether discovery pushes changes of the list or has to be asked for them. If that is
// unknown, the router does both.
func (s *Settings) readDiscovery(top section) {
	type mode struct{ asked, pushed bool }
	modes := map[string]mode{"ask": {asked: true}, "push": {pushed: true}}
	chosen := choice(top, "discovery", top.text("discovery"), modes, mode{true, true}, "both ask and push")
	s.ListOnRequest, s.ListPushed = chosen.asked, chosen.pushed
}

var (
	consistencies = map[string]balance.Consistency{"eventual": balance.Any, "lag_bound": balance.Bounded, "causal": balance.Session,
		"strong": balance.Fresh, "mutate": balance.Write}
	retrySafeties = map[string]balance.RetrySafety{"pure": balance.Idempotent, "token": balance.Deduplicated,
		"side_effect": balance.AtMostOnce}
	dedupScopes  = map[string]balance.DedupScope{"cell": balance.DedupInGroup, "zone": balance.DedupInZone, "all": balance.DedupEverywhere}
	sessionModes = map[string]balance.SessionTracking{"brought": balance.TrackedByClient, "kept": balance.TrackedByRouter}
)

func (s *Settings) readClasses(top, specifics section) {
	consistency, bounds := specifics.array("consistency"), specifics.array("stalenessBoundUs")
	classes := top.array("classes")
	causal := false
	for i, v := range classes {
		object := section{pointer: fmt.Sprintf("%s/classes/%d", top.pointer, i), warnings: top.warnings}
		if v.Type() == fastjson.TypeObject {
			object.value = v
		}
		name := object.text("name")
		if _, duplicate := s.ClassByName[name]; name == "" || duplicate {
			object.warn("name", "missing or used by an earlier class: no request can name this class")
		} else {
			s.ClassByName[name] = i
		}
		class := readClass(object)
		class.Consistency = readConsistency(specifics, consistency, i)
		class.MaxStaleness = readBound(specifics, bounds, i, class.Consistency)
		causal = causal || class.Consistency == balance.Session
		s.Classes = append(s.Classes, class)
		s.Deadlines = append(s.Deadlines, class.Deadline)
	}
	if causal || specifics.member("tokenMode") != nil {
		s.Sessions = choice(specifics, "tokenMode", specifics.text("tokenMode"), sessionModes, balance.TrackingUnknown,
			"unknown: reads of what their session wrote go to the primary")
	}
}

// readClass reads the members of a class. If its retry safety is unknown, no request of it is sent twice.
func readClass(object section) balance.Class {
	class := balance.Class{Deadline: object.duration("deadlineUs", 0), DedupWindow: object.duration("windowUs", 0),
		Value: object.number("worth", 0), LateValueShare: object.number("lateWorth", 0)}
	target := defaultTargetLatency
	if class.Deadline > 0 {
		target = class.Deadline
	}
	if class.TargetLatency = object.duration("aimUs", 0); class.TargetLatency == 0 {
		object.warn("aimUs", "missing or zero, read as %v", time.Duration(target))
		class.TargetLatency = target
	}
	class.RetrySafety = choice(object, "repeat", object.text("repeat"), retrySafeties, balance.AtMostOnce, "side_effect")
	if class.RetrySafety == balance.Deduplicated {
		class.DedupScope = choice(object, "group", object.text("group"), dedupScopes, balance.DedupInZone, "zone")
	}
	return class
}

// readConsistency returns how recent the data of a class has to be. If that is unknown, only the primary is
// recent enough.
func readConsistency(specifics section, consistency []*fastjson.Value, i int) balance.Consistency {
	key, value := fmt.Sprintf("consistency/%d", i), ""
	if i < len(consistency) {
		value = specifics.textOf(key, consistency[i])
	}
	return choice(specifics, key, value, consistencies, balance.Fresh, "strong")
}

// readBound returns how old the data of a bounded read may be, in nanoseconds; 0 if that is unknown.
func readBound(specifics section, bounds []*fastjson.Value, i int, consistency balance.Consistency) int64 {
	key := fmt.Sprintf("stalenessBoundUs/%d", i)
	if i >= len(bounds) {
		if consistency == balance.Bounded {
			specifics.warn(key, "missing, read as 0")
		}
		return 0
	}
	x, err := bounds[i].Float64()
	if err != nil || !(x >= 0) {
		specifics.warn(key, "want a number of at least 0, have %s, read as 0", bounds[i])
		return 0
	}
	return int64(min(x, maxMicroseconds)) * 1000
}

// ResolveZone sets the index of the router's own zone among the zones of nodes.
func (s *Settings) ResolveZone(zones map[string]int) {
	if s.Zone = -1; s.HomeZone != "" {
		s.Zone = AssignIndex(zones, s.HomeZone)
	}
}

// AssignIndex returns the index of a key. A key without one gets the next index, starting from 0.
func AssignIndex[K comparable](indexes map[K]int, key K) int {
	index, ok := indexes[key]
	if !ok {
		index = len(indexes)
		indexes[key] = index
	}
	return index
}
