// Package desk is the only door to the module: one lock, one clock, the alarm. The module answers while a
// call runs; its orders go into mailboxes and are carried out by others, so that nothing here blocks.
package desk

import (
	"fmt"
	"hash/crc32"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"go.uber.org/zap"

	"sedgestream/balance"
	"sedgestream/internal/contract"
	"sedgestream/internal/decide/plan"
	"sedgestream/internal/decide/share"
	"sedgestream/internal/decide/terms"
)

// Task is how the module's orders for one job are carried out: one at a time, in the job's own task.
type Task struct {
	Send      func(leg, node int, until int64)
	Revoke    func(leg int)
	Recall    func() // of all that has not been sent yet, as the job's client has left
	Bounce    func(stayAway int64)
	Terminate func()
	Failed    func(p any) // carrying out an order ended in a panic; where it is nil the panic goes on
}

// Nodes is where trips learn how to reach a node, and that a number names none any more.
type Nodes interface {
	Reach(node int, name, address string)
	Drop(node int)
}

// Row is one node as the list has it.
type Row struct {
	ID, Zone, Address string
	Group             int64
	Standing          balance.Standing
	Weight            float64
	Started           int64 // Unix nanoseconds, 0 for long ago
	Primary           bool
}

// Words are for another router, or for all others if To is below 0.
type Words struct {
	To   int
	Text []byte
}

// wordsKept bounds the words that wait for the network: the newest of all say what older ones did.
const wordsKept = 16

// Deal is what jobs keep to from their coming to their end: a contract, and terms if there are any. It doesn't change.
type Deal struct {
	Contract *contract.Contract
	book     *terms.Book
	numbers  []int // of its tariffs, in the module
}

// mostTariffs bounds how many kinds of tariffs one run may come to have by ever new contracts: each takes some bytes for good.
const mostTariffs = 1 << 12

// Ask is what a job wants.
type Ask struct {
	Deal          *Deal // nil: that of now
	Tariff, Group int   // the tariff as the deal's contract has it
	Wait          int64 // for which its client waits yet
	After         int64 // position that it must see, or 0

	// What routes look at beside the tariff. The key's bytes don't change while the job is in hand.
	GroupName    int64
	Key          []byte
	Write, Again bool
}

// Desk serves one router.
type Desk struct {
	log   *zap.Logger
	start time.Time
	unix  int64
	nodes Nodes
	deal  atomic.Pointer[Deal] // of the jobs to come

	mu      sync.Mutex
	router  *balance.Router
	alarm   *time.Timer
	seats   []seat
	serials uint64
	inHand  int
	boxes   sync.Pool // mailboxes out of use
	ids     map[string]int
	names   []string
	unused  []int // numbers of nodes that have left, for others
	groups  map[int64]int
	zones   map[string]int
	board   *plan.Board    // what planners and the list say of nodes; nil without planners
	rows    map[string]Row // as the list has them, while there is a board
	meter   *share.Meter   // of own trips, for those who add up what all routers have; nil if nobody does
	marks   map[uint32]int // nodes by their marks, while there is a meter; below 0 of one that two share

	// Orders that belong to no job. Each list is bounded: a node has at most one probe out.
	probes, releases []int
	watch, lookup    bool
	words            []Words
	Bell             chan struct{} // rung when any of them is there
}

type seat struct {
	task   Task
	serial uint64
	legs   int
	nodes  []int // of its legs, while there is a meter
	stay   terms.Stay
	over   bool // the job has its final answer, or nobody waits for it
	box    chan func()
}

// Ticket names a job in hand.
type Ticket struct {
	desk   *Desk
	place  balance.Place
	serial uint64
	box    chan func()
	failed func(p any)
}

// Open starts the module.
func Open(c *contract.Contract, seed uint64, nodes Nodes, log *zap.Logger) *Desk {
	d := &Desk{log: log, start: time.Now(), nodes: nodes, ids: map[string]int{}, groups: map[int64]int{},
		zones: map[string]int{}, Bell: make(chan struct{}, 1)}
	d.unix = d.start.UnixNano()
	d.alarm = time.AfterFunc(time.Hour, d.wake)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Settle(d.zones)
	d.router = balance.Open(&c.Contract, seed, d, d.Now())
	d.deal.Store(&Deal{Contract: c, numbers: d.router.Heed(&c.Contract)})
	return d
}

