// Package peer sends datagrams between the routers that are listed in the settings, to one of them or to all.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/dispatch"
)

// maxDatagramBytes is the maximum size of a datagram, as the protocol specifies it.
const maxDatagramBytes = 256

// readRetryDelay is the pause after a failed read of the socket.
const readRetryDelay = 5 * time.Millisecond

// Peers sends datagrams to the other routers and receives theirs.
type Peers struct {
	dispatcher *dispatch.Dispatcher
	log        *zap.Logger
	socket     *net.UDPConn
	self       int
	addresses  []netip.AddrPort // by router number in the settings, including its own; invalid if not resolved
	broadcast  netip.AddrPort   // reaches all other routers
}

// Listen opens the socket for datagrams of other routers. routers are the addresses of all routers by number, broadcast
// reaches all others, and self is this router's own number.
func Listen(address string, routers []string, broadcast string, self int,
	dispatcher *dispatch.Dispatcher, log *zap.Logger) (*Peers, error) {
	p := &Peers{dispatcher: dispatcher, log: log, self: self}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	listenAddress := resolve(ctx, address)
	if !listenAddress.IsValid() {
		return nil, fmt.Errorf("cannot resolve the listen address %q", address)
	}
	for _, router := range routers {
		p.addresses = append(p.addresses, resolve(ctx, router))
	}
	p.broadcast = resolve(ctx, broadcast)
	var err error
	p.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddress))
	return p, err
}

// lookupTimeout bounds the time in which all names together are resolved: the router's start waits for it, and with
// hundreds of routers and no name service, every lookup would take seconds.
const lookupTimeout = time.Second

// resolve returns the address for a name, or the zero address, to which nothing is sent, if the name is not resolved
// in time.
func resolve(ctx context.Context, address string) netip.AddrPort {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		return parsed
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return netip.AddrPort{}
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return netip.AddrPort{}
	}
	addresses, err := net.DefaultResolver.LookupNetIP(ctx, "ip4", host)
	if err != nil || len(addresses) == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addresses[0].Unmap(), uint16(number))
}

// Receive passes datagrams of the other routers to the dispatcher, until Close. Datagrams from unknown addresses are
// dropped.
func (p *Peers) Receive() {
	var buffer [maxDatagramBytes + 1]byte
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay) // so that a persistent error does not occupy a core
			continue
		}
		if n > maxDatagramBytes {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		for index, address := range p.addresses {
			if address == from && index != p.self {
				p.dispatcher.PeerMessageReceived(index, buffer[:n])
				break
			}
		}
	}
}

// Send sends a datagram to one router, or to all others if to is negative.
func (p *Peers) Send(to int, datagram []byte) {
	address := p.broadcast
	if to >= 0 {
		if to >= len(p.addresses) {
			return
		}
		address = p.addresses[to]
	}
	if !address.IsValid() || len(datagram) > maxDatagramBytes {
		return
	}
	if _, err := p.socket.WriteToUDPAddrPort(datagram, address); err != nil {
		p.log.Warn("words to other routers", zap.Error(err))
	}
}

// Close closes the socket, which ends Receive.
func (p *Peers) Close() { p.socket.Close() }
