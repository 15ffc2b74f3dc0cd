// Package member connects an instance's membership (internal/decide/members) to the network: it sends and receives
// datagrams and runs full exchanges. It uses one lock, one timer that fires only when something is due, and one
// goroutine that reads datagrams.
package member

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/message"
	"sedgestream/internal/recovery"
)

// Config configures an instance's membership.
type Config struct {
	Fleet       string // name of the fleet; messages of other fleets are rejected
	Name, Zone  string
	Kind        members.Kind
	Listen      string   // address for datagrams, and for exchanges unless another listener takes them
	Advertise   string   // address announced to others, if it differs, such as behind a relay; "" for where it listens
	Seeds       []string // addresses of members that are probably running
	Period      time.Duration
	ForgetAfter time.Duration
}

// Bounds of exchanges.
const (
	frameTimeout       = 2 * time.Second // for the other side's next frame
	maxServedExchanges = 4               // at a time: hundreds of members may ask at once, and each tries again later
	readBufferBytes    = 64 << 10
)

// Instance is this process as a member of the fleet.
type Instance struct {
	config          Config
	fleet           message.FleetID
	log             *zap.Logger
	socket          *net.UDPConn
	address         *net.UDPAddr // where it listens
	exchangeSource  *net.TCPAddr // local address of outgoing exchanges
	start           time.Time
	stop            chan struct{}
	tasks           sync.WaitGroup
	servedExchanges atomic.Int32
	listener        net.Listener // nil if another listener takes exchanges

	mu            sync.Mutex
	members       *members.Members
	onLoadReport  func(*message.LoadReport) // handles load reports of other routers; nil: they are dropped
	timer         *time.Timer
	view          members.View
	onView        func(members.View)
	exchanging    bool // an exchange that this instance started is in progress
	closed        bool
	counters      message.Counters
	resolvedNames map[string]resolvedName // by member address, for addresses with host names
}

// New opens the datagram socket; Serve has to be called next. onView is called with each new view, without a lock
// held; it may be nil.
func New(config Config, log *zap.Logger, onView func(members.View)) (*Instance, error) {
	address, err := net.ResolveUDPAddr("udp", config.Listen)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, err
	}
	address, err = boundAddress(socket, address)
	if err != nil {
		socket.Close()
		return nil, err
	}
	s := &Instance{
		address: address, config: config,
		fleet: message.FleetIDOf(config.Fleet), log: log,
		socket: socket, start: time.Now(),
		stop: make(chan struct{}), onView: onView,
		exchangeSource: &net.TCPAddr{IP: address.IP}, resolvedNames: map[string]resolvedName{}}
	if config.Advertise == "" {
		s.config.Advertise = address.String()
	}
	self := members.Record{
		Name: config.Name, Address: s.config.Advertise, Zone: config.Zone, Kind: config.Kind, RunID: rand.Uint64() | 1,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members.New(self, config.Seeds,
		members.Timing{Period: int64(config.Period), ForgetAfter: int64(config.ForgetAfter)},
		s.now(), rand.IntN, delegate{s})
	s.timer = recovery.AfterFunc(log, "member timer", time.Hour, s.tick)
	s.view = s.members.View()
	return s, nil
}

// Listen also accepts connections of exchanges and operators, on the address of the datagram socket. It is for instances
// without another listener.
func (s *Instance) Listen() (err error) {
	s.listener, err = net.Listen("tcp", s.address.String())
	return err
}

// Address returns the address of the datagram socket.
func (s *Instance) Address() string { return s.address.String() }

// boundAddress returns the address to which a socket was bound, as the port may have been left to the system.
func boundAddress(socket *net.UDPConn, wanted *net.UDPAddr) (*net.UDPAddr, error) {
	if address, ok := socket.LocalAddr().(*net.UDPAddr); ok && address != nil {
		return address, nil
	}
	if wanted.Port == 0 {
		return nil, errUnknownAddress
	}
	return wanted, nil
}

// errUnknownAddress is the error for a socket whose address the system does not tell. It may be transient.
var errUnknownAddress = os.NewSyscallError("getsockname", unix.ENOBUFS)

