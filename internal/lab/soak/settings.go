package soak

import (
	"encoding/json"
	"time"
)

// Class is a request class; its number is the index in the settings.
type Class int

// The request classes.
const (
	Eventual   Class = iota // reads of data of any age
	Bounded                 // reads of data that is at most stalenessBound old
	Session                 // reads that see what their session wrote
	Fresh                   // reads that see every committed write
	TokenWrite              // writes that may be retried within tokenWindow
	OnceWrite               // writes that must not be executed twice
)

// ClassNames are the names of the classes in the settings and in queries.
var ClassNames = []string{"list", "view", "own", "now", "order", "once"}

// IsWrite reports whether only a primary executes requests of the class.
func (c Class) IsWrite() bool { return c == TokenWrite || c == OnceWrite }

// Settings that are the same in every scenario.
const (
	stalenessBound   = 400 * time.Millisecond
	tokenWindow      = 3 * time.Second
	drainGrace       = 500 * time.Millisecond
	warmUpTime       = 4 * time.Second
	overloadWindow   = time.Second
	overloadMultiple = 2.0
	startCapacity    = 0.15
	memoryLimitMB    = 128 // 10^6 bytes
	descriptorLimit  = 512
)

// classSettings is a class in the contract settings.
type classSettings struct {
	Name       string  `json:"name"`
	AimUs      int64   `json:"aimUs"`
	DeadlineUs int64   `json:"deadlineUs"`
	Repeat     string  `json:"repeat"`
	Group      string  `json:"group,omitempty"`
	WindowUs   int64   `json:"windowUs"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"lateWorth"`
}

// settings returns the contract settings of the router with that index.
func (s *Scenario) settings(routerIndex int) json.RawMessage {
	retrySafety := []string{"pure", "pure", "pure", "pure", "token", "side_effect"}
	var classes []classSettings
	for i, name := range ClassNames {
		class := classSettings{Name: name, AimUs: min(s.TargetLatency, s.Deadlines[i]).Microseconds(),
			DeadlineUs: s.Deadlines[i].Microseconds(),
			Repeat:     retrySafety[i], WindowUs: tokenWindow.Microseconds(), Worth: 1, LateWorth: 0.5}
		if retrySafety[i] == "token" {
			class.Group = "cell"
		}
		classes = append(classes, class)
	}
	discovery, tokenMode := "push", "brought"
	if s.PollDiscovery {
		discovery = "ask"
	}
	if s.RouterSessions {
		tokenMode = "kept"
	}
	text, err := json.Marshal(map[string]any{
		"me": routerIndex, "balancers": s.Routers, "tickUs": 5000, "discovery": discovery, "classes": classes,
		"limits": map[string]any{"sendCap": 4, "secondCopies": s.Hedging, "probes": s.Probes, "peers": false, "connectTimeoutUs": 200000,
			"keepaliveUs": 5000000},
		"rules": map[string]any{"askEveryUs": 1000000, "coldUs": warmUpTime.Microseconds(), "drainGraceUs": drainGrace.Microseconds(),
			"fallMultiple": overloadMultiple, "fallUs": overloadWindow.Microseconds(), "startCapacity": startCapacity},
		"specifics": map[string]any{"consistency": []string{"eventual", "lag_bound", "causal", "strong", "mutate", "mutate"},
			"stalenessBoundUs": []int64{0, stalenessBound.Microseconds(), 0, 0, 0, 0}, "reportX0": "position", "reportX1": "role",
			"serverChecks": s.ServerChecks, "tokenMode": tokenMode, "answersStamped": true},
	})
	if err != nil {
		panic(err) // all values are of types that JSON can represent
	}
	return text
}