// Deal is that of the jobs to come.
func (d *Desk) Deal() *Deal { return d.deal.Load() }

// Renew has the jobs to come keep to another contract and its terms, all at one moment; those in hand notice nothing.
func (d *Desk) Renew(c *contract.Contract, b *terms.Book) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if have := d.router.Tariffs(); have+len(c.Tariffs) > mostTariffs {
		return fmt.Errorf("this run has had %d kinds of classes; more take a restart", have)
	}
	if b != nil {
		b.Inherit(d.deal.Load().book)
	}
	c.Settle(d.zones)
	d.deal.Store(&Deal{Contract: c, book: b, numbers: d.router.Heed(&c.Contract)})
	return nil
}

// Now is the clock: Unix nanoseconds at the start, and only forward from there.
func (d *Desk) Now() int64 { return d.unix + int64(time.Since(d.start)) }

// Time is the same moment for deadlines of sockets.
func (d *Desk) Time(now int64) time.Time { return d.start.Add(time.Duration(now - d.unix)) }

// wake has no connection whose end a panic could be; the alarm goes on all the same.
func (d *Desk) wake() {
	defer func() {
		if p := recover(); p != nil {
			d.log.Error("the alarm's task failed", zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Wake(d.Now())
}

// Group is the index of a group that the list has named.
func (d *Desk) Group(name int64) (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.groups[name]
	return g, ok
}

// Terms has the jobs to come keep to a book, or to the contract alone if it is nil; those in hand keep to the terms that
// they came with. What the book before has learnt goes on in routes of the same name.
func (d *Desk) Terms(b *terms.Book) {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.deal.Load()
	if b != nil {
		b.Inherit(was.book)
	}
	d.deal.Store(&Deal{Contract: was.Contract, book: b, numbers: was.numbers})
}

// Groups are the names of the groups that the list has named.
func (d *Desk) Groups() map[int64]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make(map[int64]bool, len(d.groups))
	for g := range d.groups {
		names[g] = true
	}
	return names
}

// route is the job's, or nil.
func (a *Ask) route() *terms.Route {
	b := a.Deal.book
	if b == nil {
		return nil
	}
	j := terms.Job{Tariff: a.Tariff, Group: a.GroupName, Write: a.Write, Session: a.After > 0, Again: a.Again}
	if len(a.Key) > 0 {
		j.Key = unsafe.String(&a.Key[0], len(a.Key)) // read only, and only here
	}
	return b.Find(&j)
}

// Take brings a job in. Its client waits from now on.
func (d *Desk) Take(task Task, a Ask) *Ticket {
	if a.Deal == nil {
		a.Deal = d.deal.Load()
	}
	route := a.route()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	p := d.router.Seat()
	for len(d.seats) <= int(p) {
		d.seats = append(d.seats, seat{})
	}
	d.serials++
	// A job has at most so many orders at a time: a trip, its revoking and its ending for each leg, and the
	// bounce or termination, the client's leaving and the vacating of its place. The module may know a later contract.
	orders := 3*max(a.Deal.Contract.MaxTrips, d.deal.Load().Contract.MaxTrips) + 4
	box, _ := d.boxes.Get().(chan func())
	if cap(box) < orders {
		box = make(chan func(), orders)
	}
	d.seats[p] = seat{task: task, serial: d.serials, box: box, stay: terms.Stay{Wait: a.Wait}, nodes: d.seats[p].nodes[:0]}
	s := &d.seats[p]
	if route != nil {
		s.stay = route.Enter(now, a.Wait)
	}
	d.inHand++
	wrote := int64(0)
	if a.After > 0 {
		wrote = max(1, now-a.After)
	}
	d.router.Take(now, p, a.Deal.numbers[a.Tariff], a.Group, s.stay.Wait, wrote, &s.stay.Terms)
	return &Ticket{d, p, d.serials, box, task.Failed}
}

// Ended tells of a trip's ending and whether the client is to have what it brought. It comes before the
// next order is looked at, and before the job's place is vacated.
func (t *Ticket) Ended(leg int, e balance.Ending, took int64, note balance.Note, rep balance.Report) (serve bool) {
	d := t.desk
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.seats[t.place]
	serve = e == balance.Done && !s.over
	s.over = s.over || serve
	s.stay.Ended(e, took)
	if d.meter != nil {
		d.metered(s.nodes[leg], rep)
		d.meter.Ended(d.Now(), s.nodes[leg], e == balance.Failed || e == balance.Unreachable || e == balance.Broken)
	}
	d.router.Ended(d.Now(), t.place, leg, e, s.over, took, note, rep)
	return serve
}

// Left tells that the job's client has gone.
func (t *Ticket) Left() {
	d := t.desk
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := &d.seats[t.place]; s.serial == t.serial && !s.over {
		if s.over = true; s.legs > 0 && s.task.Recall != nil {
			d.put(t.place, s.task.Recall) // before the place is vacated
		}
		d.router.Left(t.place)
	}
}

// Over tells whether the job has its final answer, or nobody waits for it.
func (t *Ticket) Over() bool {
	d := t.desk
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.seats[t.place]
	return s.serial != t.serial || s.over
}

// Post puts the ending of one of the job's trips into its mailbox.
func (t *Ticket) Post(order func()) { t.box <- order }

// Work carries out the job's orders until the job is over and none of its trips is out. A panic of one is told, and those
// behind it are carried out all the same: guards against jobs that keep their place, and whoever has an ending for them, for good.
func (t *Ticket) Work() {
	for order := range t.box {
		if order == nil {
			t.desk.boxes.Put(t.box)
			return
		}
		t.carryOut(order)
	}
}

func (t *Ticket) carryOut(order func()) {
	if t.failed != nil {
		defer func() {
			if p := recover(); p != nil {
				t.failed(p)
			}
		}()
	}
	order()
}

// InHand is how many jobs are not vacated yet.
func (d *Desk) InHand() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inHand
}

// List tells the module a list, or changes of it, as of a version.
func (d *Desk) List(version int64, whole bool, rows []Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	d.router.Listing(whole)
	for _, w := range rows {
		w = d.posted(version, w)
		n, known := d.ids[w.ID]
		if !known && w.Standing == balance.Gone {
			continue
		} else if !known {
			n = d.number(w.ID)
		}
		d.nodes.Reach(n, w.ID, w.Address)
		d.router.Member(now, n, contract.Index(d.groups, w.Group), contract.Index(d.zones, w.Zone), crc32.ChecksumIEEE([]byte(w.ID)),
			w.Standing, w.Weight, w.Started, w.Primary)
	}
	d.router.Listed(now)
	// Nodes come and go all day under new names; what is kept of them must not grow with that.
	for n, name := range d.names {
		if name != "" && d.router.Forget(now, n) {
			delete(d.ids, name)
			d.names[n] = ""
			d.unused = append(d.unused, n)
			d.nodes.Drop(n)
			d.unmeter(n, name)
			if d.board != nil {
				d.board.Drop(name)
				delete(d.rows, name)
			}
		}
	}
}

// posted is the row by the newest word on its node: an old list's "up" does not revive one that a planner knows to drain.
func (d *Desk) posted(version int64, w Row) Row {
	if d.board == nil {
		return w
	}
	d.board.Post(plan.Notice{Node: w.ID, Born: w.Started, Version: uint64(max(version, 0)), Standing: w.Standing})
	if n, ok := d.board.Read(w.ID); ok && n.Born == w.Started {
		w.Standing = n.Standing
	}
	if w.Address == "" {
		w.Address = d.rows[w.ID].Address
	}
	if len(d.rows) < plan.MostNotices || d.rows[w.ID].ID != "" {
		d.rows[w.ID] = w
	}
	return w
}

// number is the lowest number that has not named a node yet, or one that names none any more.
func (d *Desk) number(id string) (n int) {
	if k := len(d.unused); k > 0 {
		n, d.unused = d.unused[k-1], d.unused[:k-1]
		d.names[n] = id
	} else {
		n, d.names = len(d.names), append(d.names, id)
	}
	d.ids[id] = n
	d.mark(id, n)
	return n
}

// ListFailed tells that asking for the list failed, or that the watch ended.
func (d *Desk) ListFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ListFailed(d.Now())
}

