// Package configfile reads the JSON files that operators own, and reports all errors in a file at once,
// each with its line and column.
//
// It accepts RFC 8259 in UTF-8 with further restrictions: no duplicate member names, no data after the
// value, and only numbers that fit into float64. A file is checked in two steps: its syntax by Parse, and
// a schema by Document.Validate. Callers that know what the values mean add further faults by JSON
// pointers (RFC 6901).
package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
)

// Bounds of a file. They keep a parsed file within the memory of the smallest router, and protect the arithmetic of
// schema validation against numbers such as 1e999999999.
const (
	MaxBytes  = 8 << 20 // size of a file
	maxDepth  = 32      // nesting of objects and arrays
	maxDigits = 32      // length of a number
	maxFaults = 200     // faults reported for a file
)

// Fault is one error in a file. Pointer is a JSON pointer; Line and Column count characters from 1.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Pointer string `json:"at"`
	Reason  string `json:"reason"`
	offset  int
}

// String returns the fault in the format of compiler errors, which editors understand.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Reason)
}

// Faults is an error that lists several faults, one a line.
type Faults []Fault

func (fs Faults) Error() string {
	var b strings.Builder
	for i, f := range fs {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(f.String())
	}
	return b.String()
}

// Document is a parsed file and the faults found in it so far.
type Document struct {
	name       string
	text       []byte
	Value      any // objects are map[string]any, arrays []any, numbers float64
	faults     Faults
	valuesRead int // values parsed so far
}

// Parse parses the text of a file. If the syntax is wrong, the document has faults, and its value holds
// what could be read.
func Parse(name string, text []byte) *Document {
	d := &Document{name: name, text: text}
	if len(text) > MaxBytes {
		d.text = text[:MaxBytes]
		d.addFault(0, "", "the file has %d bytes, more than %d", len(text), MaxBytes)
		return d
	}
	dec := d.decoder()
	var err error
	if d.Value, err = d.value(dec); err == nil {
		if _, err = dec.ReadToken(); err == nil {
			d.addFault(d.tokenStart(int(dec.InputOffset())-1), "", "something stands behind the file's value")
		}
	}
	if err != nil && err != io.EOF || d.Value == nil && len(d.faults) == 0 {
		d.addSyntaxFault(err)
	}
	return d
}

func (d *Document) decoder() *jsontext.Decoder {
	return jsontext.NewDecoder(bytes.NewReader(d.text), jsontext.AllowDuplicateNames(true))
}

