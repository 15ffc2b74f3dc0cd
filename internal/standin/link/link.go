// Package link provides relays for datagrams and connections between processes. They drop, duplicate and delay
// traffic, block one direction or both, and count what passes.
package link

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conditions are the state of the network at a moment. The zero value has no faults.
type Conditions struct {
	Partitioned func(from, to int) bool // nothing passes in this direction; nil: everything does
	// Path gives the faults of each direction; nil: none.
	Path        func(from, to int) Path
	Stalled     func(from, to int) bool // data on connections is held back in this direction; nil: none is
	KeepReplays bool                    // replayed datagrams stay stored; otherwise they are delivered when these conditions are set
}

// Path is the state of the direction from one instance to another. The zero value has no faults.
type Path struct {
	Loss           float64       // share of the datagrams that is lost
	Duplicate      float64       // share that is delivered twice
	Delayed        float64       // share that is delayed
	MaxDelay       time.Duration // upper limit of the delay, which is uniformly distributed
	Replay         float64       // share that is stored, and delivered once more when KeepReplays is no longer set
	BytesPerSecond int           // rate limit of a connection; 0: none
}

// path returns the state of one direction.
func (c *Conditions) path(from, to int) Path {
	if c.Path == nil {
		return Path{}
	}
	return c.Path(from, to)
}

// Network is a set of relays under common conditions.
type Network struct {
	// InstanceAt identifies a sender by its IP address, as each process has an address of its own. A negative
	// result means an unknown sender.
	InstanceAt func(ip net.IP) int

	mu         sync.Mutex
	conditions Conditions
	random     *rand.Rand
	relays     []*Relay
	replays    []func()      // deliver the stored datagrams
	changed    chan struct{} // closed when the conditions change
	// Datagrams, Lost and Bytes count all datagrams received, those of them not passed on, and the bytes of
	// all. Connections counts those accepted.
	Datagrams, Lost, Bytes, Connections atomic.Int64
}

// New returns a network without relays. The seed is that of datagram faults.
func New(seed uint64, instanceAt func(ip net.IP) int) *Network {
	return &Network{InstanceAt: instanceAt, random: rand.New(rand.NewPCG(seed, 3)), changed: make(chan struct{})}
}

// SetConditions changes the conditions. Connections across a partition are closed.
func (n *Network) SetConditions(conditions Conditions) {
	n.mu.Lock()
	n.conditions = conditions
	relays := n.relays
	close(n.changed)
	n.changed = make(chan struct{})
	var replays []func()
	if !conditions.KeepReplays {
		replays, n.replays = n.replays, nil
	}
	n.mu.Unlock()
	for _, replay := range replays {
		replay()
	}
	for _, r := range relays {
		r.closePartitioned()
	}
}

// maxReplays limits the datagrams that are stored to be delivered again.
const maxReplays = 20000

// drawDelivery draws what becomes of a datagram: how often it is delivered, and with what delay. replay
// delivers it once more.
func (n *Network) drawDelivery(from, to int, replay func()) (copies int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := n.conditions.path(from, to)
	if n.conditions.Partitioned != nil && n.conditions.Partitioned(from, to) || n.random.Float64() < path.Loss {
		return 0, 0
	}
	copies = 1
	if n.random.Float64() < path.Duplicate {
		copies = 2
	}
	if path.Replay > 0 && len(n.replays) < maxReplays && n.random.Float64() < path.Replay {
		n.replays = append(n.replays, replay)
	}
	if path.Delayed > 0 && n.random.Float64() < path.Delayed {
		delay = time.Duration(n.random.Float64() * float64(path.MaxDelay))
	}
	return copies, delay
}

// stalled reports whether data is held back in this direction, and returns the rate limit of connections and a
// channel that is closed when the conditions change.
func (n *Network) stalled(from, to int) (stalled bool, rate int, changed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conditions.Stalled != nil && n.conditions.Stalled(from, to), n.conditions.path(from, to).BytesPerSecond, n.changed
}

// partitioned reports whether nothing passes in this direction.
func (n *Network) partitioned(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conditions.Partitioned != nil && n.conditions.Partitioned(from, to)
}

// Relay is an address that stands for an instance.
type Relay struct {
	Address string

	network  *Network
	from, to int // from is negative if the sender is identified by its address
	target   atomic.Pointer[string]
	socket   *net.UDPConn
	listener net.Listener
	mu       sync.Mutex
	conns    map[*relayedConn]struct{}

	// ToInstance and FromInstance count what connections carry to the instance, and from it.
	ToInstance, FromInstance FrameCount
}

// FrameCount counts the bytes of connections, and the frames of package message in them.
type FrameCount struct{ Bytes, Frames atomic.Int64 }

// frameCounter finds frames in one direction of a connection. A frame is a length in four bytes, followed by as
// many bytes.
type frameCounter struct {
	count      *FrameCount
	length     uint32 // the part of the current length that has arrived
	lengthRead int    // bytes of it that have arrived
	remaining  int64  // bytes of the current frame still to come
}

// lengthBytes is the size of a frame's length field.
const lengthBytes = 4

// add counts the next bytes of the connection.
func (f *frameCounter) add(data []byte) {
	f.count.Bytes.Add(int64(len(data)))
	for len(data) > 0 {
		if f.remaining > 0 {
			skip := min(f.remaining, int64(len(data)))
			f.remaining -= skip
			data = data[skip:]
			continue
		}
		f.length = f.length<<8 | uint32(data[0])
		f.lengthRead++
		data = data[1:]
		if f.lengthRead == lengthBytes {
			f.count.Frames.Add(1)
			f.remaining = int64(f.length)
			f.length, f.lengthRead = 0, 0
		}
	}
}