// now returns the monotonic time in nanoseconds; it is never 0.
func (s *Instance) now() int64 { return int64(time.Since(s.start)) + int64(time.Hour) }

// Serve receives datagrams until Close.
func (s *Instance) Serve() {
	s.log.Info("member",
		zap.String("name", s.config.Name),
		zap.String("listen", s.Address()), zap.String("advertise", s.config.Advertise),
		zap.Strings("seeds", s.config.Seeds))
	if s.listener != nil {
		s.startTask(s.accept)
	}
	s.mu.Lock()
	s.resetTimer()
	s.mu.Unlock()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := s.socket.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			continue // an ICMP error that one of this instance's own datagrams caused
		}
		if message.IsLoadReport(buf[:n]) {
			s.handleLoadReport(buf[:n])
			continue
		}
		m, err := message.DecodeDatagram(buf[:n], s.fleet)
		s.mu.Lock()
		s.counters.DatagramsIn++
		if s.counters.BytesIn += int64(n); errors.Is(err, message.ErrOtherFleet) {
			if s.counters.OtherFleet++; s.counters.OtherFleet == 1 {
				s.log.Warn("words of another fleet come here")
			}
		} else if err != nil {
			s.counters.Malformed++
		} else if !s.closed {
			s.members.HandleMessage(s.now(), m)
			s.resetTimer()
		}
		s.mu.Unlock()
	}
	s.tasks.Wait()
}

// startTask runs f in a goroutine for which Serve waits.
func (s *Instance) startTask(f func()) {
	s.tasks.Add(1)
	recovery.Go(s.log, "member", func() {
		defer s.tasks.Done()
		f()
	}, nil)
}

// tick performs the protocol tasks that are due.
func (s *Instance) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.members.Tick(s.now())
		s.resetTimer()
	}
}

// resetTimer sets the timer to the next due time.
func (s *Instance) resetTimer() {
	s.timer.Reset(min(max(time.Duration(s.members.NextTick()-s.now()), time.Millisecond), time.Hour))
}

// Permissions returns what this instance may do now, given what it knows of the others.
func (s *Instance) Permissions() members.Permissions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Permissions(s.now())
}

// ForwarderCount returns how many forwarders may be alive and sending, or 0 while that is not known.
func (s *Instance) ForwarderCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members.Permissions(s.now()).Senders == 0 {
		return 0
	}
	return s.members.SenderCountOf(members.Forwarder)
}

// OnLoadReport sets the handler for load reports of other routers.
func (s *Instance) OnLoadReport(handler func(*message.LoadReport)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onLoadReport = handler
}

// SendLoadReport sends the report to some random other forwarders.
func (s *Instance) SendLoadReport(report *message.LoadReport, fanout int) {
	datagram, err := message.EncodeLoadReport(report, s.fleet)
	if err != nil {
		s.log.Error("encoding a load report failed", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range s.members.RandomAddresses(members.Forwarder, fanout) {
		if destination, known := (delegate{s}).resolve(address); known {
			s.counters.LoadsOut++
			s.counters.BytesOut += int64(len(datagram))
			s.socket.WriteToUDPAddrPort(datagram, destination)
		}
	}
}

// handleLoadReport handles a load report datagram.
func (s *Instance) handleLoadReport(datagram []byte) {
	report, err := message.DecodeLoadReport(datagram, s.fleet)
	s.mu.Lock()
	s.counters.BytesIn += int64(len(datagram))
	handler := s.onLoadReport
	switch {
	case errors.Is(err, message.ErrOtherFleet):
		s.counters.OtherFleet++
	case err != nil:
		s.counters.Malformed++
	default:
		s.counters.LoadsIn++
	}
	s.mu.Unlock()
	if err == nil && handler != nil {
		handler(report)
	}
}

// KnownMembers returns every member that this instance knows.
func (s *Instance) KnownMembers() []members.KnownMember {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.All(s.now())
}

// Leave announces that this instance leaves, and gives the announcement some time to be sent.
func (s *Instance) Leave() {
	s.mu.Lock()
	s.members.Leave(s.now())
	s.resetTimer()
	s.mu.Unlock()
	time.Sleep(s.config.Period / 2)
}

// Close stops the instance.
func (s *Instance) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.stop)
	s.timer.Stop()
	s.socket.Close()
	if s.listener != nil {
		s.listener.Close()
	}
}

