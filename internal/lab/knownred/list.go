package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Frequency is how often a listed test fails.
type Frequency string

// The frequencies.
const (
	Always    Frequency = "always"
	Sometimes Frequency = "at times"
)

// Entry is one line of the list.
type Entry struct {
	Line      int // in the file, from 1
	Frequency Frequency
	Test      string   // full name; a subtest follows its test and a slash
	Package   string   // path as the go command takes it
	Flags     []string // flags of the test, such as a seed; without any the entry is what `go test ./...` runs
	Observed  string
	Cause     string
	Issue     int
}

// The form of a line: fieldCount fields with fieldSeparator between them.
const (
	fieldCount     = 7
	fieldSeparator = ";"
)

var (
	testName    = regexp.MustCompile(`^Test[^\s;]*$`)
	packageName = regexp.MustCompile(`^\./[\w./-]*$`)
)

// ReadList reads a list with one entry a line. Empty lines and lines that begin with # are ignored. The error names all
// malformed lines.
func ReadList(r io.Reader) (entries []Entry, err error) {
	var faults []string
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		entry, fault := readEntry(text)
		if fault != "" {
			faults = append(faults, fmt.Sprintf("line %d: %s", number, fault))
			continue
		}
		entry.Line = number
		entries = append(entries, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(faults, "\n"))
	}
	return entries, nil
}

// readEntry parses one line, or returns what is wrong with it.
func readEntry(text string) (entry Entry, fault string) {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != fieldCount {
		return entry, fmt.Sprintf("has %d fields, not %d: frequency; test; package; flags; seen; cause; issue", len(fields), fieldCount)
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	entry = Entry{Frequency: Frequency(fields[0]), Test: fields[1], Package: fields[2], Flags: strings.Fields(fields[3]), Observed: fields[4],
		Cause: fields[5]}
	if entry.Frequency != Always && entry.Frequency != Sometimes {
		return entry, fmt.Sprintf("frequency %q is neither %q nor %q", fields[0], Always, Sometimes)
	}
	if !testName.MatchString(entry.Test) {
		return entry, fmt.Sprintf("%q is not a test name", entry.Test)
	}
	if !packageName.MatchString(entry.Package) {
		return entry, fmt.Sprintf("%q is not a package path below this directory", entry.Package)
	}
	if entry.Observed == "" || entry.Cause == "" {
		return entry, "the field of what was seen or that of the cause is empty (\"not known\" is a valid cause)"
	}
	number, err := strconv.Atoi(fields[6])
	if err != nil || number <= 0 {
		return entry, fmt.Sprintf("%q is not an issue number", fields[6])
	}
	entry.Issue = number
	return entry, ""
}

// pattern returns the pattern by which -run and -skip match the test and no other.
func (e *Entry) pattern() string {
	parts := strings.Split(e.Test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

// command returns the command that runs the entry's test.
func (e *Entry) command() []string {
	return append([]string{"go", "test", "-count=1", "-v", "-run", e.pattern(), e.Package}, e.Flags...)
}

// SkipPattern returns the pattern of the tests that `go test ./...` has to skip. Those are the entries without flags, as it
// does not run the others.
func SkipPattern(entries []Entry) string {
	var patterns []string
	for i := range entries {
		if len(entries[i].Flags) == 0 {
			patterns = append(patterns, entries[i].pattern())
		}
	}
	return strings.Join(patterns, "|")
}
