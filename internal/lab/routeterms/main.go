// Command routeterms measures the effect of a file of route terms, with stand-in nodes and closed-loop clients over loopback: the cost
// of requests without a file, with one route and with ten thousand; how long a reload of ten thousand takes; how hedged attempts change
// the slowest hundredth of requests; and how a retry budget changes an outage. Variants that are compared are measured in turn, several
// times each. The output has medians, with minima and maxima in brackets.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sedgestream/internal/lab/bench"
	"sedgestream/internal/standin"
)

var (
	program        = flag.String("program", "bin/sedgestream", "the router")
	earlierProgram = flag.String("before", "", "an earlier version of the router to compare the cost of requests with")
	repeats        = flag.Int("repeats", 5, "how often each variant is measured")
	only           = flag.String("only", "", "one of path, pair, swap, tail, outage; pair is path with the first two variants only, in shorter turns")
)

func main() {
	log.SetFlags(0)
	flag.Parse()
	for _, experiment := range []struct {
		name string
		run  func()
	}{{"path", func() { measurePath(4, 4*time.Second) }}, {"pair", measurePair}, {"swap", measureReload}, {"tail", measureTail},
		{"outage", measureOutages}} {
		if *only == experiment.name || *only == "" && experiment.name != "pair" {
			experiment.run()
		}
	}
}

// settings are the settings of the routers: reads have a target latency of 400 ms, all classes have a deadline of 2 s, and hedged attempts
// are allowed.
var settings = strings.NewReplacer(`"aimUs":80000,"deadlineUs":30000000,"repeat":"pure"`,
	`"aimUs":400000,"deadlineUs":2000000,"repeat":"pure"`,
	`"deadlineUs":30000000`, `"deadlineUs":2000000`, `"windowUs":30000000`, `"windowUs":1200000`, `"sendCap":3`, `"sendCap":4`,
	`"secondCopies":false`, `"secondCopies":true`, `"connectTimeoutUs":5000000`, `"connectTimeoutUs":20000`).Replace(standin.DefaultSettings)

// startRouter starts a router with a primary and four replicas; terms is the text of its file of route terms, or "".
func startRouter(b *bench.TB, program, terms string, prepare func(index int, node *standin.Node)) *standin.Harness {
	nodes := []*standin.Node{standin.NewNode(b, "source")}
	for range 4 {
		nodes = append(nodes, standin.NewNode(b, "copy"))
	}
	for index, node := range nodes {
		prepare(index, node)
	}
	router := standin.NewHarness(b, nodes...)
	router.Settings = settings
	if terms != "" {
		router.Args = []string{"run", "--terms", filepath.Join(b.TempDir(), "terms.json")}
		writeFile(router.Args[2], terms)
	}
	return router.Start(program)
}

// writeFile replaces a file in one step.
func writeFile(path, text string) {
	if err := os.WriteFile(path+".next", []byte(text), 0o600); err != nil {
		log.Fatal(err)
	}
	if err := os.Rename(path+".next", path); err != nil {
		log.Fatal(err)
	}
}

// sample is the outcome of one request.
type sample struct {
	startedAt, duration time.Duration // startedAt is since the start of the clients
	done                bool
}

// runClients runs clients for a span of time. Each sends reads one after another.
func runClients(router *standin.Harness, clients int, span time.Duration) (samples []sample) {
	var mu sync.Mutex
	var all sync.WaitGroup
	begin := time.Now()
	for range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			client := router.Open("")
			client.Answer()
			var ownSamples []sample
			for n := 0; time.Since(begin) < span; n++ {
				if n%1000 == 999 {
					client.Conn.SetDeadline(time.Now().Add(standin.WaitTimeout))
				}
				startedAt := time.Now()
				client.SendStatement(standin.ReadQuery(2000))
				answer := client.Answer()
				ownSamples = append(ownSamples,
					sample{startedAt.Sub(begin), time.Since(startedAt), strings.HasPrefix(answer, "from") || answer == "late"})
			}
			mu.Lock()
			samples = append(samples, ownSamples...)
			mu.Unlock()
		}()
	}
	all.Wait()
	return samples
}