// ListMoved tells that the list is asked for elsewhere from now on.
func (d *Desk) ListMoved() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ListMoved(d.Now())
}

// Probed tells of a probe's result.
func (d *Desk) Probed(node int, ok bool, rep balance.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok && d.meter != nil {
		d.metered(node, rep)
	}
	d.router.Probed(d.Now(), node, ok, rep)
}

// Admits tells whether what belongs to no job, and has waited for its connection, may still begin at its node.
func (d *Desk) Admits(node int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Admits(d.Now(), node)
}

// Begins tells whether one of the job's trips, which has waited for its connection, may still begin.
func (t *Ticket) Begins(leg int) bool {
	d := t.desk
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Begins(d.Now(), t.place, leg)
}

// Heard tells what another router said.
func (d *Desk) Heard(from int, words []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Heard(d.Now(), from, words)
}

// Orders are those that belong to no job.
type Orders struct {
	Probes, Releases []int
	Watch, Lookup    bool
	Words            []Words
}

// Collect takes the orders that have come since the last call.
func (d *Desk) Collect() Orders {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := Orders{d.probes, d.releases, d.watch, d.lookup, d.words}
	d.probes, d.releases, d.watch, d.lookup, d.words = nil, nil, false, false, nil
	return o
}

func (d *Desk) ring() {
	select {
	case d.Bell <- struct{}{}:
	default:
	}
}

