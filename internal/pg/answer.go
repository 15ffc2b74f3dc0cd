package pg

import (
	"bytes"
	"encoding/binary"
	"math"
	"strconv"

	"sedgestream/balance"
	"sedgestream/internal/ring"
)

// Answer collects what a node sends in answer to one query.
type Answer struct {
	Outcome balance.Outcome // valid once Ready is set or OutcomeKnown has returned true
	Ready   bool            // ReadyForQuery has arrived, so the answer is complete
	Value   ring.Payload    // the messages that make up the value, as the node sent them
	Info    balance.AnswerInfo
	Report  balance.Report

	hasRowDescription, hasRow, isComplete bool
	sqlState                              string
	size                                  int
	detached                              *ring.Memory // of the message that is being added, if it need not be copied
}

// columnSize is how many bytes follow the name of a column in a RowDescription.
const columnSize = 18

// Add adds a message. It returns ErrMalformed for one that is not valid at this point of an answer; the
// outcome is then not known, whatever came before. A ParameterStatus that can't be parsed is ignored, as it
// is not part of the answer.
func (a *Answer) Add(kind byte, body []byte) error {
	// Bounds the size of all messages together, so that an endless answer is not read forever. There is one
	// value of at most MaxMessageSize, and the messages around it.
	if a.size += headerSize + len(body); a.size > 2*MaxMessageSize {
		return ErrMalformed
	}
	switch kind {
	case 'S': // ParameterStatus
		name, rest, _ := bytes.Cut(body, []byte{0})
		if value, ok := cString(rest); ok {
			a.addParameterStatus(string(name), string(value))
		}
	case 'N': // NoticeResponse
	case 'T': // RowDescription
		if a.hasRowDescription || a.sqlState != "" || len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
			return ErrMalformed
		}
		if nameSize := bytes.IndexByte(body[2:], 0); nameSize < 0 || len(body) != 2+nameSize+1+columnSize {
			return ErrMalformed
		}
		a.hasRowDescription = true
		a.appendValue(kind, body)
	case 'D': // DataRow
		if !a.hasRowDescription || a.hasRow || len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
			return ErrMalformed
		}
		if valueSize := int32(binary.BigEndian.Uint32(body[2:])); int64(max(valueSize, 0)) != int64(len(body)-6) {
			return ErrMalformed
		}
		a.hasRow = true
		a.appendValue(kind, body)
	case 'C': // CommandComplete
		if tag, ok := cString(body); !ok || !isCommandTag(tag) || !a.hasRow || a.isComplete || a.sqlState != "" {
			return ErrMalformed
		}
		a.isComplete = true
		a.appendValue(kind, body)
	case 'E': // ErrorResponse
		if a.isComplete || a.sqlState != "" {
			return ErrMalformed
		}
		if a.sqlState = errorField(body, 'C'); len(a.sqlState) != sqlStateSize || body[len(body)-1] != 0 {
			return ErrMalformed
		}
	case 'Z': // ReadyForQuery
		if len(body) != 1 || bytes.IndexByte([]byte("ITE"), body[0]) < 0 || !a.isComplete && a.sqlState == "" {
			return ErrMalformed
		}
		a.Ready = true
		a.Outcome = a.currentOutcome()
	default:
		return ErrMalformed
	}
	return nil
}

// AddDetached is Add for a message, with its header, in memory of its own. The answer's value takes it over without a copy.
func (a *Answer) AddDetached(kind byte, message *ring.Memory) error {
	a.detached = message
	err := a.Add(kind, Body(message.Bytes()))
	if a.detached != nil { // not part of the value
		message.Release()
	}
	a.detached = nil
	return err
}

// HasBegun reports whether a message of the result has come, so more than what a node may send at any time.
func (a *Answer) HasBegun() bool { return a.hasRowDescription || a.sqlState != "" }

// cString returns the text of a body that is one zero-terminated string, and whether the body is that.
func cString(body []byte) (text []byte, ok bool) {
	zero := bytes.IndexByte(body, 0)
	return body[:max(zero, 0)], zero >= 0 && zero == len(body)-1
}

