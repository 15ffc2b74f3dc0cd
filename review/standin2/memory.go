package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = memoryLimit }

// memoryLimit: a router with 32 MB, whose values are of 64 KiB, gets ten commands at once from each of 255 further clients, some 800
// requests a second more in all, and takes more memory than it was given.
func memoryLimit(s *scene) int {
	const limitMB = 32
	const limitKB = limitMB * 1024 // the larger of the possible meanings
	hex, body := strings.Repeat("9f", 64<<10), strings.Repeat("x", 64<<10)
	var all []*node
	for i := range 7 {
		role, one := "copy", 0
		if i == 0 {
			role, one = "source", 1
		}
		n := s.newNode(fmt.Sprintf("s-%d", i), 1, func(c *nodeConn, q query) {
			if q.write && i > 0 {
				c.Write(answer{code: "25006", role: role}.bytes())
				return
			}
			time.Sleep(49*time.Millisecond + rand.N(36*time.Millisecond))
			a := answer{value: body, role: role, tag: "SELECT 1"}
			if q.write {
				a.tag, a.asOf = "INSERT 0 1", time.Now().UnixMilli()+1
			}
			c.Write(a.bytes())
		})
		n.report = func() string {
			return fmt.Sprintf("x0=%.3f,x1=%d,load_share=0.3", float64(time.Now().UnixMilli())/1000, one)
		}
		all = append(all, n)
	}
	d := s.newDiscovery(all...)
	limits = fmt.Sprintf(`{"cores":1.0,"memory_mb":%d,"sockets":1024}`, limitMB)
	r := s.startRouter("n0", d, kyushu)
	memory := func() (peak, now int) {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
		_, l, _ := strings.Cut(string(b), "VmHWM:")
		fmt.Sscan(l, &peak)
		_, l, _ = strings.Cut(string(b), "VmRSS:")
		fmt.Sscan(l, &now)
		return peak, now
	}
	idle, _ := memory()
	s.note("idle: %d kB", idle)
	var running sync.WaitGroup
	var sent, served, other atomic.Int64
	clients := func(count, commands int, pause time.Duration, stop time.Time) {
		for range count {
			running.Add(1)
			background.Go(func() {
				defer running.Done()
				time.Sleep(rand.N(pause))
				for time.Now().Before(stop) {
					k, err := dialClient(r.address)
					if err != nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					for err == nil && time.Now().Before(stop) {
						class, wait, id := "route-view", 1000, newID()
						x := rand.IntN(100)
						switch {
						case x < 37:
							class, wait = "own-entries", 500
						case x < 44:
							class, wait = "current-meter", 1200
						case x < 47:
							class, wait = "monthly-report", 12000
						}
						text := readStatement("00aa", id, class, wait, 1, "")
						if x >= 88 {
							text = writeStatement("00aa", hex, id, "submit-reading", 2000, 1, ",k="+id)
						}
						var batch []byte
						for n := range commands {
							if n > 0 {
								text = readStatement("00aa", newID(), "route-view", 1000, 1, "")
							}
							batch = append(batch, message('Q', append([]byte(text), 0))...)
						}
						sent.Add(int64(commands))
						_, err = k.Write(batch)
						for n := 0; n < commands && err == nil; n++ {
							var got reply
							if got, err = k.receive(14 * time.Second); got.served {
								served.Add(1)
							} else {
								other.Add(1)
							}
						}
						time.Sleep(rand.N(2 * pause))
					}
					k.Close()
				}
			})
		}
	}
	s.eachSecond(func() string {
		peak, now := memory()
		return fmt.Sprintf("so far: %d requests sent, %d served, %d refused or failed; %d kB resident, %d at the most", sent.Load(), served.Load(), other.Load(), now, peak)
	})
	end := time.Now().Add(30 * time.Second)
	clients(80, 1, 300*time.Millisecond, end) // some 220 requests a second
	time.Sleep(10 * time.Second)
	before, _ := memory()
	s.note("after 10 s of the usual traffic: %d requests, peak %d kB", sent.Load(), before)
	if s.trouble {
		clients(255, 10, 3*time.Second, time.Now().Add(15*time.Second)) // some 800 requests a second more
	}
	highest := 0
	for time.Now().Before(end) {
		peak, now := memory()
		if peak > highest && peak > limitKB {
			s.note("OVER: %d kB resident now, %d kB at the most; the limit is %d kB", now, peak, limitKB)
		}
		highest = max(highest, peak)
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
	s.note("%d requests, %d served, %d not; peak %d kB of %d kB", sent.Load(), served.Load(), other.Load(), highest, limitKB)
	switch {
	case highest > limitKB:
		return broken
	case served.Load() < 1000:
		return cannotRun
	}
	return held
}