// put leaves an order in a job's mailbox, which has room for all that one job can get.
func (d *Desk) put(p balance.Place, order func()) {
	select {
	case d.seats[p].box <- order:
	default:
		panic(fmt.Sprintf("mailbox of place %d is full", p))
	}
}

// Submit implements balance.Outside.
func (d *Desk) Submit(p balance.Place, node int, until int64) {
	s := &d.seats[p]
	if d.meter != nil {
		s.nodes = append(s.nodes, node)
		d.meter.Sent(d.Now(), node)
	}
	leg, send := s.legs, s.task.Send
	if s.legs++; leg == 0 {
		s.stay.Sent(d.Now())
	}
	d.put(p, func() { send(leg, node, until) })
}

// Grant implements balance.Outside.
func (d *Desk) Grant(p balance.Place, copy bool) bool { return d.seats[p].stay.Grant(d.Now(), copy) }

// Revoke implements balance.Outside.
func (d *Desk) Revoke(p balance.Place, leg int) {
	revoke := d.seats[p].task.Revoke
	d.put(p, func() { revoke(leg) })
}

// Bounce implements balance.Outside.
func (d *Desk) Bounce(p balance.Place, stayAway int64) {
	s := &d.seats[p]
	s.over = true
	bounce := s.task.Bounce
	d.put(p, func() { bounce(stayAway) })
}

// Terminate implements balance.Outside.
func (d *Desk) Terminate(p balance.Place) {
	s := &d.seats[p]
	s.over = true
	d.put(p, s.task.Terminate)
}

// Vacate implements balance.Outside.
func (d *Desk) Vacate(p balance.Place) {
	d.put(p, nil)
	d.seats[p].stay.Leave()
	d.inHand--
}

// Alarm implements balance.Outside.
func (d *Desk) Alarm(after int64) { d.alarm.Reset(time.Duration(after)) }

// Probe implements balance.Outside.
func (d *Desk) Probe(node int) {
	d.probes = append(d.probes, node)
	d.ring()
}

// Release implements balance.Outside.
func (d *Desk) Release(node int) {
	d.releases = append(d.releases, node)
	d.ring()
}

// Watch implements balance.Outside.
func (d *Desk) Watch() {
	d.watch = true
	d.ring()
}

// Lookup implements balance.Outside.
func (d *Desk) Lookup() {
	d.lookup = true
	d.ring()
}

// Tell implements balance.Outside.
func (d *Desk) Tell(router int, words []byte) {
	if len(d.words) == wordsKept {
		d.words = d.words[1:]
	}
	d.words = append(d.words, Words{router, append([]byte(nil), words...)})
	d.ring()
}

// Log implements balance.Outside.
func (d *Desk) Log(node int, words string) { d.log.Info(words, zap.String("node", d.names[node])) }
