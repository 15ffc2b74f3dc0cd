package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by the number of their folder.
var cases = map[string]func(*scene) int{}

// longest is how long a case may run.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER, from the root of the repository")
		os.Exit(cannotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), dir: dir, record: record}
	s.onEnd(func() {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		}
	})
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	background.Go(func() { s.fail("ended by %v", <-stops) })
	background.Go(func() { time.Sleep(longest); s.fail("it took longer than %s", longest) })
	s.note("case %s, trouble: %v", os.Args[1], s.trouble)
	verdict := cases[os.Args[1]](s)
	s.end()
	s.note("verdict: %s", []string{"the rule held", "the rule was broken", "could not run"}[verdict])
	fmt.Println([]string{"the rule held", "the rule was broken", "could not run"}[verdict])
	os.Exit(verdict)
}
