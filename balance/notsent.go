package balance

// An attempt that this process could not send, because it lacked a resource or the connection closed unused, is not the
// node's fault. Up to the request's limit of attempts, such attempts do not count towards that limit. After two in a row
// the request pauses, as the resource is probably still short.

// attemptsUsed returns how many attempts count towards the request's limit.
func (req *request) attemptsUsed() int { return len(req.attempts) - min(req.notSent, req.maxAttempts) }

// notSentPause returns how long a request pauses whose last two attempts could not be sent.
func (r *Router) notSentPause(req *request, outcome Outcome) int64 {
	if outcome != NotSent || req.notSentInRow < 2 {
		return 0
	}
	return 2 * r.sweepInterval
}

// countNotSent counts the attempts that could not be sent.
func (req *request) countNotSent(outcome Outcome) {
	if outcome != NotSent {
		req.notSentInRow = 0
		return
	}
	req.notSent++
	req.notSentInRow++
}

// triedAt reports whether an attempt of the request was sent to a node, or may have been.
func (req *request) triedAt(node int32) bool {
	for i := range req.attempts {
		if attempt := &req.attempts[i]; attempt.node == node && (attempt.inFlight || attempt.outcome != NotSent) {
			return true
		}
	}
	return false
}

// MaxTotalAttempts returns how many attempts one request can have, with those that could not be sent.
func (c *Settings) MaxTotalAttempts() int { return 2 * c.MaxAttempts }
