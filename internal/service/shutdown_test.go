package service

import (
	"testing"
	"time"
)

func TestFinalAnswersComeBeforeTheKill(t *testing.T) {
	for _, test := range []struct {
		name      string
		deadlines []time.Duration
		killAfter time.Duration // the earliest, after the stop signal
	}{
		{"no class", nil, 3700 * time.Millisecond},
		{"no deadline given", []time.Duration{0, 0}, 3700 * time.Millisecond},
		{"a long one", []time.Duration{time.Second, 15 * time.Second}, 3700 * time.Millisecond},
		{"short ones", []time.Duration{300 * time.Millisecond, time.Second}, 1700 * time.Millisecond},
		{"one is not given", []time.Duration{0, time.Second}, 1700 * time.Millisecond},
		{"very short ones", []time.Duration{100 * time.Millisecond}, 950 * time.Millisecond},
	} {
		var deadlines []int64
		for _, deadline := range test.deadlines {
			deadlines = append(deadlines, int64(deadline))
		}
		got, want := finalAnswersAfter(deadlines), test.killAfter-killMargin
		if got != want {
			t.Errorf("%s: requests are given up after %v, want %v", test.name, got, want)
		}
	}
}