// addSyntaxFault adds a fault for a syntax error of the decoder.
func (d *Document) addSyntaxFault(err error) {
	at, pointer := len(d.text), ""
	var syntax *jsontext.SyntacticError
	if errors.As(err, &syntax) {
		at, pointer, err = int(syntax.ByteOffset), string(syntax.JSONPointer), syntax.Err
	}
	if !utf8.Valid(d.text) { // usually the cause, wherever the decoder stopped
		for i := 0; i < len(d.text); {
			r, n := utf8.DecodeRune(d.text[i:])
			if r == utf8.RuneError && n == 1 {
				d.addFault(i, pointer, "this byte is not UTF-8")
				return
			}
			i += n
		}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || err == io.EOF || err == nil {
		d.addFault(len(d.text), pointer, "the file ends before its value does")
		return
	}
	d.addFault(at, pointer, "%s", strings.TrimPrefix(err.Error(), "jsontext: "))
}

// value reads the next value. A fault that does not break the syntax is recorded, and reading continues.
func (d *Document) value(dec *jsontext.Decoder) (v any, err error) {
	if d.valuesRead++; d.valuesRead%(16*yieldEvery) == 0 {
		runtime.Gosched()
	}
	before := int(dec.InputOffset())
	tok, err := dec.ReadToken()
	if err != nil {
		return nil, err
	}
	switch tok.Kind() {
	case '{':
		m := map[string]any{}
		if dec.StackDepth() > maxDepth {
			return nil, d.tooDeep(before, dec)
		}
		for dec.PeekKind() != '}' {
			at := d.tokenStart(int(dec.InputOffset()))
			name, err := dec.ReadToken()
			if err != nil {
				return nil, err
			}
			key, pointer := name.String(), string(dec.StackPointer())
			member, err := d.value(dec)
			if err != nil {
				return nil, err
			}
			if _, duplicate := m[key]; duplicate {
				d.addFault(at, pointer, "member %q stands twice", key)
			}
			m[key] = member
		}
		_, err = dec.ReadToken()
		return m, err
	case '[':
		a := []any{}
		if dec.StackDepth() > maxDepth {
			return nil, d.tooDeep(before, dec)
		}
		for dec.PeekKind() != ']' {
			e, err := d.value(dec)
			if err != nil {
				return nil, err
			}
			a = append(a, e)
		}
		_, err = dec.ReadToken()
		return a, err
	case '"':
		return tok.String(), nil
	case '0':
		text := tok.String()
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || len(text) > maxDigits {
			d.addFault(d.tokenStart(before), string(dec.StackPointer()), "the number is out of range")
			return float64(0), nil
		}
		return x, nil
	case 't', 'f':
		return tok.Kind() == 't', nil
	}
	return nil, nil
}

// tooDeep records that values are nested too deeply and ends the parsing.
func (d *Document) tooDeep(before int, dec *jsontext.Decoder) error {
	d.addFault(d.tokenStart(before), string(dec.StackPointer()), "values are nested deeper than %d", maxDepth)
	return io.EOF
}

// tokenStart returns where the token after the offset begins.
func (d *Document) tokenStart(offset int) int {
	for offset < len(d.text) && strings.IndexByte(" \t\r\n,:", d.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// addFault records a fault at an offset in the text.
func (d *Document) addFault(offset int, pointer, format string, args ...any) {
	if len(d.faults) >= maxFaults {
		return
	}
	preceding := d.text[:min(offset, len(d.text))]
	line := bytes.Count(preceding, []byte("\n"))
	column := utf8.RuneCount(preceding[bytes.LastIndexByte(preceding, '\n')+1:])
	d.faults = append(d.faults, Fault{d.name, line + 1, column + 1, pointer, fmt.Sprintf(format, args...), offset})
}

// Faults returns the faults recorded so far, in the order of the file and without duplicates.
func (d *Document) Faults() Faults {
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.offset - b.offset })
	seen := map[PointerFault]bool{}
	d.faults = slices.DeleteFunc(d.faults, func(f Fault) bool {
		fault := PointerFault{f.Pointer, f.Reason}
		defer func() { seen[fault] = true }()
		return seen[fault]
	})
	return d.faults
}

// Err returns the faults as an error, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return d.Faults()
}

// PointerFault is a fault located by a JSON pointer.
type PointerFault struct{ Pointer, Reason string }

// AddFaults records faults located by pointers. A fault at a value that does not exist, such as a missing
// member, is reported at the value that should contain it.
func (d *Document) AddFaults(faults []PointerFault) {
	if len(faults) == 0 {
		return
	}
	offsets := map[string]int{}
	for _, fault := range faults {
		for pointer := fault.Pointer; ; pointer = pointer[:strings.LastIndexByte(pointer, '/')] { // enclosing values too
			offsets[pointer] = -1
			if pointer == "" {
				break
			}
		}
	}
	d.locate(offsets)
	for _, fault := range faults {
		pointer := fault.Pointer
		for offsets[pointer] < 0 && pointer != "" {
			pointer = pointer[:strings.LastIndexByte(pointer, '/')]
		}
		d.addFault(max(offsets[pointer], 0), fault.Pointer, "%s", fault.Reason)
	}
}

// locate sets offsets to where the values with these pointers begin. Values that are not found keep -1.
func (d *Document) locate(offsets map[string]int) {
	dec := d.decoder()
	for {
		before := int(dec.InputOffset())
		tok, err := dec.ReadToken()
		if err != nil {
			return
		}
		if k := tok.Kind(); k == '}' || k == ']' {
			continue
		}
		p := string(dec.StackPointer())
		if at, wanted := offsets[p]; wanted && at < 0 {
			if kind, n := dec.StackIndex(dec.StackDepth()); kind == '{' && n%2 == 1 && tok.Kind() == '"' {
				continue // the name of a member, with the same pointer as its value
			}
			offsets[p] = d.tokenStart(before)
		}
	}
}

// EscapeToken escapes the name of a member for use in a JSON pointer.
func EscapeToken(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}
