package settings

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// Warning is a value that does not follow the platform documentation, with the value that is used instead.
type Warning struct {
	Pointer string // JSON pointer within the settings
	Reason  string
}

func (w Warning) String() string { return w.Pointer + ": " + w.Reason }

// maxMicroseconds bounds durations to some 285 years, which fit into int64 nanoseconds.
const maxMicroseconds = 9e15

// section reads the members of one object. An unreadable value becomes a warning, and its default is used:
// a router that refuses to start over a single value serves nobody.
type section struct {
	pointer  string
	value    *fastjson.Value // nil where the member is absent or not an object
	warnings *[]Warning
}

func (s section) warn(key, format string, args ...any) {
	*s.warnings = append(*s.warnings, Warning{s.pointer + "/" + key, fmt.Sprintf(format, args...)})
}

// member returns the value of a key, or nil if it is absent or null.
func (s section) member(key string) *fastjson.Value {
	if s.value == nil {
		return nil
	}
	if v := s.value.Get(key); v != nil && v.Type() != fastjson.TypeNull {
		return v
	}
	return nil
}

// section returns the object under a key, with a warning if there is none.
func (s section) section(key string) section {
	sub := section{pointer: s.pointer + "/" + key, warnings: s.warnings}
	v := s.member(key)
	switch {
	case v == nil:
		s.warn(key, "missing object, read as empty")
	case v.Type() != fastjson.TypeObject:
		s.warn(key, "want an object, have %s, read as empty", v.Type())
	default:
		sub.value = v
	}
	return sub
}

// optional returns the object under a key, without a warning if it is absent.
func (s section) optional(key string) section {
	if s.member(key) == nil {
		return section{pointer: s.pointer + "/" + key, warnings: s.warnings}
	}
	return s.section(key)
}

// array returns the elements of the array under a key, or none if it is absent.
func (s section) array(key string) []*fastjson.Value {
	v := s.member(key)
	if v == nil {
		return nil
	}
	elements, err := v.Array()
	if err != nil {
		s.warn(key, "want an array, have %s, read as empty", v.Type())
	}
	return elements
}

// number returns a finite number of at least 0.
func (s section) number(key string, defaultValue float64) float64 {
	v := s.member(key)
	if v == nil {
		return defaultValue
	}
	x, err := v.Float64()
	if err != nil || !(x >= 0 && x < math.MaxFloat64) {
		s.warn(key, "want a number of at least 0, have %s, read as %v", v, defaultValue)
		return defaultValue
	}
	return x
}

// integer returns a whole number of at least 0; larger ones than maximum are reduced to it.
func (s section) integer(key string, defaultValue int64, maximum float64) int64 {
	v := s.member(key)
	if v == nil {
		return defaultValue
	}
	x, err := v.Float64()
	if err != nil || x < 0 || x != math.Trunc(x) {
		s.warn(key, "want a whole number of at least 0, have %s, read as %d", v, defaultValue)
		return defaultValue
	}
	return int64(min(x, maximum))
}

// duration returns a duration in nanoseconds that the settings give in microseconds.
func (s section) duration(key string, defaultValue int64) int64 {
	return s.integer(key, defaultValue/1000, maxMicroseconds) * 1000
}

// boolean returns true or false, and false if the key is absent.
func (s section) boolean(key string) bool {
	v := s.member(key)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		s.warn(key, "want true or false, have %s, read as false", v)
	}
	return b
}

// text returns a string, and "" if the key is absent.
func (s section) text(key string) string {
	v := s.member(key)
	if v == nil {
		return ""
	}
	return s.textOf(key, v)
}

// textOf returns the string that v is; key names it in the warning.
func (s section) textOf(key string, v *fastjson.Value) string {
	b, err := v.StringBytes()
	if err != nil {
		s.warn(key, "want a string, have %s, treated as missing", v)
	}
	return string(b)
}

// choice returns the meaning of value. If value is missing or unknown, it returns fallback, which has to
// be safe, with a warning that names it.
func choice[T any](s section, key, value string, choices map[string]T, fallback T, fallbackName string) T {
	if v, ok := choices[value]; ok {
		return v
	}
	if value == "" {
		s.warn(key, "missing, read as %s", fallbackName)
	} else {
		s.warn(key, "%q is not known, read as %s", value, fallbackName)
	}
	return fallback
}
