package service

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"sedgestream/internal/recovery"
)

// errReadAbandoned is the result of reading a file that takes longer than a stopping router waits for it.
var errReadAbandoned = errors.New("the file was not read to its end before the router stops")

// readFile reads a file in the background and returns the result. It stops waiting for that once readsEnd is closed: a
// long file, or one that never ends, must not hold up the end of the process.
func readFile[T any](s *Service, task string, read func() (T, error)) (value T, err error) {
	type outcome struct {
		value T
		err   error
	}
	done := make(chan outcome, 1)
	recovery.Go(s.log, task, func() {
		value, err := read()
		done <- outcome{value, err}
	}, func() { done <- outcome{err: errPanicked} })
	select {
	case result := <-done:
		return result.value, result.err
	case <-s.readsEnd:
		return value, errReadAbandoned
	}
}

// readConfig reads the configuration while the router runs.
func (s *Service) readConfig() (*Config, error) {
	return readFile(s, "reading the configuration", func() (*Config, error) { return ReadConfig(os.Getenv) })
}

// reload reads the configuration and the terms again. The address of discovery, the settings and the terms
// are applied to the running router; requests in progress keep the settings they started with. A file that
// is missing, incomplete or invalid changes nothing. Members that need a restart keep their values and are
// logged.
func (s *Service) reload() {
	previous := s.phase
	s.enterPhase(Reloading)
	s.pending = pendingReload{}
	if config, err := s.readConfig(); err == nil {
		s.applyConfig(config)
	} else {
		if isUnreadable(err) {
			s.pending = pendingReload{retryAt: time.After(retryInterval), deadline: time.Now().Add(startTimeout)}
		}
		s.log.Warn("the configuration is wrong, the one before stands", zap.String("place", errorLocation(err, os.Getenv)), zap.Error(err))
		// The terms may have changed as well, and are validated against the settings in force.
		s.reloadTerms()
	}
	s.enterPhase(previous, zap.String("discovery", s.config.Discovery))
}

// pendingReload is a reload whose configuration could not be read and is read again.
type pendingReload struct {
	retryAt  <-chan time.Time // nil: no reload is pending
	deadline time.Time
}

// retryReload reloads once the configuration can be read.
func (s *Service) retryReload() {
	_, err := s.readConfig()
	switch {
	case !isUnreadable(err):
		s.reload()
	case time.Now().After(s.pending.deadline):
		s.pending = pendingReload{}
		s.log.Warn("the configuration is still unreadable, the previous one stays in force", zap.Error(err))
	default:
		s.pending.retryAt = time.After(retryInterval)
	}
}

// waitForConfig reads the configuration at the start. It retries while the file is missing, incomplete or
// cannot be read, until startDeadline or a stop signal.
func (s *Service) waitForConfig(stops <-chan os.Signal) (err error) {
	for last := ""; ; {
		s.config, err = ReadConfig(os.Getenv)
		if !isUnreadable(err) || time.Now().After(s.startDeadline) {
			return err
		}
		if reason := err.Error(); reason != last {
			last = reason
			s.log.Warn("waiting for the configuration", zap.String("reason", reason), zap.Time("until", s.startDeadline))
		}
		select {
		case <-stops:
			return errStopped
		case <-time.After(retryInterval):
		}
	}
}

// logWarnings logs which values of a configuration could not be read, and what replaces them.
func (s *Service) logWarnings(config *Config) {
	for _, w := range config.Warnings {
		s.log.Warn("a value of the configuration is not known", zap.String("place", w.Pointer), zap.String("reason", w.Reason))
	}
}

// applyConfig applies what differs from the current configuration. The address of discovery changes even
// if the settings are invalid: otherwise a wrong setting could cost the router its list.
func (s *Service) applyConfig(config *Config) {
	s.logWarnings(config)
	if members := s.config.restartOnlyChanges(config); len(members) > 0 {
		s.log.Warn("members that only a restart changes keep their values", zap.Strings("members", members))
	}
	s.config.Discovery = config.Discovery
	s.listClient.SetAddress(config.Discovery)
	config.PlatformSettings.RouterIndex, config.PlatformSettings.Zone = s.config.PlatformSettings.RouterIndex, s.config.PlatformSettings.Zone
	if reflect.DeepEqual(config.PlatformSettings, s.config.PlatformSettings) {
		s.reloadTerms()
		return
	}
	if err := s.applySettings(config); err != nil {
		s.log.Warn("the settings are wrong, those before stand", zap.Error(err))
		s.reloadTerms()
	}
}

// applySettings applies the settings of a configuration to all future requests, all of them or none.
func (s *Service) applySettings(config *Config) error {
	start := time.Now()
	table, err := s.readTerms(config, s.dispatcher.GroupNames())
	if err != nil {
		return fmt.Errorf("the terms do not match the settings:\n%w", err)
	}
	// Messages of other routers have to arrive before any request relies on them.
	if config.PlatformSettings.PeerMessages {
		s.setPeerMessages(true)
	}
	if err := s.dispatcher.Reconfigure(config.PlatformSettings, table); err != nil {
		s.setPeerMessages(s.config.PlatformSettings.PeerMessages)
		return err
	}
	s.nodes.Configure(&config.PlatformSettings.Settings)
	s.listClient.Configure(&config.PlatformSettings.Settings)
	changed := s.config.changedSettings(config)
	s.config.PlatformSettings, s.config.RawSettings = config.PlatformSettings, config.RawSettings
	s.setPeerMessages(config.PlatformSettings.PeerMessages)
	s.log.Info("settings", zap.Strings("changed", changed), zap.Int("classes", len(config.PlatformSettings.Classes)),
		zap.Int("in hand", s.dispatcher.InFlight()), zap.Duration("took", time.Since(start)))
	return nil
}

// reloadTerms applies the file of terms to all future requests, unless it is invalid.
func (s *Service) reloadTerms() {
	if s.options.TermsPath == "" {
		return
	}
	table, err := s.readTerms(s.config, s.dispatcher.GroupNames())
	if err != nil {
		s.log.Warn("the terms are wrong, those before stand", zap.Error(err))
		return
	}
	s.dispatcher.SetTerms(table)
}

// changedSettings returns the names of the settings that differ in next, sorted.
func (c *Config) changedSettings(next *Config) (names []string) {
	for name := range next.RawSettings {
		if c.RawSettings[name] != next.RawSettings[name] {
			names = append(names, name)
		}
	}
	for name := range c.RawSettings {
		if _, exists := next.RawSettings[name]; !exists {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// restartOnlyChanges returns the members that differ and need a restart. The known list is not one of
// them, since discovery has replaced it.
func (c *Config) restartOnlyChanges(next *Config) (names []string) {
	for _, member := range []struct {
		name string
		same bool
	}{{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen}, {"seed", c.SeedText == next.SeedText},
		{"peer_listen", c.PeerListen == next.PeerListen}, {"peers", slices.Equal(c.Peers, next.Peers)},
		{"peers_all", c.PeersAll == next.PeersAll},
		{"limits", c.Cores == next.Cores && c.Memory == next.Memory && c.Descriptors == next.Descriptors},
		{"settings.me", c.PlatformSettings.RouterIndex == next.PlatformSettings.RouterIndex}} {
		if !member.same {
			names = append(names, member.name)
		}
	}
	return names
}
