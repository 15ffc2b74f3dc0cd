// Package termsfile reads a file with the terms of routes: it checks the text by the schema and by the rules of package
// terms, and compiles it into a route table. A file is accepted as a whole or not at all.
package termsfile

import (
	_ "embed" // for the schema
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"sedgestream/balance"
	"sedgestream/internal/configfile"
	"sedgestream/internal/decide/terms"
)

// SchemaText is the published JSON schema of the file.
//
//go:embed terms.schema.json
var SchemaText []byte

var schema = sync.OnceValue(func() *configfile.Schema { return configfile.NewSchema(SchemaText) })

// Load reads the file at the path. If the file can be read but is wrong, the error is configfile.Faults.
func Load(path string, env *terms.Environment) (*terms.RouteTable, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text := make([]byte, 0, 16<<10)
	for len(text) <= configfile.MaxBytes { // of a longer file, only as much as shows that it is too long
		text = slices.Grow(text, 16<<10)
		n, err := f.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err != nil {
			break
		}
	}
	return Parse(path, text, env)
}

// Parse reads a file's text. The error lists everything that is wrong.
func Parse(name string, text []byte, env *terms.Environment) (*terms.RouteTable, error) {
	document := configfile.Parse(name, text)
	if document.Value == nil {
		return nil, document.Err()
	}
	schemaValid := document.Validate(schema())
	r := reader{env: env, schemaValid: schemaValid}
	r.readDraft(document.Value)
	document.AddFaults(r.faults)
	// A value of a wrong form was left out as if it were not set, so it breaks no rule here.
	for _, violation := range terms.Validate(&r.draft, env) {
		document.AddFaults([]configfile.PointerFault{{Pointer: violation.Path, Reason: violation.Reason}})
	}
	if err := document.Err(); err != nil {
		return nil, err
	}
	return terms.Compile(&r.draft, env), nil
}

// reader makes a draft of a parsed file. It leaves out values of a wrong form, which the schema validation has reported.
type reader struct {
	env         *terms.Environment
	schemaValid bool // the file conforms to the schema
	draft       terms.Draft
	faults      []configfile.PointerFault // what is wrong with the file
}

func (r *reader) report(path, format string, args ...any) {
	r.faults = append(r.faults, configfile.PointerFault{Pointer: path, Reason: fmt.Sprintf(format, args...)})
}

// The following functions return a value of a wrong form as the zero value.

func asObject(v any) map[string]any { m, _ := v.(map[string]any); return m }
func asArray(v any) []any           { a, _ := v.([]any); return a }
func asString(v any) string         { s, _ := v.(string); return s }
func asNumber(v any) float64        { n, _ := v.(float64); return n }

func (r *reader) readDraft(v any) {
	file := asObject(v)
	r.draft.Zone = time.UTC
	if name := asString(file["zone"]); name != "" {
		if zone, err := time.LoadLocation(name); err != nil || name == "Local" {
			r.report("/zone", "there is no time zone %q on this machine", name)
		} else {
			r.draft.Zone = zone
		}
	}
	for i, season := range asArray(file["seasons"]) {
		r.readSeason(fmt.Sprintf("/seasons/%d", i), asObject(season))
	}
	for i, route := range asArray(file["routes"]) {
		if r.readRoute(fmt.Sprintf("/routes/%d", i), asObject(route)); i%64 == 63 && r.env.Yield != nil {
			r.env.Yield()
		}
	}
}

func (r *reader) readSeason(path string, m map[string]any) {
	season := terms.Season{
		Path: path, Name: asString(m["name"]),
		From: minutesOfDay(asString(m["from"])), To: minutesOfDay(asString(m["to"])),
	}
	for _, day := range asArray(m["days"]) {
		season.Days = append(season.Days, int(asNumber(day)))
	}
	r.draft.Seasons = append(r.draft.Seasons, season)
}

// minutesOfDay returns the minutes after midnight of a time of day; 0 if its form is wrong, which the schema reports.
func minutesOfDay(clock string) (minutes int) {
	var hour, minute int
	if _, err := fmt.Sscanf(clock, "%d:%d", &hour, &minute); err != nil {
		return 0
	}
	return hour*60 + minute
}

func (r *reader) readRoute(path string, m map[string]any) {
	route := terms.DraftRoute{Path: path, Name: asString(m["name"])}
	route.Match, route.MatchValid = r.readMatch(path+"/match", asObject(m["match"]))
	defaults := asObject(m["terms"])
	route.Default = r.readPolicy(path+"/terms", "", defaults, nil)
	for i, element := range asArray(m["seasons"]) {
		seasonPath := fmt.Sprintf("%s/seasons/%d", path, i)
		seasonal, name := asObject(element), asString(asObject(element)["season"])
		index := slices.IndexFunc(r.draft.Seasons, func(season terms.Season) bool { return season.Name == name })
		if index < 0 && name != "" {
			r.report(seasonPath+"/season", "there is no season %q in this file", name)
		}
		route.Seasonal = append(route.Seasonal, terms.SeasonalPolicy{
			Season: index,
			Policy: r.readPolicy(path+"/terms", seasonPath+"/terms", defaults, asObject(seasonal["terms"])),
		})
	}
	r.draft.Routes = append(r.draft.Routes, route)
}

