// Package pages describes a router's configuration as data, as the platform's pages document it: every member, its
// allowed values, and what a router does if it is absent or has another value. Tests start the program with them.
package pages

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Member is one member of the configuration.
type Member struct {
	Path     string   // its names from the top, separated by slashes; numbers are array indexes
	Values   []string // values that the pages allow, as JSON; the first is the usual one
	Invalid  []string // values that the pages do not allow, as JSON, and that a router must tolerate
	Required bool     // the router cannot work without it
	Default  string   // what applies if it is absent or invalid
	Effect   string   // what the router uses it for
}

// Names returns the parts of the path.
func (m Member) Names() []string { return strings.Split(m.Path, "/") }

// Values shared by several members, as JSON.
var (
	invalidWords     = []string{`"strange"`, `7`, `{}`, `null`}
	boolValues       = []string{`true`, `false`}
	invalidDurations = []string{`"soon"`, `-1`, `[]`, `null`, `1.5`}
)

// Configuration lists every documented member, except those of a request class, which are in ClassMembers.
var Configuration = []Member{
	{Path: "name", Values: []string{`"n0"`, `"n-17.west"`, `""`}, Invalid: []string{`3`, `[]`, `null`}, Default: "ROUTER_NAME", Effect: "names the router in logs"},
	{Path: "listen", Values: []string{`"127.0.0.1:0"`, `"0.0.0.0:0"`, `"localhost:0"`, `"[::]:0"`, `""`}, Invalid: []string{`null`, `3`}, Default: "ROUTER_LISTEN", Effect: "listens there for clients"},
	{Path: "seed", Values: []string{`"8c1f30d27a5be964"`, `"0"`, `""`}, Invalid: []string{`"xyz"`, `5`, `null`, `"8c1f30d27a5be9641"`}, Default: "a new one", Effect: "seeds its random source"},
	{Path: "limits", Values: []string{`{"cores":1.0,"memory_mb":192,"sockets":1024}`, `{"cores":0.25,"memory_mb":64,"sockets":256}`, `{"cores":1,"memory_mb":4.8e1,"sockets":6.4e2}`, `{}`},
		Invalid: []string{`null`, `3`, `{"cores":-1,"memory_mb":"much","sockets":0}`}, Default: "1 core, 192 MB, 1024 descriptors", Effect: "limits its use of resources"},
	{Path: "peer_listen", Values: []string{`"127.0.0.1:0"`, `"0.0.0.0:0"`, `"localhost:0"`, `""`}, Invalid: []string{`"here"`, `3`, `null`, `"127.0.0.1:99999"`}, Default: "no messages to other routers", Effect: "receives messages of other routers there"},
	{Path: "peers", Values: []string{`["127.0.0.1:9","127.0.0.1:10"]`, `[]`, `["localhost:9"]`}, Invalid: []string{`null`, `"all"`, `[3,"nowhere",null]`}, Default: "none", Effect: "addresses of other routers"},
	{Path: "peers_all", Values: []string{`"127.0.0.1:9"`, `""`}, Invalid: []string{`null`, `3`, `"everybody"`}, Default: "none", Effect: "sends messages for all other routers there"},
	{Path: "known", Invalid: []string{`null`, `[]`, `3`, `{}`, `{"version":"x","servers":[]}`, `{"version":4,"servers":null}`, `{"version":4,"full":true,"servers":[{"id":"a"}]}`},
		Values: []string{`{"version":4,"full":true,"servers":[]}`}, Default: "an empty list", Effect: "uses this list until discovery sends another"},

	{Path: "settings/balancers", Values: []string{`2`, `300`, `1.0`}, Invalid: invalidWords, Default: "1", Effect: "number of routers, for estimating what all of them send to a cold node"},
	{Path: "settings/callers", Values: []string{`{"marksRetry":true}`, `{"marksRetry":false}`}, Invalid: invalidWords, Default: "retries are not marked", Effect: "assumes that the commit of a write that is not a retry is newer than its sending"},
	{Path: "settings/family", Values: []string{`"replicas"`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/goal", Values: []string{`{"whole":0.6}`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/prices", Values: []string{`{"probe":0.04}`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/parties", Values: []string{`[]`, `[{"name":"club","quotaPerS":20,"share":0.5}]`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/skus", Values: []string{`["std-5core"]`, `[]`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/tier", Values: []string{`0`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/tiers", Values: []string{`["db"]`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/valueBy", Values: []string{`"request"`, `"work"`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/overShareWorth", Values: []string{`0.1`, `0`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/weights", Values: []string{`"nominal"`, `"off"`, `"rough"`, `"live"`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing: the weights in the list apply"},
	{Path: "settings/loadReport", Values: []string{`{"fields":["x0","x1","load_share"],"source":"on_probe"}`, `{"fields":["depth","concurrent"],"source":"inline"}`, `{"fields":[],"source":"off"}`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing: reports are read in any form"},
	{Path: "settings/locality", Values: []string{`"z"`, `"elsewhere"`, `""`}, Invalid: []string{`7`, `{}`, `null`}, Default: "no zone", Effect: "prefers nodes of its zone"},
	{Path: "settings/localities", Values: []string{`["z"]`, `["z","y"]`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/me", Values: []string{`0`, `1`, `1.0`, `299`}, Invalid: []string{`"me"`, `-1`, `1.5`, `null`}, Default: "0", Effect: "the router's own index"},
	{Path: "settings/tickUs", Values: []string{`5000`, `0`, `1e6`, `500`}, Invalid: invalidDurations, Default: "0", Effect: "minimum interval of timer processing"},
	{Path: "settings/discovery", Values: []string{`"push"`, `"ask"`}, Invalid: invalidWords, Default: "both", Effect: "polls the list often, or rarely"},

	{Path: "settings/limits", Invalid: []string{`null`, `3`, `[]`}, Values: []string{`{"sendCap":6}`}, Default: "an empty object", Effect: "see its members"},
	{Path: "settings/limits/sendCap", Values: []string{`3`, `1`, `2`, `6.0`, `1e1`}, Invalid: []string{`0`, `"three"`, `-2`, `null`, `1.5`}, Default: "1", Effect: "limits the attempts of a request"},
	{Path: "settings/limits/secondCopies", Values: boolValues, Invalid: invalidWords, Default: "false", Effect: "allows hedged attempts: two attempts at a time"},
	{Path: "settings/limits/probes", Values: boolValues, Invalid: invalidWords, Default: "false", Effect: "probes nodes for reports"},
	{Path: "settings/limits/peers", Values: boolValues, Invalid: invalidWords, Default: "false", Effect: "sends messages to other routers"},
	{Path: "settings/limits/cancel", Values: boolValues, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/limits/retryAfter", Values: boolValues, Invalid: invalidWords, Default: "false", Effect: "tells clients when to retry"},
	{Path: "settings/limits/maxRetryAfterUs", Values: []string{`1000000`, `0`, `2.5e5`}, Invalid: invalidDurations, Default: "0", Effect: "limits the retry-after time sent to clients"},
	{Path: "settings/limits/connectTimeoutUs", Values: []string{`5000000`, `250000`, `1e5`}, Invalid: invalidDurations, Default: "250 ms", Effect: "timeout for opening connections"},
	{Path: "settings/limits/keepaliveUs", Values: []string{`30000000`, `1000000`, `0`}, Invalid: invalidDurations, Default: "1 s", Effect: "closes idle connections before nodes do"},
	{Path: "settings/limits/multiplex", Values: []string{`1`, `8`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/limits/maxOpen", Values: []string{`36571`, `1`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/limits/cpuUsPerS", Values: []string{`731437`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/limits/cpuUsPerRequest", Values: []string{`0.0`, `12.5`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},

	{Path: "settings/rules", Invalid: []string{`null`, `3`, `[]`}, Values: []string{`{}`}, Default: "an empty object", Effect: "see its members"},
	{Path: "settings/rules/askEveryUs", Values: []string{`1000000`, `10000000`, `2e8`}, Invalid: invalidDurations, Default: "10 s", Effect: "interval of discovery requests"},
	{Path: "settings/rules/coldUs", Values: []string{`14000000`, `0`, `1e6`}, Invalid: invalidDurations, Default: "30 s if an overload rule is set, else 0", Effect: "warm-up time of nodes"},
	{Path: "settings/rules/drainGraceUs", Values: []string{`500000`, `0`, `250000`}, Invalid: invalidDurations, Default: "0", Effect: "stops sending to draining nodes within half of it"},
	{Path: "settings/rules/startCapacity", Values: []string{`0.15`, `0`, `1`, `1.0`}, Invalid: invalidWords, Default: "0", Effect: "capacity share of a node at its start"},
	{Path: "settings/rules/fallMultiple", Values: []string{`2.0`, `1`, `3`}, Invalid: invalidWords, Default: "1", Effect: "limits the load that all routers put on a cold node"},
	{Path: "settings/rules/fallUs", Values: []string{`3000000`, `1e6`, `500000`}, Invalid: invalidDurations, Default: "3 s", Effect: "time window in which that load is summed"},
	{Path: "settings/rules/answerSlackUs", Values: []string{`20000`, `0`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing: answers are sent before the deadline"},
	{Path: "settings/rules/softRemoval", Values: []string{`false`, `true`}, Invalid: invalidWords, Default: "false", Effect: "keeps using nodes that left the list without draining"},

	{Path: "settings/specifics", Invalid: []string{`null`, `3`, `[]`}, Values: []string{`{"consistency":["eventual","mutate","mutate","lag_bound","causal","strong"],"tokenMode":"brought","serverChecks":"await"}`}, Default: "an empty object", Effect: "see its members"},
	{Path: "settings/specifics/serverChecks", Values: []string{`"await"`, `"bounce"`, `"off"`}, Invalid: invalidWords, Default: "off", Effect: "assumes freshness only if nodes check it"},
	{Path: "settings/specifics/tokenMode", Values: []string{`"brought"`, `"kept"`}, Invalid: invalidWords, Default: "unknown: causal reads go to the primary", Effect: "how the writes that causal reads must see are tracked"},
	{Path: "settings/specifics/consistency", Invalid: []string{`null`, `"strong"`, `[]`, `["eventual","mutate","mutate","sometimes",3,null]`}, Values: []string{`["eventual","mutate","mutate","lag_bound","causal","strong"]`}, Default: "strong", Effect: "how fresh each class's data has to be"},
	{Path: "settings/specifics/stalenessBoundUs", Values: []string{`[0,0,0,300000,0,0]`, `[0,0,0,1e6]`, `[0.0,0,0,5e5,0,0]`}, Invalid: []string{`null`, `7`, `[]`, `["x","x","x","x"]`, `[0,0,0,-5]`}, Default: "0", Effect: "how old the data of bounded reads may be"},
	{Path: "settings/specifics/positionZeroUs", Values: []string{`0`, `358465121627`, `1.5e9`}, Invalid: invalidDurations, Default: "0", Effect: "zero of positions in the simulator's protocol"},
	{Path: "settings/specifics/reportX0", Values: []string{`"position in seconds after zero"`, `""`}, Invalid: []string{`7`, `null`, `{}`}, Default: "not read", Effect: "reads positions from reports"},
	{Path: "settings/specifics/reportX1", Values: []string{`"1 from a primary"`, `""`}, Invalid: []string{`7`, `null`, `{}`}, Default: "not read", Effect: "reads roles from reports"},
	{Path: "settings/specifics/roleInList", Values: []string{`"off"`, `"trailing"`, `"static"`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing: the roles in the list apply until an answer says otherwise"},
	{Path: "settings/specifics/answersStamped", Values: boolValues, Invalid: invalidWords, Default: "nothing", Effect: "nothing: positions are read wherever they are sent"},
	{Path: "settings/specifics/commitWaits", Values: boolValues, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/specifics/waitUs", Values: []string{`50000`, `0`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "settings/specifics/notes", Values: []string{`"positions"`, `""`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
}

// ClassMembers lists the members of one request class. The usual values are those of a deduplicated write. Paths are
// relative to the class.
var ClassMembers = []Member{
	{Path: "aimUs", Values: []string{`80000`, `20000`, `3e5`}, Invalid: []string{`0`, `"soon"`, `null`, `-5`}, Default: "the deadline, else 1 s", Effect: "target latency"},
	{Path: "deadlineUs", Values: []string{`2000000`, `5e5`, `0`}, Invalid: invalidDurations, Default: "not said", Effect: "limits how long a request may wait"},
	{Path: "windowUs", Values: []string{`1200000`, `0`, `100`}, Invalid: invalidDurations, Default: "0: no retries", Effect: "retries only within it"},
	{Path: "worth", Values: []string{`3.0`, `0`, `1e6`}, Invalid: invalidWords, Default: "0", Effect: "priority for capacity"},
	{Path: "lateWorth", Values: []string{`0.3`, `0`, `1`}, Invalid: invalidWords, Default: "0", Effect: "continues past the target latency if over 0"},
	{Path: "aimStretch", Values: []string{`0.5`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "stream", Values: []string{`false`}, Invalid: invalidWords, Default: "nothing", Effect: "nothing"},
	{Path: "repeat", Values: []string{`"token"`, `"pure"`, `"side_effect"`}, Invalid: invalidWords, Default: "side_effect", Effect: "decides whether and how to retry"},
	{Path: "group", Values: []string{`"cell"`, `"zone"`, `"all"`}, Invalid: invalidWords, Default: "zone", Effect: "keeps retries within it"},
}

// Set writes a member's JSON value into a decoded configuration, or removes the member if value is empty. If an object
// on the path is missing it does nothing.
func Set(config any, names []string, value string) {
	last := len(names) - 1
	for _, name := range names[:last] {
		switch v := config.(type) {
		case map[string]any:
			config = v[name]
		case []any:
			i, _ := strconv.Atoi(name)
			config = v[i]
		}
	}
	object, ok := config.(map[string]any)
	switch {
	case !ok:
	case value == "":
		delete(object, names[last])
	default:
		object[names[last]] = json.RawMessage(value)
	}
}