// FleetStatus returns this instance's view of the fleet, for operators.
func (s *Instance) FleetStatus() *message.FleetStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	status := &message.FleetStatus{
		Self: s.members.Self(), View: s.members.View(),
		Permissions: s.members.Permissions(now), Members: s.members.All(now),
		HealthScore: s.members.HealthScore(), Counters: s.counters, Uptime: int64(time.Since(s.start))}
	if status.View.Members = s.view.Members; len(status.View.Members) > message.MaxStatusRecords {
		status.View.Members = status.View.Members[:message.MaxStatusRecords]
	}
	if status.Omitted = max(0, len(status.Members)-message.MaxStatusRecords); status.Omitted > 0 {
		status.Members = status.Members[:message.MaxStatusRecords]
	}
	if conflict, applies := s.members.LastConflict(); applies {
		conflict.FirstSeen, conflict.LastSeen = now-conflict.FirstSeen, now-conflict.LastSeen
		status.Conflict = &conflict
	}
	return status
}

// Remove carries out an operator's request to remove a member.
func (s *Instance) Remove(request *message.Removal) *message.Removal {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &message.Removal{Name: request.Name}
	if s.members.Self().Name == request.Name {
		s.log.Warn("leaves the fleet by an operator's word", zap.String("by", request.By))
		s.members.RemoveSelf(s.now(), request.By)
		answer.Done = true
	} else if answer.Done = s.members.RemoveFailed(s.now(), request.Name, request.By); !answer.Done {
		answer.Reason = "it has not failed as far as this instance knows"
	} else {
		s.log.Warn("called off by an operator's word", zap.String("member", request.Name), zap.String("by", request.By))
	}
	s.resetTimer()
	return answer
}

// delegate implements members.Delegate. Its methods are called with the lock held.
type delegate struct{ *Instance }

// Send sends a datagram. Errors are ignored, as datagrams may be lost anyway.
func (s delegate) Send(to string, m *members.Message) {
	datagram, err := message.EncodeDatagram(m, s.fleet)
	if err != nil {
		s.log.Error("encoding a message failed", zap.Error(err))
		return
	}
	destination, known := s.resolve(to)
	if !known {
		return
	}
	s.counters.DatagramsOut++
	s.counters.BytesOut += int64(len(datagram))
	s.socket.WriteToUDPAddrPort(datagram, destination)
}

// resolvedName is the address of a host name, and when it was last looked up.
type resolvedName struct {
	address    netip.AddrPort
	lookedUpAt time.Time
}

// Bounds of the cache of names. Names are few, as members announce numeric addresses.
const (
	nameCacheTime  = 30 * time.Second
	maxCachedNames = 256
)