// cpuTime is the CPU time of the router's process.
func cpuTime(router *standin.Harness) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", router.Cmd.Process.Pid))
	if err != nil {
		log.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// stats holds the values of each quantity, one for each time that a variant was measured.
type stats map[string][]float64

// add adds a value of a quantity.
func (s stats) add(name string, value float64) { s[name] = append(s[name], value) }

// printLine prints a line with the median, the minimum and the maximum of each quantity.
func (s stats) printLine(title string, names ...string) {
	fmt.Printf("%-34s", title)
	for _, name := range names {
		values := slices.Sorted(slices.Values(s[name]))
		fmt.Printf("  %s %.4g (%.4g to %.4g)", name, values[len(values)/2], values[0], values[len(values)-1])
	}
	fmt.Println()
}

// measureInTurn measures the variants in turn, so that a slow phase of the machine affects all of them alike.
func measureInTurn[V any](variants []V, run func(V, stats)) []stats {
	results := make([]stats, len(variants))
	for range *repeats {
		for i, variant := range variants {
			if results[i] == nil {
				results[i] = stats{}
			}
			run(variant, results[i])
		}
	}
	return results
}

// routesFile is a file of n routes: one for all requests, and the others for keys of tenants.
func routesFile(n int) string {
	var b strings.Builder
	b.WriteString(`{"version": 1, "routes": [{"name": "all", "match": {}, "terms": {"budget": {"share": 0.5, "over": "10s", "floor": 9}}}`)
	for i := 1; i < n; i++ {
		fmt.Fprintf(&b, ",\n"+`{"name": "tenant %d", "match": {"tariff": "view", "key": "t%05d"}, "terms": {"trip_time": "%dms", "trips": 3,`+
			` "copies": {"after": {"quantile": 0.95, "floor": "10ms", "ceiling": "100ms"}, "part": 0.1}}}`, i, i, 200+i%100)
	}
	b.WriteString("]}")
	return b.String()
}

// disableLedger makes a node keep no ledger.
func disableLedger(_ int, n *standin.Node) { n.SkipRecords = true }

// measurePair compares the cost of requests without a file with that of the earlier program, in many short turns.
func measurePair() {
	*repeats *= 3
	measurePath(2, 2*time.Second)
}

// measurePath measures the cost of requests for the first maxVariants variants, each for a duration.
func measurePath(maxVariants int, duration time.Duration) {
	type variant struct{ name, program, terms string }
	variants := []variant{{"no file", *program, ""}, {"one route", *program, routesFile(1)}, {"10,000 routes", *program, routesFile(10_000)}}
	if *earlierProgram != "" {
		variants = append([]variant{{"the program before", *earlierProgram, ""}}, variants...)
	}
	variants = variants[:min(maxVariants, len(variants))]
	results := measureInTurn(variants, func(variant variant, stats stats) {
		b := &bench.TB{}
		defer b.Close()
		router := startRouter(b, variant.program, variant.terms, disableLedger)
		runClients(router, 32, time.Second)
		cpuBefore := cpuTime(router)
		samples := runClients(router, 32, duration)
		stats.add("us of CPU a request", float64((cpuTime(router)-cpuBefore).Microseconds())/float64(len(samples)))
		stats.add("jobs a second", float64(len(samples))/duration.Seconds())
		stats.add("MB", residentMB(router))
	})
	fmt.Println("cost of requests, 32 clients")
	for i, variant := range variants {
		results[i].printLine(variant.name, "us of CPU a request", "jobs a second", "MB")
	}
}

// residentMB is the resident memory of the router's process.
func residentMB(router *standin.Harness) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.Cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return float64(kilobytes) / 1024
		}
	}
	return 0
}

// measureReload measures how long files of different sizes take to load under load, and the longest request meanwhile.
func measureReload() {
	sizes := []int{0, 100, 1000, 10_000}
	results := measureInTurn(sizes, func(routes int, stats stats) {
		b := &bench.TB{}
		defer b.Close()
		router := startRouter(b, *program, routesFile(1), disableLedger)
		runClients(router, 8, 500*time.Millisecond)
		if routes > 0 {
			writeFile(router.Args[2], routesFile(routes))
		}
		var reloads atomic.Int64
		go func() {
			for range 3 {
				time.Sleep(500 * time.Millisecond)
				if routes > 0 {
					reloads.Add(1)
					router.Cmd.Process.Signal(syscall.SIGHUP)
				}
			}
		}()
		samples := runClients(router, 8, 2500*time.Millisecond)
		worst := time.Duration(0)
		for _, sample := range samples {
			worst = max(worst, sample.duration)
		}
		stats.add("ms of the longest request", float64(worst.Microseconds())/1e3)
		stats.add("MB", residentMB(router))
		if routes == 0 {
			return
		}
		for _, line := range strings.Split(router.Log(), "\n") {
			if strings.Contains(line, fmt.Sprintf(`"routes":%d,`, routes)) {
				_, took, _ := strings.Cut(line, `"took":`)
				seconds, _ := strconv.ParseFloat(strings.TrimRight(took, "}"), 64)
				stats.add("ms to read, check and swap", seconds*1e3)
			}
		}
	})
	fmt.Println("reload under load, 8 clients")
	for i, routes := range sizes {
		if routes == 0 {
			results[i].printLine("no reload", "ms of the longest request", "MB")
		} else {
			results[i].printLine(fmt.Sprintf("%d routes", routes), "ms of the longest request", "ms to read, check and swap", "MB")
		}
	}
}

