package dispatch

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sedgestream/balance"
)

// trace logs the events of each request by its id, at level debug, and counts outcomes by their reason for
// LogCounts. While debug is off it costs one comparison and one counter per event.
type trace struct {
	log         *zap.Logger
	enabled     bool
	rejected    [balance.ReasonCount]uint64
	failed      [balance.ReasonCount]uint64
	outcomes    [balance.Canceled + 1]uint64
	clientsLeft uint64
}

func newTrace(log *zap.Logger) trace {
	return trace{log: log, enabled: log.Core().Enabled(zapcore.DebugLevel)}
}

func (t *trace) arrived(s *slot, r *Request) {
	if t.enabled {
		t.log.Debug("request", zap.String("id", s.id), zap.Int("class", r.Class), zap.Int64("group", r.GroupName),
			zap.ByteString("key", r.Key), zap.Int64("after", r.MinPosition), zap.Duration("wait", time.Duration(r.Timeout)))
	}
}

func (t *trace) attemptSent(s *slot, attempt int, node string, timeout int64) {
	if t.enabled {
		t.log.Debug("attempt", zap.String("id", s.id), zap.Int("attempt", attempt), zap.String("node", node),
			zap.Duration("wait", time.Duration(timeout)))
	}
}

func (t *trace) attemptEnded(s *slot, attempt int, outcome balance.Outcome, took int64, info balance.AnswerInfo) {
	t.outcomes[outcome]++
	if t.enabled {
		t.log.Debug("attempt ended", zap.String("id", s.id), zap.Int("attempt", attempt), zap.Stringer("outcome", outcome),
			zap.Duration("took", time.Duration(took)), zap.Stringer("role", info.Role),
			zap.Int64("position_ms", info.Position/int64(time.Millisecond)))
	}
}

// gaveUp records that the router has ended a request without a value: event is "refused" if it was rejected,
// or "failed".
func (t *trace) gaveUp(s *slot, event string, reason balance.Reason) {
	if event == "refused" {
		t.rejected[reason]++
	} else {
		t.failed[reason]++
	}
	if t.enabled {
		t.log.Debug(event, zap.String("id", s.id), zap.Stringer("reason", reason), zap.Int("attempts", s.attempts))
	}
}

func (t *trace) clientLeft(s *slot) {
	t.clientsLeft++
	if t.enabled {
		t.log.Debug("client left", zap.String("id", s.id), zap.Int("attempts", s.attempts))
	}
}

// takeCounts returns the counters above 0 as log fields, and resets them.
func (t *trace) takeCounts() (fields []zap.Field) {
	add := func(kind, name string, count *uint64) {
		if *count > 0 {
			fields = append(fields, zap.Uint64(kind+" "+name, *count))
			*count = 0
		}
	}
	for reason := range t.rejected {
		add("refused:", balance.Reason(reason).String(), &t.rejected[reason])
		add("failed:", balance.Reason(reason).String(), &t.failed[reason])
	}
	for outcome := range t.outcomes {
		add("attempts:", balance.Outcome(outcome).String(), &t.outcomes[outcome])
	}
	add("clients", "left", &t.clientsLeft)
	return fields
}

// LogCounts logs what has been counted since the last call, if anything.
func (d *Dispatcher) LogCounts() {
	d.mu.Lock()
	fields := d.trace.takeCounts()
	d.mu.Unlock()
	if len(fields) > 0 {
		d.log.Info("counts", fields...)
	}
}
