// Package message defines the messages that planners, forwarders and operators exchange over TCP, and the datagrams
// between members. A TCP message is a frame: a length and a MessagePack body, with bounds on every field. A peer that
// sends anything else receives the reason, and its connection is closed.
package message

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"sedgestream/internal/decide/loadsum"
	"sedgestream/internal/decide/members"
	"sedgestream/internal/decide/plan"
)

// Version is the protocol version. A peer with another version is disconnected.
const Version = 3

// Bounds of a frame.
const (
	MaxFrameBytes = 1 << 20
	MaxNodes      = plan.MaxNotices
	MaxNameBytes  = 64
)

// The kinds of peers on a connection.
const (
	Forwarder = "forwarder"
	Planner   = "planner"
	Operator  = "operator" // requests status
	Member    = "member"   // exchanges membership records
)

// Frame is a message on a connection. Only the parts that it carries are set.
type Frame struct {
	Hello         *Hello         `msgpack:"h,omitempty"`
	Report        *Report        `msgpack:"r,omitempty"`
	Reply         *Reply         `msgpack:"a,omitempty"`
	Gossip        *Gossip        `msgpack:"g,omitempty"`
	PlannerStatus *PlannerStatus `msgpack:"s,omitempty"`
	Chunk         *ExchangeChunk `msgpack:"p,omitempty"`
	FleetStatus   *FleetStatus   `msgpack:"f,omitempty"`
	Removal       *Removal       `msgpack:"o,omitempty"`
	CloseReason   string         `msgpack:"b,omitempty"` // why the sender closes the connection
}

// ReasonLeft is the close reason of a forwarder that ends after its last attempt has ended.
const ReasonLeft = "left"

// Hello is the first message in each direction.
type Hello struct {
	Version int        `msgpack:"v"`
	Kind    string     `msgpack:"k"`
	Name    string     `msgpack:"n"`
	RunID   plan.RunID `msgpack:"l"`
}

// Report is a forwarder's report to a planner, sent once a period at most. It contains the notices and beliefs that
// have changed since the previous report on the same connection.
type Report struct {
	Full          bool               `msgpack:"w,omitempty"` // the first report of a connection: replaces all previous ones
	Forgotten     []string           `msgpack:"f,omitempty"` // nodes for which the forwarder has no belief any more
	LeaseRequests []LeaseRequest     `msgpack:"a,omitempty"`
	Outcomes      []NodeOutcome      `msgpack:"s,omitempty"`
	Notices       []plan.Notice      `msgpack:"n,omitempty"` // from the forwarder's list of nodes
	Beliefs       []NodeBelief       `msgpack:"b,omitempty"` // for operators
	Loads         []loadsum.NodeLoad `msgpack:"l,omitempty"` // of the forwarder's own attempts since the previous report
}

// LeaseRequest requests a lease of a node.
type LeaseRequest struct {
	Node    string            `msgpack:"n"`
	Request plan.LeaseRequest `msgpack:"a"`
}

// NodeOutcome tells whether recent attempts at a node have failed, with no success among them.
type NodeOutcome struct {
	Node   string `msgpack:"n"`
	Failed bool   `msgpack:"f"`
}

// NodeBelief is what a forwarder knows of a node and may send to it, for operators.
type NodeBelief struct {
	Node      string `msgpack:"n"`
	Standing  uint8  `msgpack:"s" json:"Standing"`
	Allowance int64  `msgpack:"u" json:"Use"` // work in µs that its lease lets it send over the settings' span; below 0: no limit
	Planner   string `msgpack:"p"`
	Ejected   bool   `msgpack:"a" json:"Aside"`
}

// Reply is a planner's message to a forwarder: the answer to a report, or an update that the planner sends unasked.
type Reply struct {
	LeaseReplies  []LeaseReply      `msgpack:"s,omitempty"`
	Notices       []plan.Notice     `msgpack:"n,omitempty"`
	QuorumEjected []string          `msgpack:"c,omitempty"` // the complete list, in every reply to a report
	AnswersReport bool              `msgpack:"d,omitempty"` // to a report; else it is an unsolicited update
	LivePlanners  []string          `msgpack:"p,omitempty"` // planners, by this one's membership; none while it has no view to rely on
	Digest        []loadsum.Summary `msgpack:"e,omitempty"` // the load of all routers by node
}

// LeaseReply replies to a lease request.
type LeaseReply struct {
	Node  string          `msgpack:"n"`
	Reply plan.LeaseReply `msgpack:"s"`
}

