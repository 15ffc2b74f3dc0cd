// Package admission decides whether another request is taken on, by the memory of all requests in hand. It is pure: its
// caller serializes the calls.
package admission

// pipelinedShare is the part of the limit that requests may use whose clients have an earlier one in hand. The rest is
// for clients that send one request at a time.
const pipelinedShare = 1.0 / 2

// Memory bounds the memory of all requests in hand. A limit of 0 or less is none.
type Memory struct {
	limit, used int64 // bytes
}

// NewMemory returns a bound of so many bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Admit takes the memory of a request if the bound allows that, and reports whether it does. Pipelined is whether its
// client has an earlier request in hand.
func (m *Memory) Admit(bytes int64, pipelined bool) (admitted bool) {
	limit := m.limit
	if pipelined {
		limit = int64(pipelinedShare * float64(m.limit))
	}
	if m.limit > 0 && m.used+bytes > limit {
		return false
	}
	m.used += bytes
	return true
}

// Release returns the memory of a request that has ended.
func (m *Memory) Release(bytes int64) { m.used -= bytes }

// Used returns the memory of the requests in hand, in bytes.
func (m *Memory) Used() int64 { return m.used }
