package membersim

import (
	"testing"
	"time"

	"sedgestream/internal/lab/day"
)

func TestCalm(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		begin := time.Now()
		j := New(&day.Day{Seed: 1, Instances: n, Period: time.Second, Span: 30 * time.Second}).Run(100)
		t.Logf("%d: %+v in %v", n, *j, time.Since(begin))
	}
}

func TestFaults(t *testing.T) {
	for seed := range uint64(6) {
		d := day.Draw(seed, 60, 3, time.Second, 6, day.Kill, day.Stop, day.Leave, day.Split, day.OneWay, day.Loss, day.Late, day.Double, day.Twin)
		begin := time.Now()
		j := New(d).Run(300)
		j.Known = nil
		t.Logf("%d: %+v in %v\n%+v", seed, *j, time.Since(begin), d.Faults)
	}
}
