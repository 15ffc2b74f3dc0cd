package main

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// failureSettings are settings for failure scenarios: short times, hedged attempts, up to 4 attempts.
var failureSettings = strings.NewReplacer(`"deadlineUs":30000000`, `"deadlineUs":2000000`, `"windowUs":30000000`, `"windowUs":1200000`,
	`"sendCap":3`, `"sendCap":4`, `"secondCopies":false`, `"secondCopies":true`, `"connectTimeoutUs":5000000`,
	`"connectTimeoutUs":100000`).Replace(standin.DefaultSettings)

// termsGenerations are versions of the terms. They differ in the time limit of an attempt in ms, which is sent to
// its node, and in the number of attempts.
var termsGenerations = []struct{ time, attempts int }{{160, 4}, {320, 3}, {640, 2}}

// termsText returns the file of terms of the k-th reload.
func termsText(k int) string {
	generation := termsGenerations[k%len(termsGenerations)]
	return fmt.Sprintf(`{"version": 1, "routes": [{"name": "all", "match": {}, "terms": {"trip_time": "%dms", "trips": %d}}]}`, generation.time, generation.attempts)
}

// Terms are reloaded every 50 ms under load, with failing, silent and slow nodes. Each request has one answer, its
// attempts keep to the time limit and number of a single version of the terms, and no at-most-once request runs
// twice. Every fifth file is invalid and changes nothing.
func TestTermsReloadUnderLoad(t *testing.T) {
	nodes := []*standin.Node{standin.NewNode(t, "source"), standin.NewNode(t, "copy"), standin.NewNode(t, "copy"), standin.NewNode(t, "copy")}
	faults := []standin.Fault{{Share: 0.1, SQLState: "XX000"}, {Share: 0.05, Close: true}, {Share: 0.04, Delay: -1},
		{Share: 0.1, Delay: 100 * time.Millisecond}}
	for _, node := range nodes {
		node.WithFaults(2*time.Millisecond, faults...)
	}
	router := newRouter(t, nodes...)
	router.Settings = failureSettings
	path := filepath.Join(t.TempDir(), "terms.json")
	os.WriteFile(path, []byte(termsText(0)), 0o600)
	router.Args = []string{"run", "--terms", path}
	router.Start(os.Args[0])
	load := newClientLoad(t, router, 2000)
	const reloads = 60
	for k := 1; k <= reloads; k++ {
		text := termsText(k)
		if k%5 == 0 {
			text = strings.Replace(text, `"trips"`, `"trip"`, 1)
		}
		next := path + ".next"
		os.WriteFile(next, []byte(text), 0o600)
		os.Rename(next, path)
		router.Cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	load.stopAndCheck(1000)
	if log := router.Log(); strings.Count(log, `"msg":"terms"`) < reloads/2 || strings.Count(log, "the terms are wrong") < 2 ||
		!strings.Contains(log, `there is no member \"trip\" here`) {
		t.Error("reloads are missing in the log:\n", log)
	}
	attempts, classes := load.checkAttempts(nodes)
	seen, retried := map[int]int{}, 0
	for id, ran := range attempts {
		k := generationOf(ran[0].Timeout)
		seen[k]++
		if len(ran) > 1 {
			retried++
		}
		if len(ran) > termsGenerations[k].attempts {
			t.Errorf("request %s of %s ran %d times by generation %d", id, classes[id], len(ran), k)
		}
		for _, attempt := range ran {
			if generationOf(attempt.Timeout) != k {
				t.Errorf("request %s has attempts of %v and %v", id, ran[0].Timeout, attempt.Timeout)
			}
		}
	}
	if len(seen) != len(termsGenerations) || retried < 10 {
		t.Errorf("too little was tested: requests by generation %v, %d ran again", seen, retried)
	}
}

// generationOf returns the version of the terms that an attempt belongs to, by the time limit that its node got, or
// -1. The node gets the remaining part of the limit.
func generationOf(timeLimit time.Duration) int {
	for k, generation := range termsGenerations {
		if ms := int(timeLimit.Milliseconds()); ms <= generation.time && ms > generation.time/2 {
			return k
		}
	}
	return -1
}

// All nodes of a route fail all requests, or 70 % of them, while clients send requests without a pause: retries
// stay within the retry budget. Without a budget they exceed it.
func TestOutageStaysInBudget(t *testing.T) {
	const share, floor = 0.1, 5
	outage := func(failingShare float64, args ...string) (firsts, retries int) {
		nodes := []*standin.Node{standin.NewNode(t, "source"), standin.NewNode(t, "copy"), standin.NewNode(t, "copy")}
		for _, node := range nodes {
			node.WithFaults(0, standin.Fault{Share: failingShare, SQLState: "XX000", Delay: time.Millisecond})
		}
		router := newRouter(t, nodes...)
		router.Settings = strings.Replace(failureSettings, `"connectTimeoutUs":100000`, `"connectTimeoutUs":5000`, 1) // ejected nodes return soon
		router.Args = args
		router.Start(os.Args[0])
		var clients sync.WaitGroup
		for range 8 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				client := router.Open("")
				client.Answer()
				for range 40 {
					client.SendStatement(standin.ReadQuery(1000))
					client.Answer()
				}
			}()
		}
		clients.Wait()
		ids := map[string]bool{}
		for _, node := range nodes {
			for _, attempt := range node.Executions() {
				if ids[attempt.ID] {
					retries++
				}
				ids[attempt.ID] = true
			}
		}
		return len(ids), retries
	}
	path := filepath.Join(t.TempDir(), "terms.json")
	os.WriteFile(path, fmt.Appendf(nil, `{"version": 1, "routes": [{"name": "views", "match": {"tariff": "view"},
 "terms": {"budget": {"share": %v, "over": "10m", "floor": %d}}}]}`, share, floor), 0o600)
	for _, failingShare := range []float64{0.7, 1} {
		firsts, retries := outage(failingShare, "--terms", path)
		if firsts < 20 || float64(retries) > math.Max(floor, share*float64(firsts)) {
			t.Errorf("%d retries beside %d first attempts", retries, firsts)
		}
	}
	if firsts, retries := outage(0.7); float64(retries) <= 1.5*share*float64(firsts) {
		t.Errorf("without a budget only %d retries beside %d first attempts: the test checks nothing", retries, firsts)
	}
}

