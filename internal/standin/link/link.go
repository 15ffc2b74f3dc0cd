// Package link has relays that stand between processes, for datagrams and connections alike: they lose, double and delay what
// comes, cut one way or both, and keep ledgers of what passed.
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

// Weather is how the network is at a moment. Its zero value is a whole network.
type Weather struct {
	Cut func(from, to int) bool // nothing passes this way; nil: all does
	// Way is how one directed way is; nil: all are whole.
	Way  func(from, to int) Way
	Mute func(from, to int) bool // what is said this way over connections stays under way; nil: nothing does
	Old  bool                    // datagrams that are kept stay kept; else they come now
}

// Way is how a directed way between two is. Its zero value is a whole one.
type Way struct {
	Loss   float64       // part of the datagrams that is lost
	Double float64       // part that comes twice
	Late   float64       // part that comes later,
	Span   time.Duration // by up to that
	Old    float64       // part that comes once more, when that is over
	Rate   int           // bytes a second that a connection carries; 0: any number
}

// way is that between two.
func (w *Weather) way(from, to int) Way {
	if w.Way == nil {
		return Way{}
	}
	return w.Way(from, to)
}

// Network is some relays under one weather.
type Network struct {
	// Who tells a sender by its address: each process has an address of its own. Below 0: nobody's.
	Who func(ip net.IP) int

	mu      sync.Mutex
	weather Weather
	chance  *rand.Rand
	relays  []*Relay
	old     []func()      // datagrams to come once more
	changed chan struct{} // closed when the weather changes
	// Datagrams, Lost and Bytes count what came, what was not passed on, and the bytes of all.
	Datagrams, Lost, Bytes, Connections atomic.Int64
}

// New is a network without relays; seed is that of its losses.
func New(seed uint64, who func(ip net.IP) int) *Network {
	return &Network{Who: who, chance: rand.New(rand.NewPCG(seed, 3)), changed: make(chan struct{})}
}

// Set changes the weather. Connections that a cut concerns end.
func (n *Network) Set(w Weather) {
	n.mu.Lock()
	n.weather = w
	relays := n.relays
	close(n.changed)
	n.changed = make(chan struct{})
	var old []func()
	if !w.Old {
		old, n.old = n.old, nil
	}
	n.mu.Unlock()
	for _, again := range old {
		again()
	}
	for _, r := range relays {
		r.sever()
	}
}

// mostOld bounds the datagrams that are kept to come once more.
const mostOld = 20000

// fate is what becomes of a datagram: how often it comes, and how much later.
func (n *Network) fate(from, to int, again func()) (times int, late time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.weather.way(from, to)
	if n.weather.Cut != nil && n.weather.Cut(from, to) || n.chance.Float64() < w.Loss {
		return 0, 0
	}
	times = 1
	if n.chance.Float64() < w.Double {
		times = 2
	}
	if w.Old > 0 && len(n.old) < mostOld && n.chance.Float64() < w.Old {
		n.old = append(n.old, again)
	}
	if w.Late > 0 && n.chance.Float64() < w.Late {
		late = time.Duration(n.chance.Float64() * float64(w.Span))
	}
	return times, late
}

// mute tells whether what is said this way stays under way, how fast a connection is, and what is closed when that changes.
func (n *Network) mute(from, to int) (mute bool, rate int, changed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.weather.Mute != nil && n.weather.Mute(from, to), n.weather.way(from, to).Rate, n.changed
}

func (n *Network) cut(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.weather.Cut != nil && n.weather.Cut(from, to)
}

// Relay is one address that stands for an instance.
type Relay struct {
	Address string

	net      *Network
	from, to int // from below 0: told by the address
	real     atomic.Pointer[string]
	sock     *net.UDPConn
	listener net.Listener
	mu       sync.Mutex
	conns    map[*passage]struct{}

	// Toward and Back count what passes over connections to the instance, and from it.
	Toward, Back FrameCount
}

// FrameCount counts bytes of connections, and the frames of package message among them.
type FrameCount struct{ Bytes, Frames atomic.Int64 }

// frameReader finds where frames begin in one way of a connection: each is a length in four bytes and as many bytes behind it.
type frameReader struct {
	count  *FrameCount
	length uint32 // as far as its bytes have come
	have   int    // bytes of the length that have come
	left   int64  // bytes of the frame that are to come
}

// lengthBytes is the size of a frame's length.
const lengthBytes = 4

func (f *frameReader) passed(text []byte) {
	f.count.Bytes.Add(int64(len(text)))
	for len(text) > 0 {
		if f.left > 0 {
			skip := min(f.left, int64(len(text)))
			f.left -= skip
			text = text[skip:]
			continue
		}
		f.length = f.length<<8 | uint32(text[0])
		f.have++
		text = text[1:]
		if f.have == lengthBytes {
			f.count.Frames.Add(1)
			f.left = int64(f.length)
			f.length, f.have = 0, 0
		}
	}
}