// Gossip is what planners send each other.
type Gossip struct {
	Notices []plan.Notice `msgpack:"n,omitempty"`
}

// PlannerStatus is a planner's state, for operators. An empty one requests it.
type PlannerStatus struct {
	Planner    string                `msgpack:"p" json:"planner"`
	Members    []members.KnownMember `msgpack:"m,omitempty" json:"members"`
	Nodes      []NodeStatus          `msgpack:"n,omitempty" json:"nodes"`
	Forwarders []ForwarderBeliefs    `msgpack:"f,omitempty" json:"forwarders"`
}

// NodeStatus is a planner's view of a node.
type NodeStatus struct {
	Notice        plan.Notice `msgpack:"n" json:"notice"`
	QuorumEjected bool        `msgpack:"c" json:"condemned"`
	LeaseHolders  int         `msgpack:"h" json:"holders"` // forwarder runs that have requested leases of it
	Granted       int64       `msgpack:"l" json:"lent"`    // upper bound of the leases in force
	Pledged       int64       `msgpack:"p" json:"pledged"`
	// Load is the load of all routers on the node, as far as it was reported to this planner; nil if it was not.
	Load *loadsum.Summary `msgpack:"e,omitempty" json:"load,omitempty"`
}

// ForwarderBeliefs is what a forwarder last reported of its beliefs.
type ForwarderBeliefs struct {
	Name    string       `msgpack:"n" json:"name"`
	Age     int64        `msgpack:"a" json:"ago"` // ns
	Beliefs []NodeBelief `msgpack:"b" json:"beliefs"`
}

// ErrVersion is the error for a peer with another protocol version.
var ErrVersion = errors.New("message: another version")

// check checks that the frame is within its bounds.
func (f *Frame) check() error {
	checkCount := func(what string, count int) error {
		if count > MaxNodes {
			return fmt.Errorf("words: %d %s, more than %d", count, what, MaxNodes)
		}
		return nil
	}
	checkName := func(s string) error {
		if len(s) > MaxNameBytes {
			return fmt.Errorf("message: a name of %d bytes exceeds the limit", len(s))
		}
		return nil
	}
	var errs []error
	checkNotices := func(notices []plan.Notice) {
		errs = append(errs, checkCount("notices", len(notices)))
		for _, notice := range notices {
			if notice.Standing > 2 {
				errs = append(errs, fmt.Errorf("message: unknown standing %d", notice.Standing))
			}
			errs = append(errs, checkName(notice.Node))
		}
	}
	if hello := f.Hello; hello != nil {
		if hello.Version != Version {
			errs = append(errs, fmt.Errorf("%w: %d, not %d", ErrVersion, hello.Version, Version))
		}
		errs = append(errs, checkName(hello.Name))
		if hello.Kind != Forwarder && hello.Kind != Planner && hello.Kind != Operator && hello.Kind != Member {
			errs = append(errs, fmt.Errorf("message: unknown kind of peer %.64q", hello.Kind))
		}
	}
	if report := f.Report; report != nil {
		errs = append(errs,
			checkCount("asks", len(report.LeaseRequests)),
			checkCount("sights", len(report.Outcomes)),
			checkCount("beliefs", len(report.Beliefs)),
			checkCount("forgotten nodes", len(report.Forgotten)))
		for _, node := range report.Forgotten {
			errs = append(errs, checkName(node))
		}
		checkNotices(report.Notices)
		if len(report.Loads) > loadsum.MaxNodeLoads {
			errs = append(errs, fmt.Errorf("message: loads of %d nodes exceed the limit", len(report.Loads)))
		}
		for i := range report.Loads {
			errs = append(errs, checkLoad(report.Loads[i].InFlight, report.Loads[i].SelfReport))
		}
		for _, leaseRequest := range report.LeaseRequests {
			if errs = append(errs, checkName(leaseRequest.Node)); leaseRequest.Request.Share < 0 || leaseRequest.Request.Want < 0 ||
				leaseRequest.Request.Share > maxShare || leaseRequest.Request.Want > maxShare {
				errs = append(errs, fmt.Errorf("message: share %d or want %d out of bounds",
					leaseRequest.Request.Share, leaseRequest.Request.Want))
			}
		}
		for _, outcome := range report.Outcomes {
			errs = append(errs, checkName(outcome.Node))
		}
	}
	if reply := f.Reply; reply != nil {
		errs = append(errs,
			checkCount("says", len(reply.LeaseReplies)),
			checkCount("nodes", len(reply.QuorumEjected)),
			checkCount("planners", len(reply.LivePlanners)))
		checkNotices(reply.Notices)
		if len(reply.Digest) > loadsum.MaxSummaries {
			errs = append(errs, fmt.Errorf("message: a digest of %d nodes exceeds the limit", len(reply.Digest)))
		}
		for i := range reply.Digest {
			errs = append(errs, checkLoad(reply.Digest[i].InFlight, reply.Digest[i].SelfReport))
		}
		for _, leaseReply := range reply.LeaseReplies {
			if errs = append(errs, checkName(leaseReply.Node)); leaseReply.Reply.Lease < 0 || leaseReply.Reply.Lease > maxShare {
				errs = append(errs, fmt.Errorf("message: lease %d out of bounds", leaseReply.Reply.Lease))
			}
		}
	}
	if gossip := f.Gossip; gossip != nil {
		checkNotices(gossip.Notices)
	}
	if chunk := f.Chunk; chunk != nil {
		errs = append(errs, chunk.check())
	}
	if removal := f.Removal; removal != nil {
		errs = append(errs, checkName(removal.Name), checkName(removal.By))
	}
	return errors.Join(errs...)
}

