package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/lab/day"
	"sedgestream/internal/standin"
	"sedgestream/internal/words"
)

// Verdict is what a day came to. Times are in periods.
type Verdict struct {
	Agreed   float64 // from the end of the last fault until all had the same view of the true set; -1: not within the grace
	Known    float64 // the longest from a death until no instance that could know believed in it any more
	WrongFor float64 // the longest that one which lives and could be reached was called failed by one
	Jobs     int     // answered
	Excused  int     // lost with their router
	Bounced  int
	Drains   int     // that were told
	Bytes    float64 // of datagrams, an instance and second
	Words    float64
	Found    []string // broken rules and promises
}

// Promises of the membership, in periods. A machine that is busy makes them late: they are checked with that much room.
const (
	KnownWithin = 60 // each death, by all that can know
	WrongWithin = 40 // of a live and reachable one that is called failed, until it no longer is
	Disturbed   = 30 // after any fault that concerns two instances, before anything is asked of what they believe of each other
)

// poll is what all instances told at a moment, with the truth of then.
type poll struct {
	at    time.Time
	views []*words.Fleet // by number; nil of one that did not answer
	truth []state
	cuts  []*day.Fault
}

type state struct {
	up, stopped, left, twin bool
	since                   time.Time
	address                 string
}

func (r *Rig) poll() {
	procs := r.all()
	p := poll{at: time.Now(), views: make([]*words.Fleet, len(procs)), truth: make([]state, len(procs))}
	r.mu.Lock()
	for n, c := range procs {
		p.truth[n] = state{c.up, c.stopped, c.left, c.twin, c.since, c.relay.Address}
	}
	for _, f := range r.on {
		if f.Kind == day.Split || f.Kind == day.OneWay {
			p.cuts = append(p.cuts, f)
		}
	}
	r.mu.Unlock()
	var all sync.WaitGroup
	turns := make(chan struct{}, 8)
	for n, c := range procs {
		if !p.truth[n].up || p.truth[n].stopped {
			continue
		}
		all.Add(1)
		turns <- struct{}{}
		go func() {
			defer func() { <-turns; all.Done() }()
			p.views[n], _ = r.Fleet(c)
		}()
	}
	all.Wait()
	r.mu.Lock()
	r.polls = append(r.polls, p)
	r.mu.Unlock()
}

// agree tells whether all that run have one view, and whether that is the truth.
func (r *Rig) agree() bool {
	r.poll()
	p := &r.polls[len(r.polls)-1]
	var want []string
	for n, s := range p.truth {
		if s.up && !s.left {
			want = append(want, s.address)
			if p.views[n] == nil {
				return false
			}
		}
	}
	var first *words.Fleet
	for n, s := range p.truth {
		if v := p.views[n]; s.up && !s.left {
			if first == nil {
				first = v
			}
			if v.View.Number != first.View.Number || v.View.Digest != first.View.Digest || len(v.View.Members) != len(want) {
				return false
			}
		}
	}
	return first != nil
}