// A route's hard limit below the client's deadline ends a request at a silent node. A request beyond the number
// that its route may have in flight is rejected at once, with the shortest retry-after time of the terms.
func TestTermsLimitRequests(t *testing.T) {
	node := standin.NewNode(t, "source").WithFaults(0, standin.Fault{Share: 1, Delay: -1})
	router := newRouter(t, node)
	router.Settings = strings.Replace(failureSettings, `"peers":true`, `"retryAfter":true,"maxRetryAfterUs":1000000`, 1)
	path := filepath.Join(t.TempDir(), "terms.json")
	os.WriteFile(path, []byte(`{"version": 1, "routes": [
 {"name": "slow", "match": {"tariff": "once"}, "terms": {"hard_limit": "1900ms", "in_hand": 1, "away": {"shortest": "70ms", "longest": "300ms"}}},
 {"name": "short", "match": {"tariff": "order"}, "terms": {"hard_limit": "200ms"}}]}`), 0o600)
	router.Args = []string{"--terms", path}
	router.Start(os.Args[0])
	first, second := router.Open(standin.WriteQuery("once", 2000)), router.Open("")
	second.Expect("empty")
	standin.WaitFor(t, "the first request at the node", func() bool { return len(node.Statements()) == 1 })
	second.SendStatement(standin.WriteQuery("once", 2000))
	if second.Expect("53300"); second.Detail != "70" {
		t.Errorf("the rejection asks to retry after %q ms", second.Detail)
	}
	second.SendStatement(standin.WriteQuery("order", 2000))
	second.Expect("57014") // while the first request is still in flight
	if attempts := node.Executions(); len(attempts) != 2 || attempts[1].Timeout > 200*time.Millisecond {
		t.Errorf("the node got %v", attempts)
	}
	first.Expect("57014")
}

