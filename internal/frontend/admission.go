package frontend

import (
	"errors"

	"sedgestream/internal/ring"
)

// requestOverhead is the memory in bytes that a request in hand takes besides the copy of its query: its goroutine with its
// stack, its mailbox, the router's record of it, and a short answer that waits for those before it.
const requestOverhead = 6 << 10

// isLong reports whether a message of so many bytes is long. A long query is not copied: it takes the memory over in which it has come,
// until its request ends, and is alone in flight on its connection.
func isLong(bytes int) bool { return bytes > ring.InitialSize }

// requestMemory returns the memory in bytes that a request takes while it is in hand, by the size of its query. A long one is counted
// among the large values.
func requestMemory(queryBytes int, long *ring.Memory) int64 {
	if long != nil {
		return requestOverhead
	}
	return requestOverhead + int64(queryBytes)
}

// errAwaitAnswer means that a query can't be taken on before the client has got an answer to an earlier one.
var errAwaitAnswer = errors.New("no memory for a further query of this client")

// admit takes the memory of a request from that of all requests in hand, and reports whether there is enough. Pipelined is
// whether the client has an earlier request in hand.
func (s *Server) admit(bytes int64, pipelined bool) bool {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	return s.admission.Admit(bytes, pipelined)
}

// releaseMemory returns the memory of a request that has ended.
func (s *Server) releaseMemory(bytes int64) {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.admission.Release(bytes)
}

// memoryUsers are the two that use the memory of a request: its goroutine, and its answer until that is written or
// nobody waits for it.
const memoryUsers = 2

// releaseMemory records that one of the users of the request's memory has ended. The last one returns it.
func (a *pendingAnswer) releaseMemory() {
	if a.memoryBytes > 0 && a.memoryUsers.Add(-1) == 0 {
		a.client.server.releaseMemory(a.memoryBytes)
		a.query.Recycle() // no attempt is in flight any more
	}
}
