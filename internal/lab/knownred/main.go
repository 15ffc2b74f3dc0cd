// Command knownred runs the tests that are known to fail, as KNOWN-RED.txt lists them, and prints the result of each to
// standard error. It prints the pattern of the tests that `go test ./...` has to skip to standard output. It exits with 1
// if the list is wrong: a line is malformed, a test that should always fail passes, or a test does not exist.
//
// With -plays it plays each test so often alone, beside busy processes, and while its processes are stopped now and
// then, and prints a table.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

// Result is the result of running an entry's test.
type Result string

// The results.
const (
	Passed  Result = "passed"
	Failed  Result = "failed"
	Missing Result = "not found"
)

func main() {
	if os.Getenv(busyEnvironment) != "" {
		spin()
		return
	}
	var options TableOptions
	flag.IntVar(&options.Count, "plays", 0, "play each test so often in each condition and print a table; 0: once, and print the skip pattern")
	flag.IntVar(&options.Parallel, "parallel", 2, "with -plays: plays at a time")
	flag.IntVar(&options.Busy, "busy", 8, "with -plays: number of busy processes beside the plays")
	flag.Uint64Var(&options.Seed, "seed", 1, "with -plays: seed of the times at which plays are stopped")
	flag.StringVar(&options.Logs, "logs", "", "with -plays: directory for the outputs of failed plays")
	only := flag.String("only", "", "with -plays: only the tests whose names match this regular expression")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: knownred [flags] FILE")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() != 1 {
		flag.Usage()
		os.Exit(2)
	}
	if err := runCommand(flag.Arg(0), *only, options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runCommand plays the tests of a list file, once or for a table.
func runCommand(path, only string, options TableOptions) error {
	if options.Count == 0 {
		return run(path)
	}
	pattern, err := regexp.Compile(only)
	if err != nil {
		return err
	}
	entries, err := readFile(path)
	if err != nil {
		return err
	}
	entries = slices.DeleteFunc(entries, func(entry Entry) bool { return !pattern.MatchString(entry.Test) })
	return WriteTable(os.Stdout, entries, options)
}

// readFile reads a list file. A missing file is an empty list.
func readFile(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	entries, err := ReadList(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entries, nil
}

// run runs the tests of a list file and prints the skip pattern. A missing file is an empty list.
func run(path string) error {
	entries, err := readFile(path)
	if err != nil || entries == nil {
		return err
	}
	var faults []string
	for i := range entries {
		entry := &entries[i]
		result := parseResult(entry, runTest(entry))
		fmt.Fprintf(os.Stderr, "known red: %s %s (issue %d, fails %s): %s\n", entry.Test, strings.Join(entry.Flags, " "),
			entry.Issue, entry.Frequency, result)
		if fault := checkResult(entry, result); fault != "" {
			faults = append(faults, fmt.Sprintf("%s:%d: %s", path, entry.Line, fault))
		}
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "\n"))
	}
	fmt.Println(SkipPattern(entries))
	return nil
}

// runTest runs an entry's test and returns what the command printed.
func runTest(entry *Entry) string {
	command := entry.command()
	output, _ := exec.Command(command[0], command[1:]...).CombinedOutput() // a failure is expected
	return string(output)
}

// parseResult finds the result of the entry's test, and of no other, in the output of `go test -v`.
func parseResult(entry *Entry, output string) Result {
	for line := range strings.Lines(output) {
		line = strings.TrimSpace(line)
		for verdict, result := range map[string]Result{"--- FAIL: ": Failed, "--- PASS: ": Passed} {
			if strings.HasPrefix(line, verdict+entry.Test+" ") {
				return result
			}
		}
	}
	return Missing
}

// checkResult returns what is wrong with an entry by its result, or "". A test that is listed as failing at times may
// pass or fail.
func checkResult(entry *Entry, result Result) (fault string) {
	switch {
	case result == Missing:
		return entry.Test + " does not exist, or does not build"
	case result == Passed && entry.Frequency == Always:
		return entry.Test + " passes: remove it from the list, or list it as failing at times"
	}
	return ""
}