// runProgram runs the program with the given arguments, and returns its exit code, standard output and standard
// error.
func runProgram(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.Env = append(os.Environ(), routerProcessEnv+"=1", "ROUTER_LISTEN=127.0.0.1:1")
	cmd.Run()
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

// Commands, flags, exit codes and messages of the command line.
func TestCommandLine(t *testing.T) {
	router := newRouter(t, standin.NewNode(t, "source"))
	router.Settings = failureSettings
	router.WriteConfig()
	good, wrong, dir := router.ConfigPath, filepath.Join(t.TempDir(), "wrong.json"), t.TempDir()
	text, _ := os.ReadFile(good)
	os.WriteFile(wrong, []byte(strings.NewReplacer(`"seed":"8c1f`, `"sead":"8c1f`, `"sendCap":4`, `"sendCap":"four"`, `"pure"`, `"purr"`,
		`"discovery":"127.0.0.1:`, `"discovery":"127.0.0.1:none`).Replace(string(text))), 0o600)
	unusable := filepath.Join(t.TempDir(), "unusable.json")
	os.WriteFile(unusable, []byte(strings.Replace(string(text), `"classes"`, `"class"`, 1)), 0o600)
	write := func(name, text string) string {
		os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)
		return filepath.Join(dir, name)
	}
	before := write("before.json", termsText(0))
	after := write("after.json", strings.Replace(termsText(0), `{"name": "all"`, `{"name": "orders", "match": {"tariff": "order"}, "terms": {"trips": 2}},
 {"name": "all"`, 1))
	pausing := write("pausing.json", strings.Replace(termsText(0), `"trips": 4`, `"trips": 2, "again": {"base": "30ms"}`, 1))
	bad := write("bad.json", strings.Replace(termsText(0), `"trips": 4`, `"copies": {"after": "20ms", "part": 0.1}`, 1))
	for _, test := range []struct {
		args      []string
		code      int
		out, errs string // contained in the output
	}{
		{[]string{"--help"}, 0, "terms explain", ""},
		{[]string{"run", "--help"}, 0, "--terms", ""},
		{[]string{"terms", "--help"}, 0, "sedgestream terms check deploy", ""},
		{[]string{"terms", "check", "--version"}, 0, "sedgestream", ""},
		{[]string{"terms", "explain", "--help"}, 0, "Example:", ""},
		{[]string{"--version"}, 0, "sedgestream", ""},
		{[]string{"sreve"}, 2, "", "sreve"},
		{[]string{"run", "--log-level", "loud"}, 2, "", "--log-level"},
		{[]string{"terms"}, 2, "", "sedgestream --help"},
		{[]string{"check", good}, 0, "a router would start by it", ""},
		{[]string{"check", wrong}, 0, "a router would start by it; 6 values are not known, 1 members", `wrong.json:1:`},
		{[]string{"check", wrong}, 0, "", `nothing reads "sead"; is "seed" meant? (warning)`},
		{[]string{"check", wrong}, 0, "", `must be one of 'pure', 'token', 'side_effect' (warning)`},
		{[]string{"check", wrong}, 0, "", `"purr" is not known, read as side_effect (warning)`},
		{[]string{"check", wrong}, 0, "", `got string, want integer (warning)`},
		{[]string{"check", wrong}, 0, "", `no port between 0 and 65535 (warning)`},
		{[]string{"check", "--json", wrong}, 0, `"line": 1`, ""},
		{[]string{"check", unusable}, 1, "", `unusable.json:3:`},
		{[]string{"check", "--json", unusable}, 1, `"line": 3`, ""},
		{[]string{"check", filepath.Join(dir, "none")}, 1, "", "no such file"},
		{[]string{"terms", "schema"}, 0, "json-schema.org/draft/2020-12", ""},
		{[]string{"terms", "check", before, "--config", good}, 0, "1 routes keep", ""},
		{[]string{"terms", "check", bad, "--config", good}, 1, "", "bad.json:1:"},
		{[]string{"terms", "check", bad, "--config", good, "--json"}, 1, `"reason": "a second copy of a job of tariff once`, ""},
		{[]string{"terms", "explain", after, "--config", good, "--tariff", "order", "--group", "2"}, 0,
			`"orders" is more specific: it names a tariff`, ""},
		{[]string{"terms", "explain", after, "--config", good, "--tariff", "view", "--group", "2", "--json"}, 0, `"trips": 4`, ""},
		{[]string{"terms", "explain", before, "--config", good, "--tariff", "once", "--group", "2"}, 0,
			"160ms   terminated: it may have run", ""},
		{[]string{"terms", "explain", before, "--config", good, "--tariff", "sight", "--group", "2"}, 1, "", "there are view, order, once"},
		{[]string{"terms", "explain", pausing, "--config", good, "--tariff", "view", "--group", "2"}, 0,
			"160ms   a pause of 30ms at most\n190ms   trip 2 leaves", ""},
		{[]string{"terms", "diff", before, after, "--config", good}, 0, "tariff order  all           orders", ""},
		{[]string{"terms", "diff", before, before, "--config", good}, 0, "no job is treated otherwise", ""},
		{[]string{"completion", "bash"}, 0, "terms explain", ""},
		{[]string{"completion", "fish"}, 0, "__sedgestream_at", ""},
		{[]string{"completion", "tcsh"}, 2, "", "tcsh"},
	} {
		code, out, errs := runProgram(t, test.args...)
		if code != test.code || !strings.Contains(out, test.out) || !strings.Contains(errs, test.errs) {
			t.Errorf("%q: exit %d, want %d;\n%s%s", test.args, code, test.code, out, errs)
		}
	}
	if _, script, _ := runProgram(t, "completion", "bash"); exec.Command("bash", "-n", "-c", script).Run() != nil {
		t.Error("bash does not parse the completion script")
	}
	// A router does not start with invalid terms, and reports why.
	cmd := exec.Command(os.Args[0], "run", "--terms", bad)
	cmd.Env = router.WriteConfig()
	if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "bad.json:1:") {
		t.Errorf("%d: %s", cmd.ProcessState.ExitCode(), out)
	}
}

