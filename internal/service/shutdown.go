package service

import (
	"slices"
	"time"

	"sedgestream/internal/recovery"
)

// Planned restarts, as in the protocol documentation: connections may still arrive for up to 0.4 s after the
// stop signal, and requests that arrive within 0.7 s have to be answered. The process is killed no earlier than
// the longest deadline of the settings, or maxAwaitedDeadline if that is shorter, after these 0.7 s. Whatever
// has arrived after them must be answered by then, also behind requests of before.
const (
	acceptGrace        = 400 * time.Millisecond
	answerGrace        = 700 * time.Millisecond
	maxAwaitedDeadline = 3 * time.Second
	// killMargin is for a stall of the process, and for the answers to reach the clients.
	killMargin = 250 * time.Millisecond
)

// finalAnswersAfter returns how long after the stop signal all requests are given up, by the deadlines of the classes in
// nanoseconds, of which 0 stands for one that is not given.
func finalAnswersAfter(deadlines []int64) time.Duration {
	longest := maxAwaitedDeadline
	if stated := slices.Max(append([]int64{0}, deadlines...)); stated > 0 {
		longest = min(longest, time.Duration(stated))
	}
	return max(answerGrace, answerGrace+longest-killMargin)
}

// scheduleFinalAnswers has all requests given up before the process may be killed. Answers are written in the order of a
// client's queries: a request that waits for a node which hangs would hold back the answers behind it.
func (s *Service) scheduleFinalAnswers(stoppedAt time.Time) {
	at := stoppedAt.Add(finalAnswersAfter(s.dispatcher.Policy().Settings.Deadlines))
	recovery.AfterFunc(s.log, "final answers", time.Until(at), func() {
		s.frontend.Close() // needed if leave panicked
		s.dispatcher.Stop()
	})
}

// leave keeps accepting while new connections may arrive, then drains the clients as they become idle, and
// finally closes the listener. Each step happens at its time after the stop signal, even while a
// configuration is being applied.
func (s *Service) leave(stoppedAt time.Time) {
	drain := recovery.AfterFunc(s.log, "drain", time.Until(stoppedAt.Add(acceptGrace)), s.frontend.Drain)
	defer drain.Stop()
	closed := make(chan struct{})
	recovery.AfterFunc(s.log, "close", time.Until(stoppedAt.Add(answerGrace)), func() {
		defer close(closed)
		s.frontend.Close()
	})
	waitInPhase(s, closed)
}

// finish waits for the requests in progress, each of which ends by its deadline, and then stops all tasks.
func (s *Service) finish() {
	s.frontend.Close() // needed if leave panicked
	answered := make(chan struct{})
	recovery.Go(s.log, "finish", func() {
		defer close(answered)
		s.frontend.Wait()
	}, nil)
	waitInPhase(s, answered)
	close(s.stop)
	s.listClient.Close()
	if s.plannerLinks != nil {
		s.plannerLinks.Close()
	}
	if s.member != nil {
		s.member.Leave() // only after its last attempt has ended: until then others must count it as sending
		s.member.Close()
	}
	s.setPeerMessages(false)
	s.nodes.CloseAllIdle()
	s.tasks.Wait()
}