// judge holds the polls and the ledgers against the truth.
func (r *Rig) judge(d *day.Day, v *Verdict) {
	period := float64(r.Period)
	in := func(t time.Duration) float64 { return float64(t) / period }
	if v.Agreed < 0 {
		r.fault("not all agree after the last fault")
	}
	// wrong and alive are since when one believes otherwise than it should, though it could know.
	type pair struct{ by, of int }
	wrong, ghost := map[pair]time.Time{}, map[pair]time.Time{}
	calm := map[pair]time.Time{} // when the two last could not reach each other
	var bytes, said, secs float64
	for _, p := range r.polls {
		numbers := map[string]int{}
		for n, s := range p.truth {
			numbers[s.address] = n
		}
		for by, view := range p.views {
			if view == nil {
				continue
			}
			for _, k := range view.All {
				of, known := numbers[k.Record.Address]
				if !known || of == by {
					continue
				}
				s, me, two := p.truth[of], p.truth[by], pair{by, of}
				apart := len(p.cuts) > 0 && (cut(p.cuts, of, by) || cut(p.cuts, by, of))
				if apart {
					calm[two] = p.at
				}
				settled := in(p.at.Sub(calm[two])) > Disturbed && in(p.at.Sub(me.since)) > Disturbed
				live := k.Record.Health < members.Failed
				if s.up && !s.stopped && !s.twin && !live && settled && in(p.at.Sub(s.since)) > Disturbed {
					if wrong[two].IsZero() {
						wrong[two] = p.at
					}
					if long := in(p.at.Sub(wrong[two])); long > v.WrongFor {
						if v.WrongFor = long; long > WrongWithin {
							r.fault("%s calls %s %s for %.0f periods, which lives", view.Self.Name, k.Record.Name, k.Record.Health, long)
						}
					}
				} else {
					delete(wrong, two)
				}
				if !s.up && live && !apart {
					if ghost[two].Before(s.since) {
						ghost[two] = s.since
					}
					// Its own disturbances count from their end on.
					for _, t := range []time.Time{me.since, calm[two]} {
						if ghost[two].Before(t) {
							ghost[two] = t
						}
					}
					if long := in(p.at.Sub(ghost[two])); long > v.Known {
						if v.Known = long; long > KnownWithin {
							r.fault("%s believes %s %s %.0f periods after its end", view.Self.Name, k.Record.Name, k.Record.Health, long)
						}
					}
				}
			}
			// Whatever one lost sight of goes on counting, as long as it may be there and sending.
			least := 1
			for _, k := range view.All {
				if of, known := numbers[k.Record.Address]; known && of != by && p.truth[of].up && !p.truth[of].left && in(p.at.Sub(p.truth[of].since)) > Disturbed {
					least++
				}
			}
			if n := view.Holds.Senders; n < least && in(p.at.Sub(p.truth[by].since)) > Disturbed {
				r.fault("%s divides by %d of at least %d that it knows and that run", view.Self.Name, n, least)
			}
		}
	}
	if len(r.polls) > 0 {
		for _, view := range r.polls[len(r.polls)-1].views {
			if view != nil {
				bytes, said = bytes+float64(view.Tally.BytesOut), said+float64(view.Tally.WordsOut)
				secs += float64(view.Uptime) / 1e9
			}
		}
		v.Bytes, v.Words = bytes/secs, said/secs
	}
	r.rules(v)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.procs {
		if text, err := os.ReadFile(r.log(c)); err == nil && (strings.Contains(string(text), "panic") || strings.Contains(string(text), "DATA RACE")) {
			r.found = append(r.found, "a panic or a race: see "+r.log(c))
		}
	}
	v.Found = r.found
}

// ledger is what clients know of their jobs.
type ledger struct {
	mu sync.Mutex
	of map[string]*job
}

type job struct {
	tariff  string
	router  string
	began   time.Time
	took    time.Duration
	answer  string
	excused bool // its router was killed or stood still meanwhile
}

// Times of jobs.
const (
	hardLimit = 2000 * time.Millisecond
	window    = 1200 * time.Millisecond
	// drainGrace is that of standin.Contract.
	drainGrace = 500 * time.Millisecond
	busy       = 750 * time.Millisecond // for a machine with other work, in what is checked by the clock
)

// load has clients ask a router, and come again when it is back.
func (r *Rig) load(c *proc) {
	r.jobs.mu.Lock()
	if r.jobs.of == nil {
		r.jobs.of = map[string]*job{}
	}
	r.jobs.mu.Unlock()
	for i := range r.Clients {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			for n := c.number + i; ; {
				select {
				case <-r.stop:
					return
				case <-time.After(r.Every):
				}
				r.mu.Lock()
				up, at := c.up && !c.stopped, c.address
				r.mu.Unlock()
				if !up {
					continue
				}
				sock, err := net.DialTimeout("tcp", at, time.Second)
				if err != nil {
					continue
				}
				n = r.converse(c, n, sock)
				sock.Close()
			}
		}()
	}
}