// The bash script completes the subcommands and flags of every command.
func TestCompletionOfEachCommand(t *testing.T) {
	_, script, _ := runProgram(t, "completion", "bash")
	for line, want := range map[string]string{
		"sedgestream":                "forward",
		"sedgestream plan":           "show",
		"sedgestream plan show":      "--tier",
		"sedgestream fleet":          "leave",
		"sedgestream forward":        "--tier",
		"sedgestream lab":            "scale",
		"sedgestream terms explain":  "--tariff",
		"sedgestream run --terms f":  "--log-level",
		"sedgestream completion zsh": "--help",
	} {
		words := strings.Fields(line)
		command := exec.Command("bash", "-c", script+fmt.Sprintf("\nCOMP_WORDS=(%s \"\"); COMP_CWORD=%d; _sedgestream; echo ${COMPREPLY[*]}", line, len(words)))
		command.Dir = t.TempDir()
		out, err := command.CombinedOutput()
		if err != nil || !slices.Contains(strings.Fields(string(out)), want) {
			t.Errorf("%q is completed by %q, %v, want %q among them", line, out, err, want)
		}
	}
}

// The file of terms in deploy/ and the example on the operators' page are valid for the example configuration.
func TestDeployedTerms(t *testing.T) {
	page, _ := os.ReadFile("../../docs/operators/route-terms.md")
	_, example, _ := strings.Cut(string(page), "## A whole file\n")
	example, _, _ = strings.Cut(example, "| member")
	path := filepath.Join(t.TempDir(), "page.json")
	os.WriteFile(path, []byte(example), 0o600)
	for _, file := range []string{"../../deploy/terms.json", path} {
		if code, out, errs := runProgram(t, "terms", "check", file, "--config", "../../deploy/config.example.json"); code != 0 {
			t.Error(out, errs)
		}
	}
	code, out, errs := 0, "", ""
	if code, out, errs = runProgram(t, "check", "../../deploy/config.example.json"); code != 0 || strings.Contains(errs, "nothing reads") {
		t.Error(out, errs)
	}
}

