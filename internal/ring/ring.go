// Package ring provides the buffer between a socket and a parser, one for each direction of a connection, and queries
// of a socket's state.
package ring

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"
)

// InitialSize is the initial size of a connection's buffers in bytes: a page of memory.
const InitialSize = 4096

// System calls, replaced by tests to make them fail.
var (
	recvfrom = syscall.Recvfrom
	poll     = unix.Poll
)

// PastDeadline is a deadline in the past. Set on a socket, it wakes the goroutine that reads from it.
var PastDeadline = time.Unix(1, 0)

// HasPending reports whether unread bytes, or the end of the stream, are pending on a socket. It looks even if the
// socket's read deadline has passed, where a read would return without looking.
func HasPending(socket net.Conn) (pending bool) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		for err == syscall.EINTR { // the call was interrupted before it looked
			_, _, err = recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		pending = err != syscall.EAGAIN
	})
	return pending || err != nil
}

// withDescriptor calls f with a socket's file descriptor, and reports whether it could.
func withDescriptor(socket net.Conn, f func(fd int)) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// PeerClosed reports whether the peer has shut down its sending side or the connection is broken, even if unread
// bytes are pending. Where the system can't tell, it returns false.
func PeerClosed(socket net.Conn) (closed bool) {
	withDescriptor(socket, func(fd int) { closed = peerClosed(fd) })
	return closed
}

// peerClosed is PeerClosed for a file descriptor.
func peerClosed(fd int) bool { return hasEvents(fd, unix.POLLRDHUP) }

// hasEvents reports whether a descriptor has any of the events, or an error, now.
func hasEvents(fd int, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := poll(fds, 0)
	for err == unix.EINTR || err == unix.EAGAIN { // the call was interrupted before it looked
		n, err = poll(fds, 0)
	}
	return err == nil && n > 0 && fds[0].Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
}

// ShutdownWrite shuts a socket for writing if the condition holds, which is asked right before the system call, and
// reports whether it held. A socket that is none of the operating system's is left as it is.
func ShutdownWrite(socket net.Conn, condition func() bool) (held bool) {
	inSystem := withDescriptor(socket, func(fd int) {
		held = condition()
		if held {
			unix.Shutdown(fd, unix.SHUT_WR) // fails only if the connection has ended already
		}
	})
	return held || !inSystem
}

// HasPendingAccept reports whether a connection is waiting to be accepted. Where the system can't tell, it returns
// false.
func HasPendingAccept(listener net.Listener) (pending bool) {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { pending = hasEvents(int(fd), unix.POLLIN) })
	return pending
}

// AcceptQueueLength returns how many connections wait to be accepted, and whether the system can tell.
func AcceptQueueLength(listener net.Listener) (length int, ok bool) {
	conn, isSystem := listener.(syscall.Conn)
	if !isSystem {
		return 0, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			length, ok = int(info.Unacked), true // of a listener, Linux reports the length of its queue here
		}
	})
	return length, ok
}

// AwaitPeerClose waits, without reading, until the peer has shut down its sending side, and then returns io.EOF. If
// the read deadline passes first, it returns nil. It returns ErrNotPollable at once for a socket that does not
// support this.
func AwaitPeerClose(socket net.Conn) error {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return ErrNotPollable
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	switch err = raw.Read(func(fd uintptr) bool { return peerClosed(int(fd)) }); {
	case err == nil:
		return io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	}
	return err
}

// ErrNotPollable is the error for a socket that can't be waited for without reading.
var ErrNotPollable = errors.New("ring: not a socket of the operating system")