// checkLoad checks the load of a node against its bounds. The comparisons are written so that NaN fails them.
func checkLoad(inFlight float32, report *loadsum.SelfReport) error {
	if !(inFlight >= 0 && inFlight <= loadsum.MaxInFlight) || report != nil && !(report.Position > 0 && report.Utilization >= 0) {
		return fmt.Errorf("message: load %v with self-report %+v out of bounds", inFlight, report)
	}
	return nil
}

// maxShare is small enough that sums of shares fit in an int64.
const maxShare = 1 << 48

// Conn is a connection that carries frames. One goroutine reads; any number may write.
type Conn struct {
	Socket net.Conn
	reader *bufio.Reader

	mu          sync.Mutex
	writeBuffer []byte // reused between frames
	// BytesSent and BytesReceived count the bytes of whole frames.
	BytesSent, BytesReceived int64
}

// NewConn returns a Conn over the socket.
func NewConn(socket net.Conn) *Conn { return &Conn{Socket: socket, reader: bufio.NewReader(socket)} }

// Write sends a frame within the timeout.
func (c *Conn) Write(frame *Frame, timeout time.Duration) error {
	body, err := msgpack.Marshal(frame)
	if err != nil {
		return err
	}
	if len(body) > MaxFrameBytes {
		return fmt.Errorf("message: a frame of %d bytes exceeds the limit", len(body))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBuffer = append(binary.BigEndian.AppendUint32(c.writeBuffer[:0], uint32(len(body))), body...)
	c.BytesSent += int64(len(c.writeBuffer))
	c.Socket.SetWriteDeadline(time.Now().Add(timeout))
	_, err = c.Socket.Write(c.writeBuffer)
	if cap(c.writeBuffer) > 64<<10 {
		c.writeBuffer = nil // the buffer of a single long frame is not retained
	}
	return err
}

// Read returns the next frame. Its header has to arrive within the timeout, and its body within as much again. An
// invalid frame is an error that says why.
func (c *Conn) Read(timeout time.Duration) (*Frame, error) {
	var header [4]byte
	c.Socket.SetReadDeadline(time.Now().Add(timeout))
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("message: a frame of %d bytes exceeds the limit", size)
	}
	c.Socket.SetReadDeadline(time.Now().Add(timeout))
	var buffer bytes.Buffer // grows with the bytes received, not with the announced size
	if read, err := io.CopyN(&buffer, c.reader, int64(size)); err != nil {
		return nil, fmt.Errorf("message: read %d of %d bytes: %w", read, size, err)
	}
	body := buffer.Bytes()
	c.BytesReceived += int64(size) + int64(len(header))
	frame := &Frame{}
	if err := msgpack.Unmarshal(body, frame); err != nil {
		return nil, fmt.Errorf("message: no word of ours: %w", err)
	}
	return frame, frame.check()
}

// CloseWithReason sends the reason, as far as the peer still reads, and closes the connection.
func (c *Conn) CloseWithReason(reason error) {
	c.Write(&Frame{CloseReason: fmt.Sprintf("%.200s", reason)}, time.Second)
	c.Socket.Close()
}
