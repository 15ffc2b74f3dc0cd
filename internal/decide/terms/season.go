package terms

import (
	"math"
	"slices"
	"time"
)

// Season is a time of day on some days of the month. It begins at the first moment of its day at which the zone's clock
// shows From or later, and ends at the first moment after that at which the clock shows To or later. So if the clock is
// put forward past From or To, the season begins or ends at that moment; if the clock is put back, the season neither
// pauses nor happens twice.
type Season struct {
	Path     string // JSON pointer
	Name     string
	Days     []int // 1 is the first day of the month, -1 the last; none: all days
	From, To int   // minutes after midnight; a To at or below From is on the next day
}

const (
	minute        = int64(time.Minute)
	minutesPerDay = 24 * 60
	lookAheadDays = 64 // every day from 1 to 31 occurs at least once in this many days
)

// startsOn reports whether the season begins on the given day of a month with daysInMonth days.
func (s *Season) startsOn(day, daysInMonth int) bool {
	return len(s.Days) == 0 || slices.Contains(s.Days, day) || slices.Contains(s.Days, day-daysInMonth-1)
}

// activeAt reports whether the season holds now, and until when that stays so (Unix time in ns).
func (s *Season) activeAt(now int64, zone *time.Location) (active bool, until int64) {
	y, m, d := time.Unix(0, now).In(zone).Date()
	for k := -1; k < lookAheadDays; k++ { // from yesterday on: its season may last past midnight
		day := time.Date(y, m, d+k, 0, 0, 0, 0, time.UTC)
		if !s.startsOn(day.Day(), lastDay(day)) {
			continue
		}
		from, to := s.interval(day, zone)
		switch {
		case now < from:
			return false, from
		case now < to:
			return true, to
		}
	}
	return false, math.MaxInt64 // no such day within lookAheadDays; -31, for example, is missing in shorter months
}

// interval returns when the season that begins on the day begins and ends.
func (s *Season) interval(day time.Time, zone *time.Location) (from, to int64) {
	end := s.To
	if end <= s.From {
		end += minutesPerDay
	}
	return instantOf(day, s.From, zone), instantOf(day, end, zone)
}

// lastDay returns the last day of the day's month.
func lastDay(day time.Time) int {
	return time.Date(day.Year(), day.Month()+1, 0, 0, 0, 0, 0, time.UTC).Day()
}

// instantOf returns the first moment at which the zone's clock shows, or has jumped past, the given minutes after the
// midnight at which the day begins.
func instantOf(day time.Time, minutes int, zone *time.Location) int64 {
	clock := day.Add(time.Duration(int64(minutes) * minute)) // as if the zone were UTC
	// The zone's offset is one of those a day before and a day after, unless it changes twice in two days.
	var offsets [2]time.Duration
	for i, shift := range []time.Duration{-26 * time.Hour, 26 * time.Hour} {
		_, offset := clock.Add(shift).In(zone).Zone()
		offsets[i] = time.Duration(offset) * time.Second
	}
	early, late := clock.Add(-max(offsets[0], offsets[1])), clock.Add(-min(offsets[0], offsets[1]))
	for _, instant := range []time.Time{early, late} {
		if _, offset := instant.In(zone).Zone(); instant.Add(time.Duration(offset)*time.Second) == clock {
			return instant.UnixNano()
		}
	}
	_, change := early.In(zone).ZoneBounds() // the clock jumps past this time
	return change.UnixNano()
}

// overlap reports whether there is a month in which both seasons hold at once. Clock changes don't matter: where two
// seasons only touch, the same moment ends the one and begins the other.
func overlap(a, b *Season) bool {
	for _, days := range []int{28, 29, 30, 31} {
		for _, nextDays := range []int{28, 29, 30, 31} {
			if slices.ContainsFunc(a.intervals(days, nextDays), func(x [2]int) bool {
				return slices.ContainsFunc(b.intervals(days, nextDays), func(y [2]int) bool { return x[0] < y[1] && y[0] < x[1] })
			}) {
				return true
			}
		}
	}
	return false
}

// intervals returns when the season holds in a month of the given number of days and in the next one, in minutes from the
// beginning of the first.
func (s *Season) intervals(days, nextDays int) (out [][2]int) {
	end := s.To
	if end <= s.From {
		end += minutesPerDay
	}
	for d := range days + nextDays {
		day, daysInMonth := d+1, days
		if d >= days {
			day, daysInMonth = d-days+1, nextDays
		}
		if s.startsOn(day, daysInMonth) {
			out = append(out, [2]int{d*minutesPerDay + s.From, d*minutesPerDay + end})
		}
	}
	return out
}
