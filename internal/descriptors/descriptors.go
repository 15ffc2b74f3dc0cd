// Package descriptors keeps the process within its limit of file descriptors, and opens connections even
// when others have used up the limit.
package descriptors

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Retries of a connection that found no free descriptor. By then the connection closed by CloseIdle has freed one.
const (
	MaxWait        = 100 * time.Millisecond // the longest wait for a free descriptor
	dialRetryDelay = 5 * time.Millisecond
)

// Available returns how many descriptors the process may use: the configured number, or the limit of the
// system if that is lower.
func Available(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	return int(limit.Cur)
}

// exhaustionErrors are the errors of calls that failed because this process or machine has run out of
// descriptors, buffers, ports or epoll entries, or because the call was interrupted. They say nothing
// about the remote side.
var exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENOSPC}

// isDescriptorLimit reports whether a call failed only because no descriptor was free.
func isDescriptorLimit(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// IsExhausted reports whether a call failed because a local resource ran out.
func IsExhausted(err error) bool {
	for _, exhaustion := range exhaustionErrors {
		if errors.Is(err, exhaustion) {
			return true
		}
	}
	return false
}

// IsTimeout reports whether a call ran out of time. It checks the error rather than the context, whose own
// timer may fire later.
func IsTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Dialer opens connections. It retries when a local resource ran out, and calls CloseIdle before that if it
// was descriptors. The nil Dialer only retries.
type Dialer struct {
	CloseIdle func()                                                 // closes an idle connection; nil: none is closed
	Control   func(network, address string, c syscall.RawConn) error // as in net.Dialer; for tests
	Wrap      func(net.Conn) net.Conn                                // replaces each connection; for tests
}

// Dial connects to a TCP address before ctx ends, and waits for a free descriptor up to MaxWait.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.DialWithin(ctx, address, MaxWait)
}

// DialWithin is Dial with a shorter wait for a free descriptor. It tries twice at least.
func (d *Dialer) DialWithin(ctx context.Context, address string, wait time.Duration) (net.Conn, error) {
	var dialer net.Dialer
	if d != nil {
		dialer.Control = d.Control
	}
	var exhausted error
	for waited := time.Duration(0); ; waited += dialRetryDelay {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if exhausted != nil && IsTimeout(err) {
			return nil, exhausted // the cause, rather than the timeout that followed
		}
		if err == nil && d != nil && d.Wrap != nil {
			conn = d.Wrap(conn)
		}
		if err == nil || !IsExhausted(err) || waited > 0 && waited+dialRetryDelay > wait {
			return conn, err
		}
		exhausted = err
		if d != nil && d.CloseIdle != nil && isDescriptorLimit(err) {
			d.CloseIdle()
		}
		select {
		case <-ctx.Done():
			return nil, exhausted
		case <-time.After(dialRetryDelay):
		}
	}
}
