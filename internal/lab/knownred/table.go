package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
)

// TableOptions say how a table of plays is made.
type TableOptions struct {
	Count    int    // plays of each entry in each condition
	Parallel int    // plays at a time
	Busy     int    // busy processes in the condition Busy
	Seed     uint64 // of the stops in the condition Stopped
	Logs     string // directory for the outputs of failed plays; none if empty
}

// Row is the outcome of one entry's plays in one condition.
type Row struct {
	Entry     *Entry
	Condition Condition
	Played    int
	Failed    int
	Line      string // why the first of the failed plays failed
}

// String returns the row as a line of a Markdown table.
func (r *Row) String() string {
	name := strings.TrimSpace(r.Entry.Test + " " + strings.Join(r.Entry.Flags, " "))
	return fmt.Sprintf("| `%s` | %s | %d | %d | %s |", name, r.Condition, r.Played, r.Failed, strings.ReplaceAll(r.Line, "|", "\\|"))
}

// WriteTable plays each entry in each condition and writes a row for each as it is complete.
func WriteTable(out io.Writer, entries []Entry, options TableOptions) error {
	dir, err := os.MkdirTemp("", "knownred")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	built, err := BuildTests(entries, dir)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "| test | condition | played | failed | first failure |\n| --- | --- | --- | --- | --- |")
	for _, condition := range []Condition{Alone, Busy, Stopped} {
		if err := writeCondition(out, built, entries, condition, options); err != nil {
			return err
		}
	}
	return nil
}

// writeCondition plays each entry in one condition and writes its rows.
func writeCondition(out io.Writer, built Binaries, entries []Entry, condition Condition, options TableOptions) error {
	if condition == Busy {
		stop, err := startBusyProcesses(options.Busy)
		if err != nil {
			return err
		}
		defer stop()
	}
	for i := range entries {
		row, err := playEntry(built, &entries[i], condition, options)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, row)
	}
	return nil
}

// playEntry plays one entry as often as the options say, and returns its row.
func playEntry(built Binaries, entry *Entry, condition Condition, options TableOptions) (*Row, error) {
	row := &Row{Entry: entry, Condition: condition}
	slots := make(chan struct{}, max(1, options.Parallel))
	var mu sync.Mutex
	var firstError error
	var plays sync.WaitGroup
	for number := range options.Count {
		slots <- struct{}{}
		plays.Go(func() {
			defer func() { <-slots }()
			play, err := built.Run(entry, condition, options.Seed+uint64(number))
			if err == nil && play.Result == Failed {
				err = keepOutput(options.Logs, entry, condition, number, play)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				firstError = err
				return
			}
			row.add(play)
		})
	}
	plays.Wait()
	return row, firstError
}

// add counts one play.
func (r *Row) add(play *Play) {
	r.Played++
	if play.Result == Passed {
		return
	}
	r.Failed++
	if r.Line == "" {
		r.Line = play.Line
	}
}
