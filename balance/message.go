package balance

import "encoding/binary"

// A message between routers consists of a header and reports of nodes. The header is the time of sending in ns (8
// bytes); if reports follow, it is on the servers' clock. A report has 8 bytes: a hash of the node's ID (4), the age
// of its position in milliseconds, rounded up (2), its role (2 bits) and load in attempts (6 bits), and its
// utilization in units of 1/255 (1). A header with one more byte is a ping, a header alone an acknowledgement. All
// numbers are big-endian.
const (
	headerLen       = 8
	reportLen       = 8
	maxMessageLen   = 256
	maxAgeMs        = 1<<16 - 1 // stands for any greater age, too
	maxReportedLoad = 1<<6 - 1
	fullUtilization = 1<<8 - 1
)

// appendHeader returns the header of a new message.
func appendHeader(now int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(now)) }

// appendReport appends the report of a node to a message.
func appendReport(message []byte, now int64, node *nodeRecord) []byte {
	message = binary.BigEndian.AppendUint32(message, node.idHash)
	message = binary.BigEndian.AppendUint16(message, uint16(min(max(now-node.position, 0)/1e6+1, maxAgeMs)))
	return append(message, byte(node.role)<<6|byte(min(node.reportedLoad, maxReportedLoad)), byte(min(node.utilization, 1)*fullUtilization))
}

// splitHeader returns when a message was sent, and the reports in it.
func splitHeader(message []byte) (sentAt int64, reports []byte) {
	if len(message) < headerLen {
		return 0, nil
	}
	return int64(binary.BigEndian.Uint64(message)), message[headerLen:]
}

// decodeReport decodes the first of the reports. Report.Present is false if the position's age is not known.
func decodeReport(reports []byte, sentAt int64) (idHash uint32, report Report) {
	ageMs := int64(binary.BigEndian.Uint16(reports[4:]))
	return binary.BigEndian.Uint32(reports), Report{Present: ageMs < maxAgeMs, Position: sentAt - ageMs*1e6,
		Role: Role(reports[6] >> 6), InFlight: float64(reports[6] & maxReportedLoad),
		Utilization: float64(reports[7]) / fullUtilization}
}

// pingRouter asks another router to answer, to find out whether messages are delivered.
func (r *Router) pingRouter(now int64) {
	to := 1
	if r.routerIndex > 0 {
		to = int(r.random.intN(int64(r.routerIndex)))
	}
	r.actions.SendMessage(to, append(appendHeader(now), 0))
}

// answerPing answers a message if it is a ping, and reports whether it is.
func (r *Router) answerPing(now int64, from int, message []byte) bool {
	if len(message) != headerLen+1 {
		return false
	}
	r.actions.SendMessage(from, appendHeader(now))
	return true
}

// sendReports sends all other routers the reports of nodes that this router got from probes within the report interval.
func (r *Router) sendReports(now int64) {
	sentAt := r.serverTime(now)
	message := appendHeader(sentAt)
	for i := range r.nodes {
		node := &r.nodes[i]
		if node.probeAnsweredAt < now-r.reportInterval || node.position == 0 || !r.inOwnZone(node) || !r.reportDue(node, now) {
			continue
		}
		if message = appendReport(message, sentAt, node); len(message)+reportLen > maxMessageLen {
			r.actions.SendMessage(-1, message)
			message = message[:headerLen]
		}
	}
	if len(message) > headerLen {
		r.actions.SendMessage(-1, message)
	}
}

// receiveReports records the reports in a message, and reports whether any was of a node in this router's zone. It
// ignores nodes that this router's list does not name, and hashes that two of its nodes share.
func (r *Router) receiveReports(now int64, message []byte) (anyInOwnZone bool) {
	for sentAt, rest := splitHeader(message); len(rest) >= reportLen && sentAt <= r.serverTime(now)+clockTolerance; rest = rest[reportLen:] {
		idHash, report := decodeReport(rest, sentAt)
		if nodes := r.nodesByHash[idHash]; len(nodes) == 1 && report.Present {
			node := &r.nodes[nodes[0]]
			r.recordReport(node, now, report)
			anyInOwnZone = anyInOwnZone || r.inOwnZone(node)
		}
	}
	return anyInOwnZone
}