// isCommandTag reports whether a text has the form of a command tag: words in capitals and numbers.
func isCommandTag(tag []byte) bool {
	return len(tag) > 0 && len(bytes.Trim(tag, "ABCDEFGHIJKLMNOPQRSTUVWXYZ 0123456789")) == 0
}

// sqlStateSize is the length of an SQLSTATE code.
const sqlStateSize = 5

// appendValue adds a message to the value.
func (a *Answer) appendValue(kind byte, body []byte) {
	if a.detached != nil && a.Value.Long == nil {
		a.Value.Long, a.detached = a.detached, nil
		return
	}
	var header [headerSize]byte
	header[0] = kind
	binary.BigEndian.PutUint32(header[1:], uint32(headerSize-1+len(body)))
	a.Value.Append(header[:])
	a.Value.Append(body)
}

// OutcomeKnown reports whether the node has sent the result of the query, if its connection ends before
// ReadyForQuery, and sets Outcome to it. After a fatal error a node need not send ReadyForQuery.
func (a *Answer) OutcomeKnown() bool {
	if a.Ready || !a.isComplete && a.sqlState == "" {
		return a.Ready
	}
	a.Outcome = a.currentOutcome()
	return true
}

// currentOutcome maps the SQLSTATE code of the answer to an outcome.
func (a *Answer) currentOutcome() balance.Outcome {
	switch a.sqlState {
	case "":
		return balance.Succeeded
	case "25006", "72000": // read_only_sql_transaction: not the primary; snapshot_too_old: too far behind
		return balance.Misdirected
	case "53300", "57P03": // too_many_connections, cannot_connect_now
		return balance.Full
	}
	return balance.Failed
}

// errorField returns a field of an ErrorResponse by its type, or "".
func errorField(body []byte, kind byte) string {
	for len(body) > 1 {
		text, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ""
		}
		if body[0] == kind {
			return string(text)
		}
		body = rest
	}
	return ""
}

// addParameterStatus records what a ParameterStatus says about the node, if the name is known here.
func (a *Answer) addParameterStatus(name, value string) {
	switch name {
	case "rank":
		switch value {
		case "source":
			a.Info.Role = balance.Primary
		case "copy":
			a.Info.Role = balance.Replica
		}
	case "as_of":
		if millis, err := strconv.ParseInt(value, 10, 64); err == nil && millis > 0 && millis < math.MaxInt64/1_000_000 {
			a.Info.Position = millis * 1e6
		}
	case "vitals":
		a.Report = parseReport(value)
	}
}

// unreadableReport stands for a report that can't be parsed.
var unreadableReport = balance.Report{InFlight: -1}

// ProbeReport returns the report in the row that answers a probe.
func (a *Answer) ProbeReport() balance.Report {
	text := a.RowText()
	if text == "" {
		return balance.Report{}
	}
	return parseReport(text)
}

// RowText returns the value in the answer's row, or "" if there is none or it is long.
func (a *Answer) RowText() string {
	messages := a.Value.Head
	for start := 0; start+headerSize <= len(messages); {
		size := int(binary.BigEndian.Uint32(messages[start+1:]))
		if messages[start] == 'D' {
			return string(messages[start+11 : start+1+size])
		}
		start += 1 + size
	}
	return ""
}

// parseReport parses name=value pairs. Positions are in Unix seconds here, and are rounded down to whole
// microseconds so that no node looks fresher than it is. If any value can't be parsed the whole report is
// dropped.
func parseReport(text string) balance.Report {
	report := unreadableReport
	for _, pair := range bytes.Split([]byte(text), []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		number, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
		if err != nil || !(number >= 0 && number < math.MaxInt64) {
			return unreadableReport
		}
		report.Present = true
		switch string(bytes.TrimSpace(name)) {
		case "inflight", "concurrent":
			report.InFlight = number
		case "queue", "depth": // a lower bound of the requests in flight, if these are not reported
			report.InFlight = max(report.InFlight, number)
		case "util", "load_share":
			report.Utilization = number
		case "x0": // position
			if number > 0 && number < math.MaxInt64/1e9 {
				report.Position = int64(math.Floor(number*1e6)) * 1000
			}
		case "x1": // 1 from a primary
			if report.Role = balance.Replica; number >= 0.5 {
				report.Role = balance.Primary
			}
		}
	}
	return report
}