// resolve returns the address for a name. Names are looked up in a separate goroutine, so that the lock is not held
// meanwhile; messages are lost until the lookup has finished.
func (s delegate) resolve(name string) (netip.AddrPort, bool) {
	if address, err := netip.ParseAddrPort(name); err == nil {
		return address, true
	}
	cached := s.resolvedNames[name]
	if time.Since(cached.lookedUpAt) > nameCacheTime && (len(s.resolvedNames) < maxCachedNames || cached.address.IsValid()) {
		s.resolvedNames[name] = resolvedName{cached.address, time.Now()}
		s.startTask(func() {
			found, err := net.ResolveUDPAddr("udp", name)
			if err != nil {
				s.log.Info("a name that leads nowhere", zap.String("address", name), zap.Error(err))
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.resolvedNames[name] = resolvedName{found.AddrPort(), time.Now()}
		})
	}
	return cached.address, cached.address.IsValid()
}

// StartExchange starts an exchange, unless one is in progress.
func (s delegate) StartExchange(name, address string) {
	if s.exchanging {
		return
	}
	s.exchanging = true
	s.startTask(func() {
		err := s.runExchange(address)
		s.mu.Lock()
		s.exchanging = false
		s.mu.Unlock()
		if err != nil {
			s.log.Debug("exchange failed", zap.String("with", name), zap.String("address", address), zap.Error(err))
		}
	})
}

// MemberChanged logs a member's new state and its evidence.
func (s delegate) MemberChanged(change members.Change) {
	fields := []zap.Field{
		zap.String("member", change.Record.Name),
		zap.Stringer("health", change.Record.Health),
		zap.Stringer("kind", change.Record.Kind),
		zap.Uint32("incarnation", change.Record.Incarnation), zap.String("via", change.Via)}
	if change.Known {
		fields = append(fields, zap.Stringer("was", change.Previous))
	}
	if change.NewRun {
		fields = append(fields, zap.Bool("new life", true))
	}
	if change.Record.Health >= members.Suspect {
		fields = append(fields, zap.String("by", change.Record.By), zap.Strings("witnesses", change.Accusers))
		if change.SilentFor >= 0 {
			fields = append(fields, zap.Duration("silent", time.Duration(change.SilentFor)))
		}
	}
	s.log.Info("member", fields...)
}

// ViewChanged logs a new view and passes it on.
func (s delegate) ViewChanged(view members.View) {
	s.view = view
	s.log.Info("view",
		zap.Uint64("number", view.Number),
		zap.String("digest", fmt.Sprintf("%016x", view.Digest)), zap.Int("members", len(view.Members)),
		zap.Stringer("situation", s.members.Situation(s.now())))
	if s.onView != nil {
		s.startTask(func() { s.onView(view) })
	}
}

// ViewConflictFound logs a view conflict.
func (s delegate) ViewConflictFound(conflict members.ViewConflict) {
	s.log.Warn("another has a view of this number with other members",
		zap.Uint64("number", conflict.Number),
		zap.String("who", conflict.Reporter),
		zap.String("digest", fmt.Sprintf("%016x", conflict.Digest)), zap.Duration("since", time.Duration(s.now()-conflict.FirstSeen)))
}

// Resumed logs that this instance was paused.
func (s delegate) Resumed(pausedFor int64) {
	s.log.Warn("this instance was away",
		zap.Duration("for", time.Duration(pausedFor)), zap.Uint32("incarnation", s.members.Self().Incarnation))
}

// DuplicateName logs another process with this instance's name.
func (s delegate) DuplicateName(other members.Record, newName string) {
	if newName == "" {
		s.log.Error("another process has this one's name and has to take another",
			zap.String("name", other.Name), zap.String("there", other.Address))
		return
	}
	s.log.Error("another process has this one's name, so it takes another",
		zap.String("name", other.Name),
		zap.String("there", other.Address),
		zap.String("now", newName))
}

// accept accepts connections of exchanges and operators, if no other listener does.
func (s *Instance) accept() {
	for {
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(s.config.Period)
			continue
		}
		s.startTask(func() {
			conn := message.NewConn(socket)
			defer socket.Close()
			frame, err := conn.Read(frameTimeout)
			if err == nil && frame.Hello == nil {
				err = errors.New("hello comes first")
			}
			if err == nil {
				err = conn.Write(&message.Frame{
					Hello: &message.Hello{Version: message.Version, Kind: message.Member, Name: s.config.Name},
				}, frameTimeout)
			}
			for err == nil {
				if frame, err = conn.Read(frameTimeout); err == nil {
					err = s.HandleFrame(conn, frame)
				}
			}
			if !errors.Is(err, io.EOF) {
				s.log.Info("hung up", zap.Stringer("from", socket.RemoteAddr()), zap.Error(err))
				conn.CloseWithReason(err)
			}
		})
	}
}

// HandleFrame handles a frame on a connection after its Hello: an exchange that another member starts, or an
// operator's request.
func (s *Instance) HandleFrame(conn *message.Conn, frame *message.Frame) error {
	switch {
	case frame.Chunk != nil && len(frame.Chunk.Checksums) == members.BucketCount:
		return s.serveExchange(conn, frame.Chunk)
	case frame.FleetStatus != nil:
		return conn.Write(&message.Frame{FleetStatus: s.FleetStatus()}, frameTimeout)
	case frame.Removal != nil:
		return conn.Write(&message.Frame{Removal: s.Remove(frame.Removal)}, frameTimeout)
	case frame.CloseReason != "":
		return errors.New(frame.CloseReason)
	}
	return errors.New("this frame is not accepted here")
}
