package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// deployFile is the file from which the operators build and start routers.
const deployFile = "../../deploy/balancer.toml"

// deployValue returns a value of the deploy file, without quotes around it.
func deployValue(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile(deployFile)
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?ms)^` + key + ` = (".*?"|\[.*?\])$`).FindSubmatch(text)
	if found == nil {
		t.Fatalf("the deploy file has no %s", key)
	}
	return strings.Trim(string(found[1]), `"`)
}

// The deploy file lists each source file of the balancing decisions, and each folder that is linked into routers.
func TestDeployFileListsAllSources(t *testing.T) {
	files, _ := filepath.Glob("../../balance/*.go")
	for _, file := range files {
		name := "balance/" + filepath.Base(file)
		if !strings.HasSuffix(name, "_test.go") && !strings.Contains(deployValue(t, "policy"), fmt.Sprintf("%q", name)) {
			t.Errorf("policy lacks %s", name)
		}
	}
	folders, _ := filepath.Glob("../../internal/*")
	for _, folder := range folders {
		name := filepath.Base(folder)
		if !slices.Contains([]string{"lab", "standin", "wire"}, name) &&
			!strings.Contains(deployValue(t, "node"), fmt.Sprintf("%q", "internal/"+name)) {
			t.Errorf("node lacks internal/%s", name)
		}
	}
}

// A router that is started by the command of the deploy file gets SIGHUP every millisecond from its start: it
// survives, serves, and reloads.
func TestReloadsDuringStart(t *testing.T) {
	t.Parallel()
	primary, replica := standin.NewPair(t)
	router := newRouter(t, primary, replica)
	router.Args = []string{"-c", strings.Replace(deployValue(t, "run"), "bin/sedgestream", os.Args[0], 1)}
	router.Launch("/bin/sh")
	ignoresHangup := func() bool {
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.Cmd.Process.Pid))
		var ignored uint64
		_, line, _ := strings.Cut(string(status), "SigIgn:")
		fmt.Sscanf(strings.TrimSpace(line), "%x", &ignored)
		return ignored&(1<<(syscall.SIGHUP-1)) != 0
	}
	standin.WaitFor(t, "the shell to ignore SIGHUP", ignoresHangup)
	for serving := false; !serving; {
		select {
		case router.Address = <-router.Serving:
			serving = true
		case err := <-router.Exit:
			t.Fatalf("the router ended: %v\n%s", err, router.Log())
		case <-time.After(time.Millisecond):
			router.Cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	client := router.Open("")
	client.Expect("empty")
	// While no role is known, a read that any data will do for may go to either node.
	standin.WaitFor(t, "a read from the replica", func() bool {
		client.SendStatement(standin.ReadQuery(2000))
		answer := client.Answer()
		if answer != "from copy" && answer != "from source" {
			t.Fatalf("answered %q", answer)
		}
		return answer == "from copy"
	})
	before := strings.Count(router.Log(), `"msg":"reloading"`)
	router.Cmd.Process.Signal(syscall.SIGHUP)
	standin.WaitFor(t, "a reload", func() bool { return strings.Count(router.Log(), `"msg":"reloading"`) > before })
}