// converse asks over one connection until it ends.
func (r *Rig) converse(c *proc, n int, sock net.Conn) int {
	sock.SetDeadline(time.Now().Add(time.Hour))
	client := standin.NewClient(r.t, sock)
	if !client.Greet() {
		return n
	}
	for ; ; n++ {
		select {
		case <-r.stop:
			return n
		case <-time.After(r.Every):
		}
		tariff := []string{"view", "view", "view", "now", "order", "once"}[n%6]
		query := standin.Change(tariff, int(hardLimit/time.Millisecond))
		if tariff == "view" || tariff == "now" {
			query = strings.Replace(standin.View(int(hardLimit/time.Millisecond)), "c=view", "c="+tariff, 1)
		}
		_, id, _ := strings.Cut(query, "id=")
		id, _, _ = strings.Cut(id, ",")
		j := &job{tariff: tariff, router: c.name, began: time.Now()}
		r.jobs.mu.Lock()
		r.jobs.of[id] = j
		r.jobs.mu.Unlock()
		sock.SetDeadline(time.Now().Add(time.Minute))
		answer, err := client.Try(query)
		r.mu.Lock()
		// Whoever was ended or stood still since it was asked may owe the answer for good, or say it late.
		disturbed := !c.up || c.stopped || c.since.After(j.began)
		r.mu.Unlock()
		r.jobs.mu.Lock()
		if j.took, j.answer = time.Since(j.began), answer; err != nil {
			j.answer = "lost: " + err.Error()
		}
		j.excused = disturbed
		r.jobs.mu.Unlock()
		if err != nil {
			return n + 1
		}
	}
}

// rules holds the ledgers of nodes and clients against the rules on answers, double effects and old data.
func (r *Rig) rules(v *Verdict) {
	runs := map[string][]standin.Ran{}
	v.Drains = len(r.drained)
	for n, node := range r.Nodes {
		for _, ran := range node.Ledger() {
			runs[ran.ID] = append(runs[ran.ID], ran)
			if j := r.jobs.of[ran.ID]; j == nil {
				r.fault("node %d ran a job that nobody asked for: %s", n, ran.ID)
			} else if j.tariff != "view" && node.Role != "source" {
				r.fault("replica %d ran %s of %s", n, ran.ID, j.tariff)
			} else if at := r.drained[n][j.router]; !at.IsZero() && !j.excused && ran.At.After(at.Add(drainGrace+busy)) {
				r.fault("node %d got a job of %s %v after its list said that it drains", n, j.router, ran.At.Sub(at))
			}
		}
	}
	for id, j := range r.jobs.of {
		ran := runs[id]
		switch {
		case j.excused:
			v.Excused++
		case j.answer == "" || strings.HasPrefix(j.answer, "lost"):
			r.fault("job %s of %s has no answer: %q after %v", id, j.router, j.answer, j.took)
		case j.took > hardLimit+busy:
			r.fault("job %s of %s was answered after %v", id, j.router, j.took)
		case strings.HasPrefix(j.answer, "from") && len(ran) == 0:
			r.fault("job %s was done by no node", id)
		default:
			v.Jobs++
			if j.answer == "53300" {
				v.Bounced++
			}
		}
		if j.tariff == "once" && (len(ran) > 1 || len(ran) > 0 && j.answer == "53300") {
			r.fault("job %s ran %d times and was answered by %q", id, len(ran), j.answer)
		}
		for _, one := range ran {
			if j.tariff == "order" && one.At.Sub(ran[0].At).Abs() > window+busy {
				r.fault("order %s ran again after %v", id, one.At.Sub(ran[0].At))
			}
		}
	}
}

// String tells it in a line, and what was found in more.
func (v *Verdict) String() string {
	s := fmt.Sprintf("agreed after %.1f periods, deaths known within %.1f, live ones called failed for %.1f at most, %d jobs answered (%d bounced), "+
		"%d excused, %d drains, %.0f bytes in %.1f words an instance and second", v.Agreed, v.Known, v.WrongFor, v.Jobs, v.Bounced, v.Excused, v.Drains, v.Bytes, v.Words)
	for _, f := range v.Found {
		s += "\n  " + f
	}
	return s
}

// Keep tells whether there is any reason to keep the folder.
func (v *Verdict) Keep() bool { return len(v.Found) > 0 }

// lines reads a log line by line, however long they are.
type lines struct{ *bufio.Reader }

func newLines(r io.Reader) lines             { return lines{bufio.NewReader(r)} }
func (l lines) next() (line []byte, e error) { return l.ReadBytes('\n') }