// UnacknowledgedBytes returns how many sent bytes the peer has not acknowledged, counting the end of the stream as
// one; 0 where the system can't tell.
func UnacknowledgedBytes(socket net.Conn) (n int) {
	withDescriptor(socket, func(fd int) {
		if queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// ErrFull is the error for data that exceeds the size of the buffer or the budget of all buffers.
var ErrFull = errors.New("ring: full")

// Budget bounds the memory of all buffers that share it, beyond their initial sizes. A nil Budget has no bound.
type Budget struct {
	total     int64
	available *semaphore.Weighted
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget { return &Budget{bytes, semaphore.NewWeighted(bytes)} }

// acquire waits until n bytes are available, or the deadline has passed.
func (b *Budget) acquire(n int64, deadline time.Time) bool {
	if b == nil || b.available.TryAcquire(n) {
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return n <= b.total && b.available.Acquire(ctx, n) == nil
}

// TryAcquire takes n bytes if they are available now, for Release to return.
func (b *Budget) TryAcquire(n int) bool { return b == nil || b.available.TryAcquire(int64(n)) }

// tryAcquireSpare takes n bytes if half of the budget is left then.
func (b *Budget) tryAcquireSpare(n int64) bool {
	if b == nil {
		return true
	}
	reserve := b.total / 2
	if !b.available.TryAcquire(n + reserve) {
		return false
	}
	b.available.Release(reserve)
	return true
}

// Release returns bytes that TryAcquire took.
func (b *Budget) Release(n int) { b.release(int64(n)) }

// release returns n bytes to the budget.
func (b *Budget) release(n int64) {
	if b != nil && n > 0 {
		b.available.Release(n)
	}
}

// Ring is a FIFO buffer of bytes. It is not safe for concurrent use.
type Ring struct {
	buf                  []byte
	start, length        int // of the buffered bytes; they wrap around the end of buf
	initialSize, maxSize int
	budget               *Budget
	budgetBytes          int64 // taken from the budget
}

// New returns an empty buffer with an initial and a maximum size in bytes.
func New(initialSize, maxSize int, budget *Budget) *Ring {
	return &Ring{initialSize: initialSize, maxSize: max(initialSize, maxSize), budget: budget}
}

// Len returns the number of buffered bytes.
func (r *Ring) Len() int { return r.length }

// FreeSpace returns how many more bytes fit without Reserve.
func (r *Ring) FreeSpace() int { return max(len(r.buf), r.initialSize) - r.length }

// Reserve grows the buffer so that it can hold size bytes in all. It waits for the budget until the deadline.
// Meanwhile it returns what it has already taken from the budget, so that buffers do not wait for each other.
func (r *Ring) Reserve(size int, deadline time.Time) error {
	if size <= len(r.buf) {
		return nil
	}
	newSize, budgetBytes := r.initialSize, int64(0)
	if size > r.initialSize {
		if size > r.maxSize {
			return ErrFull
		}
		newSize, budgetBytes = size, int64(size-r.initialSize)
		r.budget.release(r.budgetBytes)
		r.budgetBytes = 0
		if !r.budget.acquire(budgetBytes, deadline) {
			return ErrFull
		}
	}
	r.resize(newSize)
	r.budgetBytes = budgetBytes
	return nil
}

// ReserveMore is Reserve for the next read of a message of size bytes in all. It grows a full buffer to twice its size,
// so that the memory follows the bytes that have come, not those that are announced.
func (r *Ring) ReserveMore(size int, deadline time.Time) error {
	if r.length < len(r.buf) {
		return nil
	}
	return r.Reserve(r.nextSize(size), deadline)
}

// TryReserveMore is ReserveMore without waiting for the budget. If it fails, the buffer is as before.
func (r *Ring) TryReserveMore(size int) error {
	if r.length < len(r.buf) {
		return nil
	}
	newSize := r.nextSize(size)
	if newSize > r.maxSize {
		return ErrFull
	}
	more := newSize - max(len(r.buf), r.initialSize)
	if more > 0 && !r.budget.TryAcquire(more) {
		return ErrFull
	}
	r.budgetBytes += int64(more)
	r.resize(newSize)
	return nil
}

// TryExtend doubles a full buffer beyond the size of a message, up to limit bytes, if the budget then has half of its
// bytes left for others. If it fails, the buffer is as before.
func (r *Ring) TryExtend(limit int) error {
	newSize := min(2*len(r.buf), limit)
	more := newSize - len(r.buf)
	if more <= 0 || !r.budget.tryAcquireSpare(int64(more)) {
		return ErrFull
	}
	r.budgetBytes += int64(more)
	r.resize(newSize)
	return nil
}

// nextSize returns the size to which a full buffer grows for a message of size bytes in all.
func (r *Ring) nextSize(size int) int { return max(r.initialSize, min(size, 2*len(r.buf))) }

// resize moves the buffered bytes to a new buffer.
func (r *Ring) resize(size int) {
	larger := allocate(size)
	r.replace(larger)
}

// replace moves the buffered bytes to another buffer.
func (r *Ring) replace(buffer []byte) {
	r.copyTo(buffer)
	recycle(r.buf)
	r.buf, r.start = buffer, 0
}

// copyTo copies the buffered bytes to the start of a slice.
func (r *Ring) copyTo(to []byte) {
	n := copy(to, r.buf[r.start:min(r.start+r.length, len(r.buf))])
	copy(to[n:], r.buf[:r.length-n])
}

// Peek returns the first n buffered bytes as one slice, valid until the next call that changes the buffer.
func (r *Ring) Peek(n int) []byte {
	if n > r.length {
		n = r.length
	}
	if r.start+n > len(r.buf) {
		r.replace(allocate(len(r.buf)))
	}
	return r.buf[r.start : r.start+n]
}

// Discard drops the first n bytes. An emptied buffer that had grown releases its memory.
func (r *Ring) Discard(n int) {
	n = min(n, r.length)
	r.length -= n
	r.start += n
	if r.start >= len(r.buf) {
		r.start -= len(r.buf)
	}
	if r.length == 0 {
		r.start = 0
		if r.budgetBytes > 0 {
			r.Release()
		}
	}
}

// Release drops all bytes, frees the memory, and returns what the buffer has taken from the budget.
func (r *Ring) Release() {
	r.budget.release(r.budgetBytes)
	recycle(r.buf)
	r.buf, r.start, r.length, r.budgetBytes = nil, 0, 0, 0
}

// Fill reads once from the source into the free space; Reserve makes more.
func (r *Ring) Fill(source io.Reader) (int, error) {
	if r.buf == nil {
		r.Reserve(r.initialSize, time.Time{})
	}
	if r.length == len(r.buf) {
		return 0, ErrFull
	}
	end := r.start + r.length
	free := r.buf[min(end, len(r.buf)):]
	if end >= len(r.buf) {
		free = r.buf[end-len(r.buf) : r.start]
	}
	n, err := source.Read(free)
	r.length += n
	return n, err
}

// Write appends bytes. It does not wait for the budget.
func (r *Ring) Write(p []byte) (int, error) {
	if err := r.Reserve(r.length+len(p), time.Time{}); err != nil {
		return 0, err
	}
	end := r.start + r.length
	if end >= len(r.buf) {
		end -= len(r.buf)
	}
	n := copy(r.buf[end:], p)
	copy(r.buf, p[n:])
	r.length += len(p)
	return len(p), nil
}

// Read removes bytes from the front.
func (r *Ring) Read(p []byte) (int, error) {
	if r.length == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.length)
	copied := copy(p[:n], r.buf[r.start:])
	copy(p[copied:n], r.buf)
	r.Discard(n)
	return n, nil
}

// Flush writes all buffered bytes to the destination.
func (r *Ring) Flush(destination io.Writer) error {
	for r.length > 0 {
		n, err := destination.Write(r.buf[r.start:min(r.start+r.length, len(r.buf))])
		r.Discard(n)
		if err != nil {
			return err
		}
	}
	return nil
}
