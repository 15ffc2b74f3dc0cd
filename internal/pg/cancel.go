package pg

import (
	"encoding/binary"

	"sedgestream/internal/ring"
)

// BackendKey identifies a connection in a cancel request: by its process number, and a secret.
type BackendKey struct {
	Process uint32
	Secret  uint32
}

// cancelRequestSize is the size of a CancelRequest in bytes: its length, its code and the key.
const cancelRequestSize = 16

// CancelKey returns the key in the complete CancelRequest at the front of a buffer. It returns false if the
// packet has not the size of one.
func CancelKey(r *ring.Ring, size int) (key BackendKey, ok bool) {
	if size != cancelRequestSize {
		return BackendKey{}, false
	}
	packet := r.Peek(size)
	key.Process = binary.BigEndian.Uint32(packet[8:])
	key.Secret = binary.BigEndian.Uint32(packet[12:])
	return key, true
}

// appendBackendKey appends a BackendKeyData message.
func appendBackendKey(b []byte, key BackendKey) []byte {
	b, start := beginMessage(b, 'K')
	b = binary.BigEndian.AppendUint32(b, key.Process)
	b = binary.BigEndian.AppendUint32(b, key.Secret)
	return endMessage(b, start)
}

// AppendCanceled appends the error for a query that its client has canceled. Whether the query ran is not known.
func AppendCanceled(b []byte) []byte {
	return AppendError(b, "ERROR", queryCanceled, "canceling statement due to user request", "")
}
