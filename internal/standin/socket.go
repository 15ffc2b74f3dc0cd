package standin

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// NoDelaySet reports whether TCP_NODELAY is set on a socket, so that the kernel sends small writes at once.
func NoDelaySet(t TB, conn net.Conn) bool {
	t.Helper()
	s, ok := conn.(syscall.Conn)
	if !ok {
		t.Fatal("the connection is not a system socket")
	}
	raw, err := s.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if controlErr := raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY)
	}); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return value != 0
}