// passage is a connection that passes.
type passage struct {
	from    int
	in, out net.Conn
}

// Relay opens an address that stands for an instance. From is who uses it, or below 0 for whoever does.
func (n *Network) Relay(from, to int) (*Relay, error) {
	for range 20 { // the same port has to be free for both
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		at := l.Addr().(*net.TCPAddr)
		sock, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
		if err != nil {
			l.Close()
			continue
		}
		r := &Relay{Address: l.Addr().String(), net: n, from: from, to: to, sock: sock, listener: l, conns: map[*passage]struct{}{}}
		n.mu.Lock()
		n.relays = append(n.relays, r)
		n.mu.Unlock()
		go r.datagrams()
		go r.accept()
		return r, nil
	}
	return nil, errors.New("link: no port is free for datagrams and connections")
}

// To is the instance that the relay stands for.
func (r *Relay) To() int { return r.to }

// Lead says where the instance is now.
func (r *Relay) Lead(address string) { r.real.Store(&address) }

func (r *Relay) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		k, src, err := r.sock.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		to := r.real.Load()
		if err != nil || to == nil {
			continue
		}
		r.net.Datagrams.Add(1)
		r.net.Bytes.Add(int64(k))
		from := r.from
		if from < 0 {
			from = r.net.Who(src.IP)
		}
		at, err := net.ResolveUDPAddr("udp", *to)
		if err != nil {
			continue
		}
		text := append([]byte(nil), buf[:k]...)
		times, late := r.net.fate(from, r.to, func() { r.sock.WriteToUDP(text, at) })
		if times == 0 {
			r.net.Lost.Add(1)
			continue
		}
		if late == 0 {
			for range times {
				r.sock.WriteToUDP(text, at)
			}
			continue
		}
		time.AfterFunc(late, func() { // one whose relay has closed meanwhile is lost
			for range times {
				r.sock.WriteToUDP(text, at)
			}
		})
	}
}

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
		r.net.Connections.Add(1)
		go r.pass(in)
	}
}

// pass carries a connection, until it ends or a cut of either way ends it.
func (r *Relay) pass(in net.Conn) {
	defer in.Close()
	from := r.from
	if from < 0 {
		from = r.net.Who(in.RemoteAddr().(*net.TCPAddr).IP)
	}
	to := r.real.Load()
	if to == nil || r.net.cut(from, r.to) || r.net.cut(r.to, from) {
		time.Sleep(50 * time.Millisecond) // it hangs a little, as one that nobody answers
		return
	}
	out, err := net.DialTimeout("tcp", *to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	p := &passage{from: from, in: in, out: out}
	r.mu.Lock()
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	done, over := make(chan struct{}, 2), make(chan struct{})
	go func() { r.net.carry(out, in, from, r.to, over, &r.Toward); done <- struct{}{} }()
	go func() { r.net.carry(in, out, r.to, from, over, &r.Back); done <- struct{}{} }()
	<-done
	close(over)
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// carry carries one way of a connection until it ends. What comes while that way is mute waits, as what a peer does not
// acknowledge does, and the sender is stopped by its window in the end.
func (n *Network) carry(dst io.Writer, src io.Reader, from, to int, over chan struct{}, count *FrameCount) {
	buf := make([]byte, 16<<10)
	frames := frameReader{count: count}
	for {
		k, err := src.Read(buf)
		for {
			mute, rate, changed := n.mute(from, to)
			if !mute {
				if rate > 0 {
					time.Sleep(time.Duration(k) * time.Second / time.Duration(rate))
				}
				break
			}
			select {
			case <-changed:
			case <-over:
				return
			}
		}
		if k > 0 {
			if _, werr := dst.Write(buf[:k]); werr != nil {
				return
			}
			frames.passed(buf[:k])
		}
		if err != nil {
			return
		}
	}
}

// sever ends the connections that a cut concerns.
func (r *Relay) sever() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		if r.net.cut(p.from, r.to) || r.net.cut(r.to, p.from) {
			p.in.Close()
			p.out.Close()
		}
	}
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	relays := n.relays
	n.mu.Unlock()
	for _, r := range relays {
		r.sock.Close()
		r.listener.Close()
		r.mu.Lock()
		for p := range r.conns {
			p.in.Close()
			p.out.Close()
		}
		r.mu.Unlock()
	}
}

// String tells the ledger.
func (n *Network) String() string {
	return fmt.Sprintf("%d datagrams of %d bytes, %d lost, %d connections", n.Datagrams.Load(), n.Bytes.Load(), n.Lost.Load(), n.Connections.Load())
}
