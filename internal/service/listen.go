package service

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sedgestream/internal/descriptors"
	"sedgestream/internal/peer"
)

// At a planned restart the previous process may still hold the addresses, and the configuration file may be
// incomplete. A start retries for less than the 30 s within which the platform expects a router to be ready.
const (
	startTimeout  = 25 * time.Second
	retryInterval = 100 * time.Millisecond
)

// errStopped is the result of a start that a stop signal has ended.
var errStopped = errors.New("stop signal while starting")

// isAddressInUse reports whether another socket holds the address.
func isAddressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// isTransient reports whether the reason why an address could not be opened may pass: it is in use or not
// assigned to this machine yet, or the system is short of a resource.
func isTransient(err error) bool {
	return isAddressInUse(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) ||
		descriptors.IsExhausted(err)
}

// retryWhileTransient opens an address, and retries transient failures until startDeadline or a stop
// signal.
func (s *Service) retryWhileTransient(what string, open func() error, stops <-chan os.Signal) error {
	start, warned := time.Now(), false
	for {
		err := open()
		if err == nil && warned {
			s.log.Info("an address is free", zap.String("what", what), zap.Duration("took", time.Since(start)))
		}
		if !isTransient(err) || time.Now().After(s.startDeadline) {
			return err
		}
		if !warned {
			warned = true
			s.log.Warn("an address is taken, trying again", zap.String("what", what), zap.Error(err), zap.Time("until", s.startDeadline))
		}
		select {
		case <-stops:
			return errStopped
		case <-time.After(retryInterval):
		}
	}
}

// openListener opens the listener for clients.
func (s *Service) openListener(stops <-chan os.Signal) (listener net.Listener, err error) {
	err = s.retryWhileTransient("listen", func() (err error) {
		listener, err = listen(s.config.Listen)
		return err
	}, stops)
	return listener, err
}

// listen opens a listener as net.Listen does. net.Listen fails if the system refuses a socket option;
// listen then opens the socket without options.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	var refused *os.SyscallError
	if errors.As(err, &refused) && refused.Syscall == "setsockopt" {
		return listenWithoutOptions(address)
	}
	return listener, err
}

// listenWithoutOptions opens a listener on a socket without setting any option.
func listenWithoutOptions(address string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // the listener has its own duplicate
	sockaddr := &unix.SockaddrInet4{Port: resolved.Port}
	copy(sockaddr.Addr[:], resolved.IP.To4())
	if err := unix.Bind(fd, sockaddr); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	if err := unix.Listen(fd, unix.SOMAXCONN); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(file)
}

// setPeerMessages opens or closes the address for messages of other routers, if one is configured. The
// router runs without these messages until the address can be opened: the previous process may hold it up
// to its last response.
func (s *Service) setPeerMessages(on bool) {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	if !on {
		s.closePeers()
		return
	}
	if s.config.PeerListen == "" || s.peers.Load() != nil || s.peerRetry != nil {
		return
	}
	config, me := s.config, s.config.PlatformSettings.RouterIndex
	listen := func() (*peer.Peers, error) {
		return peer.Listen(config.PeerListen, config.Peers, config.PeersAll, me, s.dispatcher, s.log)
	}
	if err := s.openPeers(listen); err != nil {
		s.log.Warn("an address is taken, trying again", zap.String("what", "peer_listen"), zap.Error(err))
		stop := make(chan struct{})
		s.peerRetry = stop
		s.startTask("peer_listen", func() { s.retryPeers(listen, stop) })
	}
}

// openPeers opens the address and starts receiving.
func (s *Service) openPeers(listen func() (*peer.Peers, error)) error {
	peers, err := listen()
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	s.peers.Store(peers)
	s.startTask("peers", peers.Receive)
	return nil
}

// closePeers closes the address, or stops the attempts to open it.
func (s *Service) closePeers() {
	if s.peerRetry != nil {
		close(s.peerRetry)
		s.peerRetry = nil
	}
	if peers := s.peers.Swap(nil); peers != nil {
		peers.Close()
	}
}

// retryPeers tries to open the address until it succeeds or stop is closed.
func (s *Service) retryPeers(listen func() (*peer.Peers, error), stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(retryInterval):
		}
		if s.retryPeersOnce(listen, stop) {
			return
		}
	}
}

// retryPeersOnce tries once and reports whether no further attempt is needed.
func (s *Service) retryPeersOnce(listen func() (*peer.Peers, error), stop chan struct{}) bool {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	if s.peerRetry != stop { // stopped meanwhile
		return true
	}
	err := s.openPeers(listen)
	if err != nil {
		return false
	}
	s.peerRetry = nil
	s.log.Info("an address is free", zap.String("what", "peer_listen"))
	return true
}