// readMatch reads a match; valid is false if the match is missing or names an unknown class, so that it cannot be compared
// with others.
func (r *reader) readMatch(path string, m map[string]any) (match terms.Match, valid bool) {
	match, valid = terms.Match{Class: -1, AnyGroup: true, KeyPrefix: asString(m["key"])}, m != nil
	if v, given := m["tariff"]; given {
		name := asString(v)
		if match.Class = slices.Index(r.env.Classes, name); match.Class < 0 {
			valid = false
			if _, isString := v.(string); isString {
				r.report(path+"/tariff", "there is no tariff %q; there are %s", name, strings.Join(r.env.Classes, ", "))
			}
		}
	}
	if v, given := m["group"]; given {
		match.AnyGroup, match.Group = false, int64(asNumber(v))
	}
	match.Write = map[string]terms.Requirement{"read": terms.No, "write": terms.Yes}[asString(m["statement"])]
	match.Session, match.ClientRetry = asRequirement(m["session"]), asRequirement(m["again"])
	return match, valid
}

// asRequirement returns the requirement for a JSON member that may be true, false or absent.
func asRequirement(v any) terms.Requirement {
	switch v {
	case true:
		return terms.Yes
	case false:
		return terms.No
	}
	return terms.Any
}

// readPolicy reads a policy. JSON members of a season's terms override those of the route's default terms, each as a whole.
// The paths are those of both objects.
func (r *reader) readPolicy(routePath, seasonPath string, defaults, overrides map[string]any) (policy terms.Policy) {
	policy.RoutePath, policy.SeasonPath = routePath, seasonPath
	member := func(name string) (v any, path string) {
		if v, overridden := overrides[name]; overridden {
			policy.Overrides = append(policy.Overrides, name)
			return v, seasonPath + "/" + name
		}
		return defaults[name], routePath + "/" + name
	}
	v, path := member("hard_limit")
	policy.HardLimit = r.readTime(v, path)
	v, path = member("trip_time")
	policy.AttemptTimeout = r.readTimeSpec(v, path)
	v, _ = member("trips")
	policy.MaxAttempts = int(asNumber(v))

	v, path = member("again")
	again := asObject(v)
	for _, name := range asArray(again["on"]) {
		if outcome := slices.Index(terms.OutcomeNames[:], asString(name)); outcome >= 0 && asString(name) != "" {
			policy.RetryOn |= terms.SingleOutcome(balance.Outcome(outcome))
		}
	}
	policy.BackoffBase, policy.BackoffCap, policy.Jitter =
		r.readTime(again["base"], path+"/base"), r.readTime(again["cap"], path+"/cap"), asNumber(again["jitter"])
	within := asString(again["within"])
	policy.RetryScopeSet, policy.RetryInZone = within != "", within == "zone"

	v, path = member("copies")
	copies := asObject(v)
	policy.NoHedging = asString(v) == "none"
	policy.HedgeDelay, policy.HedgeShare = r.readTimeSpec(copies["after"], path+"/after"), asNumber(copies["part"])

	v, path = member("budget")
	budget := asObject(v)
	policy.BudgetShare, policy.BudgetWindow, policy.BudgetFloor =
		asNumber(budget["share"]), r.readTime(budget["over"], path+"/over"), int(asNumber(budget["floor"]))
	if policy.BudgetWindow < 0 ||
		policy.BudgetShare > 0 && policy.BudgetWindow < int64(terms.MinBudgetWindow) && budget["over"] != nil {
		r.report(path+"/over", "a budget is counted over %s at least", time.Duration(terms.MinBudgetWindow))
		policy.BudgetWindow = int64(terms.MinBudgetWindow)
	}

	v, _ = member("in_hand")
	policy.MaxInFlight = int(asNumber(v))
	v, path = member("away")
	away := asObject(v)
	policy.MinRetryAfter, policy.MaxRetryAfter =
		r.readTime(away["shortest"], path+"/shortest"), r.readTime(away["longest"], path+"/longest")
	return policy
}

// readTime returns a duration in nanoseconds; 0 if there is none or its form is wrong.
func (r *reader) readTime(v any, path string) int64 {
	s, isString := v.(string)
	if !isString {
		return 0
	}
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		if strings.ContainsAny(s, "0123456789") &&
			(r.schemaValid || !strings.Contains(err.Error(), "missing unit") && !strings.HasPrefix(s, "-")) {
			r.report(path, "%q is out of range for a duration", s)
		}
		return 0
	case d == 0:
		r.report(path, "a duration of zero has no effect; leave the member out")
	case d > math.MaxInt64/4:
		r.report(path, "%q is longer than any request can last", s)
		return 0
	}
	return int64(max(d, 0))
}

// readTimeSpec reads a duration that is fixed, a share or a quantile.
func (r *reader) readTimeSpec(v any, path string) (spec terms.TimeSpec) {
	m := asObject(v)
	if m == nil {
		return terms.TimeSpec{Fixed: r.readTime(v, path)}
	}
	spec = terms.TimeSpec{
		Share: asNumber(m["share"]), Quantile: asNumber(m["quantile"]),
		Floor: r.readTime(m["floor"], path+"/floor"), Ceiling: r.readTime(m["ceiling"], path+"/ceiling"),
	}
	if spec.Share > 0 && spec.Quantile > 0 {
		r.report(path, "either a share or a quantile, not both")
	}
	if spec.Share > 0 && spec.Share < 1.0/balance.ShareScale {
		r.report(path+"/share", "a share below 1/%d is rounded to zero", balance.ShareScale)
	}
	return spec
}
