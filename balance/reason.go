package balance

// Reason says why a request was given up.
type Reason uint8

// The reasons.
const (
	TooLate       Reason = iota // its answer would come too late to be of value
	NoAttemptLeft               // its terms, its class or its deadline allow no further attempt
	ReplicasFull                // replicas are fresh enough, but have no capacity
	PrimaryFull                 // the primary has no capacity
	NoPrimary                   // no primary is known, or it is ejected
	ListTooOld                  // the list has not been received for too long
	NotGranted                  // the retry budget of its route is spent, or the node is outside the zone that retries are bound to
	NotRetryable                // its terms allow no retry after such an outcome, or a retry after the pause would be too late
	Expired                     // its deadline has passed, and no outcome of its attempt was reported
	Stopping                    // the process is about to end

	ReasonCount = int(Stopping) + 1
)

var reasonNames = [ReasonCount]string{"too late", "no attempt left", "replicas full", "primary full", "no primary", "list too old",
	"not granted", "not repeated", "expired", "stopping"}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

var outcomeNames = [...]string{Succeeded: "succeeded", Misdirected: "miss", Full: "full", Unreachable: "unreachable", NotSent: "not sent",
	Failed: "failed", TimedOut: "timed out", ConnectionLost: "broken", Canceled: "canceled"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

var roleNames = [...]string{Unknown: "unknown", Primary: "primary", Replica: "replica"}

// String returns the role's name in logs.
func (r Role) String() string { return roleNames[r] }
