// Package jsonfield reads the fields of JSON objects. Its functions panic on a malformed value, and Catch
// turns the panic into an error, so that callers can read many fields without checking each.
package jsonfield

import (
	"fmt"

	"github.com/valyala/fastjson"
)

// Malformed is what the functions of this package panic with.
type Malformed struct{ Text string }

// Fail panics with a Malformed.
func Fail(format string, args ...any) { panic(Malformed{fmt.Sprintf(format, args...)}) }

// Catch, deferred, turns a Malformed panic into an error. Any other panic continues.
func Catch(err *error) {
	switch p := recover().(type) {
	case nil:
	case Malformed:
		*err = fmt.Errorf("%s", p.Text)
	default:
		panic(p)
	}
}

// Get returns the value under a key, or nil if it is absent or null.
func Get(v *fastjson.Value, key string) *fastjson.Value {
	if v.Type() != fastjson.TypeObject {
		Fail("want an object, have %s", v.Type())
	}
	if member := v.Get(key); member != nil && member.Type() != fastjson.TypeNull {
		return member
	}
	return nil
}

// field returns the value under a key, or nil if it is absent or null and not required.
func field(v *fastjson.Value, key string, required bool) *fastjson.Value {
	member := Get(v, key)
	if member == nil && required {
		Fail("%s is missing", key)
	}
	return member
}

// Int returns a whole number, and 0 if it is absent.
func Int(v *fastjson.Value, key string, required bool) int64 {
	member := field(v, key, required)
	if member == nil {
		return 0
	}
	n, err := member.Int64()
	if err != nil {
		x, ferr := member.Float64()
		if ferr != nil || x != float64(int64(x)) {
			Fail("%s: want a whole number, have %s", key, member)
		}
		n = int64(x)
	}
	return n
}

// Float returns a number, and defaultValue if it is absent.
func Float(v *fastjson.Value, key string, defaultValue float64) float64 {
	member := Get(v, key)
	if member == nil {
		return defaultValue
	}
	x, err := member.Float64()
	if err != nil {
		Fail("%s: want a number, have %s", key, member)
	}
	return x
}

// Bool returns true or false, and false if it is absent.
func Bool(v *fastjson.Value, key string) bool {
	member := Get(v, key)
	if member == nil {
		return false
	}
	b, err := member.Bool()
	if err != nil {
		Fail("%s: want true or false, have %s", key, member)
	}
	return b
}

// StringValue returns the string that a value is.
func StringValue(v *fastjson.Value) string {
	b, err := v.StringBytes()
	if err != nil {
		Fail("want a string, have %s", v)
	}
	return string(b)
}

// String returns a string, and "" if it is absent.
func String(v *fastjson.Value, key string, required bool) string {
	member := field(v, key, required)
	if member == nil {
		return ""
	}
	b, err := member.StringBytes()
	if err != nil {
		Fail("%s: want a string, have %s", key, member)
	}
	return string(b)
}

// Array returns the elements of an array, and nil if it is absent.
func Array(v *fastjson.Value, key string, required bool) []*fastjson.Value {
	member := field(v, key, required)
	if member == nil {
		return nil
	}
	elements, err := member.Array()
	if err != nil {
		Fail("%s: want an array, have %s", key, member.Type())
	}
	return elements
}

// Object returns a required object.
func Object(v *fastjson.Value, key string) *fastjson.Value {
	member := field(v, key, true)
	if member.Type() != fastjson.TypeObject {
		Fail("%s: want an object, have %s", key, member.Type())
	}
	return member
}