// SIGTERM arrives during a reload of 10,000 routes, which takes the single core for a while: the times of the planned
// restart count from the signal.
func TestStopsDuringTermsReload(t *testing.T) {
	t.Parallel()
	const routes, allowed, busy = 10000, 700 * time.Millisecond, 200 * time.Millisecond
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica)
	file := filepath.Join(t.TempDir(), "terms.json")
	write := func(attempts int) {
		var text strings.Builder
		text.WriteString(`{"version": 1, "routes": [`)
		for i := range routes {
			fmt.Fprintf(&text, `{"name": "r%d", "match": {"key": "%016x"}, "terms": {"trips": %d}},`, i, i, attempts)
		}
		fmt.Fprintf(&text, `{"name": "rest", "match": {}, "terms": {"trips": %d}}]}`, attempts)
		if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(2)
	router.Args = []string{"run", "--terms", file}
	router.Limits = `{"cores":1,"memory_mb":512,"sockets":1024}`
	router.Start(os.Args[0])
	client := router.Open("")
	client.Expect("empty")
	write(1)
	router.Cmd.Process.Signal(syscall.SIGHUP)
	standin.WaitFor(t, "the reload to begin", func() bool { return router.Logged(`"msg":"reloading"`) })
	signaledAt := time.Now()
	router.Cmd.Process.Signal(syscall.SIGTERM)
	standin.WaitFor(t, "the exit", func() bool { return router.Exited() })
	if took := time.Since(signaledAt); took > allowed+busy {
		t.Errorf("a router with nothing in flight exited %v after SIGTERM", took)
	}
}

// SIGTERM arrives while a reload waits for the rest of a file, which never comes: the times of the planned restart
// hold all the same.
func TestStopsWhileFileIsIncomplete(t *testing.T) {
	for _, name := range []string{"terms", "configuration"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const allowed, busy = 700 * time.Millisecond, 200 * time.Millisecond
			primary, replica := standin.NewPair(t)
			router := newRouter(t, primary, replica)
			terms := filepath.Join(t.TempDir(), "terms.json")
			if err := os.WriteFile(terms, []byte(`{"version": 1, "routes": []}`), 0o600); err != nil {
				t.Fatal(err)
			}
			router.Args = []string{"run", "--terms", terms}
			router.Start(os.Args[0])
			client := router.Open("")
			client.Expect("empty")
			file := map[string]string{"terms": terms, "configuration": router.ConfigPath}[name]
			replaceByPipe(t, file)
			router.Cmd.Process.Signal(syscall.SIGHUP)
			standin.WaitFor(t, "the reload to begin", func() bool { return router.Logged(`"msg":"reloading"`) })
			time.Sleep(50 * time.Millisecond)
			signaledAt := time.Now()
			router.Cmd.Process.Signal(syscall.SIGTERM)
			standin.WaitFor(t, "the exit", func() bool { return router.Exited() })
			if took := time.Since(signaledAt); took > allowed+busy {
				t.Errorf("a router with nothing in flight exited %v after SIGTERM", took)
			}
		})
	}
}

// replaceByPipe puts a pipe in place of a file. Whoever reads it gets the beginning of an object, and waits for the rest.
func replaceByPipe(t *testing.T, file string) {
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(file, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { pipe.Close() })
	if _, err := pipe.WriteString("{"); err != nil {
		t.Fatal(err)
	}
}
