package service

import (
	_ "embed" // of the schema
	"fmt"
	"os"
	"runtime"
	"sync"

	"sedgestream/internal/configfile"
	"sedgestream/internal/decide/terms"
)

// PostingText is the schema of the platform's file as it is published.
//
//go:embed posting.schema.json
var PostingText []byte

var postingSchema = sync.OnceValue(func() *configfile.Schema { return configfile.NewSchema(PostingText) })

// Check reads the platform's file as a router would at its start, and tells all that it would fail over, and what it would
// pass over unread. The environment stands in for values that the file lacks, as it does for a router.
func Check(path string, env func(string) string) (faults, unread configfile.Faults, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s := configfile.Read(path, text)
	if s.Value == nil {
		return s.Faults(), nil, nil
	}
	formal := s.Check(postingSchema())
	var notes []configfile.Note
	top, _ := s.Value.(map[string]any)
	for key, name := range map[string]string{"listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY"} {
		if v, _ := top[key].(string); v == "" && env(name) == "" {
			notes = append(notes, configfile.Note{At: "/" + key, Reason: fmt.Sprintf("missing: %s, and %s is not set", key, name)})
		}
	}
	settings, _ := top["settings"].(map[string]any)
	specifics, _ := settings["specifics"].(map[string]any)
	classes, _ := settings["classes"].([]any)
	if needs, _ := specifics["consistency"].([]any); needs != nil && len(needs) < len(classes) {
		notes = append(notes, configfile.Note{At: "/settings/specifics/consistency",
			Reason: fmt.Sprintf("%d values are too few for %d classes", len(needs), len(classes))})
	}
	names := map[string]bool{}
	for i, c := range classes {
		m, _ := c.(map[string]any)
		name, _ := m["name"].(string)
		if names[name] {
			notes = append(notes, configfile.Note{At: fmt.Sprintf("/settings/classes/%d/name", i), Reason: fmt.Sprintf("class %q stands twice", name)})
		}
		names[name] = true
	}
	if s.Add(notes); formal && len(notes) == 0 {
		// The schema says all that reading would stumble over, one at a time; what it may have missed is told all the same.
		if _, err := ReadPosting(func(key string) string {
			if key == "ROUTER_CONFIG" {
				return path
			}
			return env(key)
		}); err != nil {
			s.Add([]configfile.Note{{Reason: err.Error()}})
		}
	}
	over := configfile.Read(path, text)
	over.Unread(postingSchema())
	return s.Faults(), over.Faults(), nil
}

// Ground is what terms are proved against, by a posting: its settings, and the groups of its list. Where the list names
// no node, no group is known.
func (p *Posting) Ground() *terms.Ground {
	g := &terms.Ground{Contract: &p.Contract.Settings, Tariffs: make([]string, len(p.Contract.Classes)), Waits: p.Contract.Deadlines,
		Between: runtime.Gosched}
	for name, i := range p.Contract.ByName {
		g.Tariffs[i] = name
	}
	for _, row := range p.Known.Servers {
		if g.Groups == nil {
			g.Groups = map[int64]bool{}
		}
		g.Groups[row.Group] = true
	}
	return g
}
