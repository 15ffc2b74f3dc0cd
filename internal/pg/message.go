// Package pg parses and encodes the messages of version 3 of the PostgreSQL protocol, as far as clients and
// nodes use it here: simple queries of one statement, with a comment that describes the request. It does no
// I/O and takes no routing decisions.
package pg

import (
	"encoding/binary"
	"errors"

	"sedgestream/internal/ring"
)

// Sizes in bytes. The protocol of the service limits a value to 64 KiB, which takes twice that in
// hexadecimal. MaxMessageSize leaves room for the statement around it.
const (
	maxValueSize   = 64 << 10
	MaxMessageSize = 2*maxValueSize + 8<<10
	maxStartupSize = 4096
	headerSize     = 5
)

// The codes of startup packets.
const (
	version3Code      = 3 << 16
	cancelRequestCode = 1234<<16 | 5678
	sslRequestCode    = 1234<<16 | 5679
	gssRequestCode    = 1234<<16 | 5680
)

// ErrMalformed is returned for a message that is not valid. The connection it came over must be closed.
var ErrMalformed = errors.New("pg: malformed message")

// PeekMessage returns the message at the front of a buffer. If the message is not complete yet the kind is 0,
// and size is how many bytes the buffer has to hold for it, or for its header. The body is valid until the
// buffer changes.
func PeekMessage(r *ring.Ring) (kind byte, body []byte, size int, err error) {
	if r.Len() < headerSize {
		return 0, nil, headerSize, nil
	}
	header := r.Peek(headerSize)
	kind = header[0]
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if kind == 0 || length < headerSize-1 || length >= MaxMessageSize {
		return 0, nil, 0, ErrMalformed
	}
	if size = length + 1; r.Len() < size {
		return 0, nil, size, nil
	}
	return kind, r.Peek(size)[headerSize:], size, nil
}

// Body returns the body of a message.
func Body(message []byte) []byte { return message[headerSize:] }

// StartupKind is the kind of a startup packet.
type StartupKind byte

// The kinds of startup packets.
const (
	Incomplete StartupKind = iota
	Version3
	Version3Newer      // a minor version that is not supported
	EncryptionRequest  // to be answered with N, for no
	CancelRequest      // CancelKey returns its key; the connection is to be closed
	UnsupportedVersion // another major version
)

// PeekStartup returns the kind of the startup packet at the front of a buffer, with the size as for PeekMessage.
func PeekStartup(r *ring.Ring) (kind StartupKind, size int, err error) {
	if r.Len() < 8 {
		return Incomplete, 8, nil
	}
	header := r.Peek(8)
	size = int(int32(binary.BigEndian.Uint32(header)))
	if size < 8 || size > maxStartupSize {
		return Incomplete, 0, ErrMalformed
	}
	if r.Len() < size {
		return Incomplete, size, nil
	}
	switch code := binary.BigEndian.Uint32(header[4:]); {
	case code == version3Code:
		return Version3, size, nil
	case code>>16 == version3Code>>16:
		return Version3Newer, size, nil
	case code == sslRequestCode || code == gssRequestCode:
		return EncryptionRequest, size, nil
	case code == cancelRequestCode:
		return CancelRequest, size, nil
	}
	return UnsupportedVersion, size, nil
}

// beginMessage appends the header of a message, whose length endMessage sets once the body is appended. It
// returns the position of the length.
func beginMessage(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

func endMessage(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start))
	return b
}

func appendParameterStatus(b []byte, name, value string) []byte {
	b, start := beginMessage(b, 'S')
	b = append(append(append(append(b, name...), 0), value...), 0)
	return endMessage(b, start)
}

// AppendStartupReply appends the answer to a startup packet of version 3, which includes the key for cancel
// requests.
func AppendStartupReply(b []byte, key BackendKey) []byte {
	b, start := beginMessage(b, 'R')
	b = endMessage(append(b, 0, 0, 0, 0), start)
	b = appendParameterStatus(b, "server_version", "15.0")
	b = appendParameterStatus(b, "server_encoding", "UTF8")
	b = appendParameterStatus(b, "client_encoding", "UTF8")
	b = appendParameterStatus(b, "DateStyle", "ISO, MDY")
	b = appendParameterStatus(b, "integer_datetimes", "on")
	b = appendParameterStatus(b, "standard_conforming_strings", "on")
	b = appendBackendKey(b, key)
	return AppendReadyForQuery(b)
}