// measureTail measures hedged attempts while one of four replicas is slow for a tenth of its requests.
func measureTail() {
	type variant struct{ name, terms string }
	routeFile := func(terms string) string {
		return `{"version": 1, "routes": [{"name": "all", "match": {"tariff": "view"}, "terms": {` + terms + `}}]}`
	}
	variants := []variant{{"no file", ""}, {"no copies", routeFile(`"copies": "none"`)},
		{"copies after 50 ms", routeFile(`"copies": {"after": "50ms", "part": 0.1}`)},
		{"copies after a learnt 0.95", routeFile(`"copies": {"after": {"quantile": 0.95, "floor": "10ms", "ceiling": "200ms"}, "part": 0.1}`)}}
	results := measureInTurn(variants, func(variant variant, stats stats) {
		b := &bench.TB{}
		defer b.Close()
		router := startRouter(b, *program, variant.terms, func(i int, node *standin.Node) {
			var faults []standin.Fault
			if i == 4 {
				faults = append(faults, standin.Fault{Share: 0.1, Delay: 200 * time.Millisecond})
			}
			node.WithFaults(5*time.Millisecond, faults...)
		})
		samples := runClients(router, 16, 5*time.Second)
		attempts := 0
		for _, node := range router.Nodes {
			attempts += len(node.Executions())
		}
		var durations []float64
		for _, sample := range samples {
			durations = append(durations, float64(sample.duration.Microseconds())/1e3)
		}
		slices.Sort(durations)
		stats.add("median ms", durations[len(durations)/2])
		stats.add("99th of 100", durations[len(durations)*99/100])
		slowest, sum := durations[len(durations)*99/100:], 0.0
		for _, ms := range slowest {
			sum += ms
		}
		stats.add("slowest hundredth", sum/float64(len(slowest)))
		stats.add("999th of 1000", durations[len(durations)*999/1000])
		stats.add("extra attempts %", 100*(float64(attempts)/float64(len(samples))-1))
	})
	fmt.Println("one of four replicas slow (200 ms instead of 5) for a tenth of its requests, 16 clients")
	for i, variant := range variants {
		results[i].printLine(variant.name, "median ms", "99th of 100", "slowest hundredth", "999th of 1000", "extra attempts %")
	}
}

// measureOutages measures a full and a partial outage.
func measureOutages() {
	measureOutage(1)
	measureOutage(0.7)
}

// measureOutage lets all nodes fail a share of their requests for a while. Each node serves a limited number of requests at a time, and
// clients retry at once.
func measureOutage(share float64) {
	const outageTime, loadTime, concurrency = time.Second, 4 * time.Second, 6
	type variant struct{ name, terms string }
	variants := []variant{{"no file", ""}, {"budget of a tenth, floor 10",
		`{"version": 1, "routes": [{"name": "all", "match": {}, "terms": {"budget": {"share": 0.1, "over": "10s", "floor": 10}}}]}`}}
	results := measureInTurn(variants, func(variant variant, stats stats) {
		b := &bench.TB{}
		defer b.Close()
		begin := time.Now()
		router := startRouter(b, *program, variant.terms, func(_ int, node *standin.Node) {
			slots := make(chan struct{}, concurrency)
			node.Handler = func(backend *standin.Backend, conn standin.Conn, query string) {
				slots <- struct{}{}
				defer func() { <-slots }()
				time.Sleep(5 * time.Millisecond)
				if time.Since(begin) < outageTime && standin.IDFraction(query) < share {
					node.ErrorHandler("XX000")(backend, conn, query)
				} else {
					node.SendValue(backend, "from it")
				}
			}
		})
		begin = time.Now()
		samples := runClients(router, 200, loadTime)
		requestIDs, attempts := map[string]bool{}, 0
		for _, node := range router.Nodes {
			for _, execution := range node.Executions() {
				if execution.ReceivedAt.Sub(begin) < outageTime {
					attempts++
					requestIDs[execution.ID] = true
				}
			}
		}
		stats.add("attempts a request in the outage", float64(attempts)/float64(max(len(requestIDs), 1)))
		stats.add("attempts in the outage", float64(attempts))
		stats.add("ms until recovered", recoveryTime(samples, outageTime))
		done := 0
		for _, sample := range samples {
			if sample.done && sample.startedAt > outageTime {
				done++
			}
		}
		stats.add("done a second after", float64(done)/(loadTime-outageTime).Seconds())
	})
	fmt.Printf("all nodes fail %v of their requests for 1 s, 200 clients that retry at once\n", share)
	for i, variant := range variants {
		results[i].printLine(variant.name, "attempts a request in the outage", "attempts in the outage", "ms until recovered",
			"done a second after")
	}
}

// recoveryTime is the time in ms from the end of the outage to the first interval of a tenth of a second in which at least 99 of 100
// requests that arrived were served; the whole time if there was none.
func recoveryTime(samples []sample, outageEnd time.Duration) float64 {
	const interval = 100 * time.Millisecond
	arrived, done := map[int]int{}, map[int]int{}
	last := 0
	for _, sample := range samples {
		index := int((sample.startedAt - outageEnd) / interval)
		if sample.startedAt < outageEnd {
			continue
		}
		arrived[index]++
		if last = max(last, index); sample.done {
			done[index]++
		}
	}
	for index := range last {
		if arrived[index] > 0 && float64(done[index]) >= 0.99*float64(arrived[index]) {
			return float64(index) * interval.Seconds() * 1e3
		}
	}
	return float64(last) * interval.Seconds() * 1e3
}
