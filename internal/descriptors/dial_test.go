package descriptors

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"
)

// A connection that finds no free descriptor has an idle one closed and is tried again, however short the wait is.
func TestDialRetriesOnce(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, dialRetryDelay} {
		dials, closed := 0, 0
		dialer := &Dialer{CloseIdle: func() { closed++ }, Control: func(string, string, syscall.RawConn) error {
			dials++
			return syscall.EMFILE
		}}
		_, err := dialer.DialWithin(context.Background(), "127.0.0.1:1", wait)
		if !errors.Is(err, syscall.EMFILE) || dials != 2 || closed != 1 {
			t.Errorf("wait %v: %d dials, %d idle connections closed, %v; want 2 and 1", wait, dials, closed, err)
		}
	}
}
