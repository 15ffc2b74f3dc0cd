package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// router is a router process, started by the line run of the deploy file.
type router struct {
	address string
	process *exec.Cmd
	ended   chan error
}

// runLine returns the command of the deploy file's line run.
func runLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run ="); ok {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", errors.Join(errors.New("no line run in the deploy file"), err)
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// limits are the resources that the platform gives a router.
type limits struct {
	Cores   float64 `json:"cores"`
	Memory  int     `json:"memory_mb"`
	Sockets int     `json:"sockets"`
}

// startRouter starts a router with the settings of kyushu-readings, and returns once it has answered an empty query.
func startRouter(root, dir, discovery string, known list, l limits) (*router, error) {
	run, err := runLine(root)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": l, "known": known, "settings": json.RawMessage(settings)})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err = os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "router.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	r := &router{address: address, process: exec.Command("/bin/sh", "-c", run), ended: make(chan error, 1)}
	r.process.Dir, r.process.Stdout, r.process.Stderr = root, log, log
	r.process.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
	if err = r.process.Start(); err != nil {
		return nil, err
	}
	background.Go(func() { r.ended <- r.process.Wait() })
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		c, err := connect(address)
		if err != nil {
			continue
		}
		c.Write(query(""))
		c.SetDeadline(time.Now().Add(time.Second))
		_, _, err = c.awaitReady()
		if err == nil {
			_, _, err = c.awaitReady()
		}
		if c.Close(); err == nil {
			return r, nil
		}
	}
	r.kill()
	return nil, errors.New("the router was not ready within 10 s")
}

func (r *router) kill() {
	if r != nil {
		r.process.Process.Signal(syscall.SIGKILL)
		<-r.ended
	}
}

// memory returns the router's resident memory and its highest so far, in bytes.
func (r *router) memory() (now, highest int64) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	if err != nil {
		return 0, 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var kib int64
		if _, err := fmt.Sscanf(lines.Text(), "VmRSS: %d kB", &kib); err == nil {
			now = kib << 10
		} else if _, err := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kib); err == nil {
			highest = kib << 10
		}
	}
	return now, highest
}

// settings are those of kyushu-readings as the wire's page shows them, for one router without messages to others.
const settings = `{
 "balancers": 1, "me": 0, "tickUs": 5000, "discovery": "push", "locality": "z", "localities": ["z"],
 "callers": {"marksRetry": true},
 "classes": [
  {"name": "route-view", "aimUs": 300000, "deadlineUs": 1000000, "repeat": "pure", "group": "all", "worth": 1, "lateWorth": 0, "windowUs": 5000000},
  {"name": "own-entries", "aimUs": 200000, "deadlineUs": 500000, "repeat": "pure", "group": "all", "worth": 1, "lateWorth": 0, "windowUs": 5000000},
  {"name": "current-meter", "aimUs": 300000, "deadlineUs": 1200000, "repeat": "pure", "group": "all", "worth": 1, "lateWorth": 0, "windowUs": 5000000},
  {"name": "monthly-report", "aimUs": 6000000, "deadlineUs": 12000000, "repeat": "pure", "group": "all", "worth": 6, "lateWorth": 0, "windowUs": 5000000},
  {"name": "submit-reading", "aimUs": 400000, "deadlineUs": 2000000, "repeat": "token", "group": "cell", "worth": 3, "lateWorth": 0.3, "windowUs": 1200000}],
 "limits": {"cancel": true, "connectTimeoutUs": 250000, "keepaliveUs": 30000000, "maxRetryAfterUs": 1000000, "multiplex": 8,
  "peers": false, "probes": true, "retryAfter": true, "secondCopies": true, "sendCap": 6},
 "loadReport": {"fields": ["x0", "x1", "load_share"], "source": "on_probe"},
 "rules": {"answerSlackUs": 20000, "askEveryUs": 10000000, "coldUs": 14000000, "drainGraceUs": 500000, "fallMultiple": 2, "fallUs": 3000000,
  "startCapacity": 0.15},
 "specifics": {"answersStamped": false, "commitWaits": false, "consistency": ["lag_bound", "causal", "strong", "eventual", "mutate"],
  "reportX0": "position in seconds after zero", "reportX1": "1 from a primary", "roleInList": "off", "serverChecks": "await",
  "stalenessBoundUs": [300000, 0, 0, 0, 0], "tokenMode": "brought", "waitUs": 50000}}`
