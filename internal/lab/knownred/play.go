package main

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// playTimeout is the longest time that one play of a test may take, as the test binary reads it.
const playTimeout = "5m"

// Binaries are the compiled tests of packages, by package path.
type Binaries map[string]string

// BuildTests compiles the tests of each package that the entries name, into a directory.
func BuildTests(entries []Entry, dir string) (Binaries, error) {
	built := Binaries{}
	for i := range entries {
		path := entries[i].Package
		if built[path] != "" {
			continue
		}
		binary := filepath.Join(dir, fmt.Sprintf("package%d.test", len(built)))
		if output, err := exec.Command("go", "test", "-c", "-o", binary, path).CombinedOutput(); err != nil {
			return nil, fmt.Errorf("compiling the tests of %s: %w\n%s", path, err, output)
		}
		built[path] = binary
	}
	return built, nil
}

// Play is one run of an entry's test.
type Play struct {
	Result Result
	Line   string // the line of the output that tells of the failure; empty unless it failed
	Output []byte
}

// Run plays an entry's test once. Its processes form a group of their own.
func (built Binaries) Run(entry *Entry, condition Condition, seed uint64) (*Play, error) {
	arguments := []string{"-test.v", "-test.count=1", "-test.timeout=" + playTimeout, "-test.run=" + entry.pattern()}
	command := exec.Command(built[entry.Package], append(arguments, entry.Flags...)...)
	command.Dir = filepath.FromSlash(entry.Package)
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	command.SysProcAttr = processGroup()
	if err := command.Start(); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	stops := make(chan struct{})
	go func() {
		defer close(stops)
		if condition == Stopped {
			stopNowAndThen(command.Process.Pid, seed, ended)
		}
	}()
	runError := command.Wait()
	close(ended)
	<-stops
	play := &Play{Result: parseResult(entry, output.String()), Output: output.Bytes()}
	if play.Result == Missing && runError != nil { // it crashed or timed out
		play.Result = Failed
	}
	if play.Result == Failed {
		play.Line = failure(output.String())
	}
	return play, nil
}

// failureLine matches what a test reports with its place, and what the runtime reports.
var failureLine = regexp.MustCompile(`^(\w+\.go:\d+: |panic: |fatal error: |WARNING: DATA RACE)`)

// failure returns the last line with a place that a failed test's output has before its first verdict, or what the
// runtime reports, or else that verdict. What a test logs comes before the faults that it finds.
func failure(output string) (reason string) {
	for line := range strings.Lines(output) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "--- FAIL"):
			return cmp.Or(reason, line)
		case failureLine.MatchString(line):
			reason = line
		}
	}
	return reason
}

// keepOutput writes the output of a failed play to a directory.
func keepOutput(dir string, entry *Entry, condition Condition, number int, play *Play) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	name := fmt.Sprintf("line%d-%s-%s-%d.log", entry.Line, strings.ReplaceAll(entry.Test, "/", "."), strings.ReplaceAll(string(condition), " ", "-"), number)
	return os.WriteFile(filepath.Join(dir, name), play.Output, 0o644)
}