// AppendNegotiateProtocolVersion appends the answer to a newer minor version: 3.0 is supported, and no
// protocol option.
func AppendNegotiateProtocolVersion(b []byte) []byte {
	b, start := beginMessage(b, 'v')
	return endMessage(append(b, 0, 0, 0, 0, 0, 0, 0, 0), start)
}

// AppendReadyForQuery appends a ReadyForQuery message, outside of any transaction.
func AppendReadyForQuery(b []byte) []byte { return append(b, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmptyQuery appends the answer to an empty query.
func AppendEmptyQuery(b []byte) []byte { return AppendReadyForQuery(append(b, 'I', 0, 0, 0, 4)) }

// AppendCommandComplete appends the answer to a SET or another session command, which has no effect here.
func AppendCommandComplete(b []byte, tag string) []byte {
	b, start := beginMessage(b, 'C')
	return AppendReadyForQuery(endMessage(append(append(b, tag...), 0), start))
}

// The SQLSTATE codes of errors that the router reports itself.
const (
	tooManyConnections  = "53300" // too_many_connections: the request did not run, so a retry is harmless
	CannotConnectNow    = "57P03" // cannot_connect_now: the requests without an answer did not run, so a retry is harmless
	OutOfMemory         = "53200" // out_of_memory
	queryCanceled       = "57014" // query_canceled: whether the request ran is not known
	SyntaxError         = "42601" // syntax_error
	InvalidParameter    = "22023" // invalid_parameter_value
	FeatureNotSupported = "0A000" // feature_not_supported
	ProtocolViolation   = "08P01" // protocol_violation
	InternalError       = "XX000" // internal_error
)

// AppendError appends an ErrorResponse, without ReadyForQuery. Empty fields are left out.
func AppendError(b []byte, severity, state, message, detail string) []byte {
	b, start := beginMessage(b, 'E')
	for _, field := range []struct {
		kind byte
		text string
	}{{'S', severity}, {'V', severity}, {'C', state}, {'M', message}, {'D', detail}} {
		if field.text != "" {
			b = append(append(append(b, field.kind), field.text...), 0)
		}
	}
	return endMessage(append(b, 0), start)
}

// AppendStartup appends the startup packet of a connection to a node.
func AppendStartup(b []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 3, 0, 0)
	b = append(b, "user\x00worker\x00database\x00catalog\x00\x00"...)
	return endMessage(b, start)
}

// AppendEmptyStatement appends an empty query, which has no effect at a node and is answered at once.
func AppendEmptyStatement(b []byte) []byte { return append(b, 'Q', 0, 0, 0, 5, 0) }

// AppendReportQuery appends the query that asks a node for its report.
func AppendReportQuery(b []byte) []byte {
	b, start := beginMessage(b, 'Q')
	return endMessage(append(b, "SHOW vitals\x00"...), start)
}

// AppendRejection appends the error for a request that did not run, so that a retry is harmless. The detail
// is empty, or the number of milliseconds to wait before a retry.
func AppendRejection(b []byte, detail string) []byte {
	return AppendError(b, "ERROR", tooManyConnections, "the request was not executed, as the router has no capacity for it now; try again later", detail)
}

// AppendTooManyConnections appends the error for a query on a connection beyond the limit, which is then
// closed. A retry is harmless.
func AppendTooManyConnections(b []byte) []byte {
	return AppendError(b, "FATAL", tooManyConnections, "too many connections", "")
}

// AppendFailure appends the error for a request that has failed. Whether it ran is not known.
func AppendFailure(b []byte) []byte {
	return AppendError(b, "ERROR", queryCanceled, "the request was given up and may have been executed", "")
}
