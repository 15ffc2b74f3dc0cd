package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A table has a row for each entry and condition, with the number of plays, of failures, and the first failure.
func TestTable(t *testing.T) {
	program := filepath.Join(t.TempDir(), "knownred")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	dir := writeModule(t)
	list := "at times; TestFails; ./; ; seen; cause; 1\nat times; TestSeeds; ./; -seed 8; seen; cause; 1\nalways; TestDays/second_day; ./; ; seen; cause; 1"
	if err := os.WriteFile(filepath.Join(dir, "KNOWN-RED.txt"), []byte(list), 0o644); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program, "-plays", "2", "-busy", "1", "-logs", "logs", "-only", "Fails|Seeds", "KNOWN-RED.txt")
	command.Dir = dir
	output, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, condition := range []Condition{Alone, Busy, Stopped} {
		for _, want := range []string{
			"| `TestFails` | " + string(condition) + " | 2 | 2 | sample_test.go:10: as ever |",
			"| `TestSeeds -seed 8` | " + string(condition) + " | 2 | 0 |  |",
		} {
			if !strings.Contains(string(output), want) {
				t.Errorf("%q is not in the table:\n%s", want, output)
			}
		}
	}
	if strings.Contains(string(output), "TestDays") {
		t.Errorf("the table has a test that -only leaves out:\n%s", output)
	}
	if kept, _ := filepath.Glob(filepath.Join(dir, "logs", "*.log")); len(kept) != 6 {
		t.Errorf("%d outputs of failed plays were kept, want 6: %v", len(kept), kept)
	}
}

// The reason of a failure is the last line that names a place, or what the runtime says, or else the verdict.
func TestFailure(t *testing.T) {
	for output, want := range map[string]string{
		"=== RUN   TestA\n    a_test.go:7: took 2 s\n    a_test.go:9: is 2, want 1\n--- FAIL: TestA (0.1s)\n    b_test.go:1: later\n": "a_test.go:9: is 2, want 1",
		"=== RUN   TestA\npanic: test timed out after 5m0s\n":                                                                         "panic: test timed out after 5m0s",
		"=== RUN   TestA\n--- FAIL: TestA (0.1s)\n":                                                                                   "--- FAIL: TestA (0.1s)",
	} {
		if got := failure(output); got != want {
			t.Errorf("the reason is %q, want %q", got, want)
		}
	}
}

// A group of processes is stopped for a while, and goes on once the stops end.
func TestStopNowAndThen(t *testing.T) {
	ended, stopped := make(chan struct{}), make(chan struct{})
	command := exec.Command("sleep", "60")
	command.SysProcAttr = processGroup()
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	defer command.Wait()
	defer command.Process.Kill()
	go func() {
		defer close(stopped)
		stopNowAndThen(command.Process.Pid, 1, ended)
	}()
	for end := time.Now().Add(10 * time.Second); processState(t, command.Process.Pid) != "T"; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the process was not stopped within 10 s")
		}
	}
	close(ended)
	<-stopped
	if state := processState(t, command.Process.Pid); state == "T" {
		t.Error("the process stayed stopped")
	}
}

// processState returns the state letter of a process, which follows its name in parentheses.
func processState(t *testing.T, pid int) string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), ") ")
	return rest[:1]
}
