package configfile

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the published JSON schema of a file.
type Schema struct {
	schema  *jsonschema.Schema
	english *message.Printer
}

// NewSchema compiles a schema (draft 2020-12). Besides the formats of the draft it supports "address", a
// host and a port. It panics if the text is not a schema, since schemas are part of the program.
func NewSchema(text []byte) *Schema {
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	c.RegisterFormat(&jsonschema.Format{Name: "address", Validate: validateAddress})
	if err := c.AddResource("mem:schema", v); err != nil {
		panic(err)
	}
	return &Schema{c.MustCompile("mem:schema"), message.NewPrinter(language.English)}
}

// validateAddress checks the format "address".
func validateAddress(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil
	}
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("no address with a port")
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("no port between 0 and 65535")
	}
	return nil
}

// Validate checks the document against a schema, records the violations, and reports whether there were
// none.
func (d *Document) Validate(schema *Schema) bool {
	var faults []PointerFault
	validate := func(at string, part *jsonschema.Schema, value any) {
		if err, wrong := part.Validate(value).(*jsonschema.ValidationError); wrong {
			schema.leafFaults(err, func(fault PointerFault) {
				fault.Pointer = at + fault.Pointer
				// A value that already has a fault is only a placeholder.
				if !slices.ContainsFunc(d.faults, func(f Fault) bool { return f.Pointer == fault.Pointer }) {
					faults = append(faults, fault)
				}
			})
		}
	}
	top, _ := d.Value.(map[string]any)
	remaining := maps.Clone(top)
	for name, member := range top {
		property, elements := schema.schema.Properties[name], []any(nil)
		if elements, _ = member.([]any); property == nil || property.Items2020 == nil || len(elements) <= yieldEvery ||
			property.MaxItems != nil && len(elements) > *property.MaxItems {
			continue
		}
		remaining[name] = elements[:1] // the others are validated one by one, to yield to other goroutines in between
		for i, element := range elements {
			if validate(fmt.Sprintf("/%s/%d", EscapeToken(name), i), property.Items2020, element); i%yieldEvery == 0 {
				runtime.Gosched()
			}
		}
	}
	if remaining == nil {
		validate("", schema.schema, d.Value)
	} else {
		validate("", schema.schema, remaining)
	}
	d.AddFaults(faults)
	return len(faults) == 0
}

// yieldEvery is the number of parts of a file that are processed before yielding to other goroutines.
// Without this, a long file on a single core would delay each step of other goroutines by a whole time
// slice of the scheduler.
const yieldEvery = 16

// leafFaults reports the errors without causes in the tree of a validation error.
func (s *Schema) leafFaults(err *jsonschema.ValidationError, report func(PointerFault)) {
	if len(err.Causes) > 0 {
		for _, cause := range err.Causes {
			s.leafFaults(cause, report)
		}
		return
	}
	var pointer strings.Builder
	for _, part := range err.InstanceLocation {
		pointer.WriteString("/" + EscapeToken(part))
	}
	switch k := err.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			report(PointerFault{pointer.String() + "/" + EscapeToken(name), fmt.Sprintf("there is no member %q here", name)})
		}
	case *kind.Required:
		report(PointerFault{pointer.String(), "missing: " + strings.Join(k.Missing, ", ")})
	case *kind.DependentRequired:
		report(PointerFault{pointer.String(), fmt.Sprintf("%s wants %s beside it", k.Prop, strings.Join(k.Missing, ", "))})
	case *kind.Pattern:
		reason := fmt.Sprintf("%q does not have the form %s", k.Got, k.Want)
		if strings.Contains(k.Want, "ms|") {
			reason = fmt.Sprintf("%q is no time: want digits with a unit, such as \"250ms\"", k.Got)
		}
		report(PointerFault{pointer.String(), reason})
	default:
		report(PointerFault{pointer.String(), err.ErrorKind.LocalizedString(s.english)})
	}
}

// CheckUnread records a fault for each member that the schema allows but does not name, since no code
// reads it. Only references to the schema's own $defs are followed.
func (d *Document) CheckUnread(schema *Schema) {
	var faults []PointerFault
	collectUnread(schema.schema, d.Value, "", &faults)
	d.AddFaults(faults)
}

// collectUnread appends the unread members of a value.
func collectUnread(schema *jsonschema.Schema, value any, pointer string, faults *[]PointerFault) {
	for schema != nil && schema.Ref != nil {
		schema = schema.Ref
	}
	if schema == nil {
		return
	}
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			property, known := schema.Properties[name]
			if !known && len(schema.Properties) > 0 {
				*faults = append(*faults, PointerFault{pointer + "/" + EscapeToken(name),
					fmt.Sprintf("nothing reads %q%s", name, suggestion(name, schema.Properties))})
			} else if known {
				collectUnread(property, member, pointer+"/"+EscapeToken(name), faults)
			}
		}
	case []any:
		items, _ := schema.Items.(*jsonschema.Schema)
		if items == nil {
			items = schema.Items2020
		}
		for i, e := range value {
			collectUnread(items, e, fmt.Sprintf("%s/%d", pointer, i), faults)
		}
	}
}

// suggestion returns a hint if a known name differs from name by a typing error.
func suggestion(name string, known map[string]*jsonschema.Schema) string {
	var names []string
	for candidate := range known {
		names = append(names, candidate)
	}
	slices.Sort(names)
	for _, candidate := range names {
		if editDistance(name, candidate) <= 2 {
			return fmt.Sprintf("; is %q meant?", candidate)
		}
	}
	return ""
}

// editDistance returns the Levenshtein distance of two words in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for k := range row {
		row[k] = k
	}
	for i := range a {
		last := row[0]
		row[0] = i + 1
		for k := range b {
			cost := last
			if a[i] != b[k] {
				cost++
			}
			last = row[k+1]
			row[k+1] = min(cost, row[k+1]+1, row[k]+1)
		}
	}
	return row[len(b)]
}