// relayedConn is a connection through a relay.
type relayedConn struct {
	from    int
	in, out net.Conn
}

// AddRelay opens an address that stands for instance to. from is the instance that uses it, or negative if
// senders are identified by their address.
func (n *Network) AddRelay(from, to int) (*Relay, error) {
	for range 20 { // datagrams and connections need the same port, which may be taken for one of them
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		address := listener.Addr().(*net.TCPAddr)
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP, Port: address.Port})
		if err != nil {
			listener.Close()
			continue
		}
		r := &Relay{Address: listener.Addr().String(), network: n, from: from, to: to, socket: socket, listener: listener,
			conns: map[*relayedConn]struct{}{}}
		n.mu.Lock()
		n.relays = append(n.relays, r)
		n.mu.Unlock()
		go r.relayDatagrams()
		go r.accept()
		return r, nil
	}
	return nil, errors.New("link: found no port that is free for both UDP and TCP")
}

// To returns the instance that the relay stands for.
func (r *Relay) To() int { return r.to }

// SetTarget sets the instance's current address.
func (r *Relay) SetTarget(address string) { r.target.Store(&address) }

// relayDatagrams relays datagrams to the instance until the relay is closed.
func (r *Relay) relayDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		size, src, err := r.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		target := r.target.Load()
		if err != nil || target == nil {
			continue
		}
		r.network.Datagrams.Add(1)
		r.network.Bytes.Add(int64(size))
		from := r.from
		if from < 0 {
			from = r.network.InstanceAt(src.IP)
		}
		targetAddress, err := net.ResolveUDPAddr("udp", *target)
		if err != nil {
			continue
		}
		datagram := append([]byte(nil), buffer[:size]...)
		copies, delay := r.network.drawDelivery(from, r.to, func() { r.socket.WriteToUDP(datagram, targetAddress) })
		if copies == 0 {
			r.network.Lost.Add(1)
			continue
		}
		if delay == 0 {
			for range copies {
				r.socket.WriteToUDP(datagram, targetAddress)
			}
			continue
		}
		time.AfterFunc(delay, func() { // lost if the relay is closed by then
			for range copies {
				r.socket.WriteToUDP(datagram, targetAddress)
			}
		})
	}
}

// accept relays each new connection, until the relay is closed.
func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		r.network.Connections.Add(1)
		go r.relayConnection(in)
	}
}

// relayConnection relays a connection until it ends or a partition closes it.
func (r *Relay) relayConnection(in net.Conn) {
	defer in.Close()
	from := r.from
	if from < 0 {
		from = r.network.InstanceAt(in.RemoteAddr().(*net.TCPAddr).IP)
	}
	target := r.target.Load()
	if target == nil || r.network.partitioned(from, r.to) || r.network.partitioned(r.to, from) {
		time.Sleep(50 * time.Millisecond) // like a connection attempt that nobody answers
		return
	}
	out, err := net.DialTimeout("tcp", *target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	relayed := &relayedConn{from: from, in: in, out: out}
	r.mu.Lock()
	r.conns[relayed] = struct{}{}
	r.mu.Unlock()
	done, ended := make(chan struct{}, 2), make(chan struct{})
	go func() { r.network.forward(out, in, from, r.to, ended, &r.ToInstance); done <- struct{}{} }()
	go func() { r.network.forward(in, out, r.to, from, ended, &r.FromInstance); done <- struct{}{} }()
	<-done
	close(ended)
	r.mu.Lock()
	delete(r.conns, relayed)
	r.mu.Unlock()
}

// forward copies one direction of a connection until it ends. While that direction is stalled, data waits like
// data that a peer does not acknowledge, and in the end the sender's window fills.
func (n *Network) forward(dst io.Writer, src io.Reader, from, to int, ended chan struct{}, count *FrameCount) {
	buffer := make([]byte, 16<<10)
	frames := frameCounter{count: count}
	for {
		size, err := src.Read(buffer)
		for {
			stalled, rate, changed := n.stalled(from, to)
			if !stalled {
				if rate > 0 {
					time.Sleep(time.Duration(size) * time.Second / time.Duration(rate))
				}
				break
			}
			select {
			case <-changed:
			case <-ended:
				return
			}
		}
		if size > 0 {
			if _, writeErr := dst.Write(buffer[:size]); writeErr != nil {
				return
			}
			frames.add(buffer[:size])
		}
		if err != nil {
			return
		}
	}
}

// closePartitioned closes the connections across a partition.
func (r *Relay) closePartitioned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for relayed := range r.conns {
		if r.network.partitioned(relayed.from, r.to) || r.network.partitioned(r.to, relayed.from) {
			relayed.in.Close()
			relayed.out.Close()
		}
	}
}

// Close closes all relays and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	relays := n.relays
	n.mu.Unlock()
	for _, r := range relays {
		r.socket.Close()
		r.listener.Close()
		r.mu.Lock()
		for relayed := range r.conns {
			relayed.in.Close()
			relayed.out.Close()
		}
		r.mu.Unlock()
	}
}

// String summarizes the counters.
func (n *Network) String() string {
	return fmt.Sprintf("%d datagrams of %d bytes, %d lost, %d connections", n.Datagrams.Load(), n.Bytes.Load(),
		n.Lost.Load(), n.Connections.Load())
}
