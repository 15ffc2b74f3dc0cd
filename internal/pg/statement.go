package pg

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"net"
	"strconv"
)

// Statement is a client's query: the fields of its comment, and its text. The text is sent to nodes unchanged
// except for the timeout.
type Statement struct {
	ID                string
	Class             string
	TimeoutMillis     int64 // how long the client waits from when it sent the query
	Group             int64
	MinPositionMillis int64 // position in the replication log that the read must reflect, in Unix milliseconds; 0: none
	Write             bool
	HasDedupKey       bool   // has a key by which nodes discard retries
	IsRetry           bool   // the client marks it as a retry
	ObjectID          []byte // of the object to read or write

	text                     []byte
	timeoutStart, timeoutEnd int // the position of the timeout in text
}

// Errors of ParseStatement. Their texts are sent to the client.
var (
	errStatementForm = errors.New("want SELECT body FROM objects WHERE oid = '...' or INSERT INTO objects (oid, body) VALUES ('...', '...') RETURNING body, with a comment")
	errComment       = errors.New("the comment wants id, c, d and cluster, each once and in its form, and 64 pairs at most")
)

const (
	selectPrefix    = "SELECT body FROM objects WHERE oid = '"
	insertPrefix    = "INSERT INTO objects (oid, body) VALUES ('"
	returningClause = "RETURNING body"
)

// maxCommentPairs is how many pairs a comment may have. Far fewer have a meaning; without a bound, comments of very many
// short pairs would take the processor time of others.
const maxCommentPairs = 64

// ParseStatement parses the text of a query and keeps a copy of it, if it is valid.
func ParseStatement(text []byte) (*Statement, error) {
	s, err := ParseStatementInPlace(text)
	if err != nil {
		return nil, err
	}
	objectStart := len(selectPrefix)
	if s.Write {
		objectStart = len(insertPrefix)
	}
	s.text = bytes.Clone(s.text)
	s.ObjectID = s.text[objectStart : objectStart+len(s.ObjectID)]
	return s, nil
}

// ParseStatementInPlace is ParseStatement without a copy: the text must not change while the statement is in use.
func ParseStatementInPlace(text []byte) (*Statement, error) {
	text = bytes.TrimRight(text, " \t\r\n;")
	comment := bytes.LastIndex(text, []byte("/*"))
	if comment < 0 || !bytes.HasSuffix(text, []byte("*/")) || comment+4 > len(text) {
		return nil, errStatementForm
	}
	s := &Statement{text: text}
	object, ok := s.parseForm(s.text[:comment])
	if !ok {
		return nil, errStatementForm
	}
	if !s.parseComment(comment+2, len(s.text)-2) {
		return nil, errComment
	}
	s.ObjectID = object
	return s, nil
}

// parseForm checks the SQL before the comment, sets Write, and returns the object's id.
func (s *Statement) parseForm(sql []byte) (object []byte, ok bool) {
	rest, isRead := bytes.CutPrefix(sql, []byte(selectPrefix))
	if !isRead {
		if rest, s.Write = bytes.CutPrefix(sql, []byte(insertPrefix)); !s.Write {
			return nil, false
		}
	}
	object, rest, ok = bytes.Cut(rest, []byte("'"))
	if !ok || len(object) == 0 {
		return nil, false
	}
	if s.Write {
		value := bytes.TrimLeft(rest, ", ")
		if len(value) == len(rest) || len(value) == 0 || value[0] != '\'' {
			return nil, false
		}
		if _, rest, ok = bytes.Cut(value[1:], []byte("'")); !ok {
			return nil, false
		}
		rest = bytes.TrimLeft(rest, ") ")
		rest, ok = bytes.CutPrefix(rest, []byte(returningClause))
	}
	return object, ok && len(bytes.TrimSpace(rest)) == 0 || !s.Write && len(bytes.TrimSpace(rest)) == 0
}

// parseComment parses the comma-separated name=value pairs between two positions of the text, and reports
// whether they are complete and valid.
func (s *Statement) parseComment(start, end int) bool {
	var hasTimeout, hasGroup bool
	for at, pairs := start, 1; at < end; pairs++ {
		if pairs > maxCommentPairs {
			return false
		}
		next := end
		if comma := bytes.IndexByte(s.text[at:end], ','); comma >= 0 {
			next = at + comma
		}
		name, value, ok := bytes.Cut(s.text[at:next], []byte("="))
		if !ok {
			return false
		}
		value = bytes.TrimRight(value, " ")
		switch string(bytes.TrimSpace(name)) {
		case "id":
			if s.ID != "" || len(value) == 0 {
				return false
			}
			s.ID = string(value)
		case "k":
			s.HasDedupKey = len(value) > 0
		case "r":
			s.IsRetry = string(value) == "1"
		case "c":
			if s.Class != "" {
				return false
			}
			s.Class = string(value)
		case "d":
			// A timeout above 24 days, the milliseconds of an int32, is longer than any client waits.
			if s.TimeoutMillis, ok = parseNumber(value); !ok || hasTimeout || s.TimeoutMillis > math.MaxInt32 {
				return false
			}
			hasTimeout = true
			s.timeoutStart = at + bytes.IndexByte(s.text[at:next], '=') + 1
			s.timeoutEnd = s.timeoutStart + len(value)
		case "cluster":
			if s.Group, ok = parseNumber(value); !ok || hasGroup {
				return false
			}
			hasGroup = true
		case "after":
			if s.MinPositionMillis, ok = parseNumber(value); !ok {
				return false
			}
		}
		at = next + 1
	}
	return s.ID != "" && s.Class != "" && hasTimeout && s.TimeoutMillis > 0 && hasGroup
}

// parseNumber parses a whole number of at least 0.
func parseNumber(b []byte) (int64, bool) {
	n, err := strconv.ParseUint(string(b), 10, 63)
	return int64(n), err == nil
}

// QueryMessage returns the Query message for a node, with the time in milliseconds that the router will wait.
// It is in pieces, so that a long statement is not copied.
func (s *Statement) QueryMessage(timeoutMillis int64) net.Buffers {
	header, _ := beginMessage(make([]byte, 0, headerSize), 'Q')
	timeout := strconv.AppendInt(nil, timeoutMillis, 10)
	binary.BigEndian.PutUint32(header[1:], uint32(headerSize-1+s.timeoutStart+len(timeout)+len(s.text)-s.timeoutEnd+1))
	return net.Buffers{header, s.text[:s.timeoutStart], timeout, s.text[s.timeoutEnd:], {0}}
}

// Size returns the length of the statement's text in bytes.
func (s *Statement) Size() int { return len(s.text) }

// IsEmpty reports whether a query has no statement.
func IsEmpty(text []byte) bool { return len(bytes.Trim(text, " \t\r\n;")) == 0 }

// SessionCommandTag returns the command tag for a statement that only concerns the session, which has no
// effect here, or "" for any other.
func SessionCommandTag(text []byte) string {
	word, _, _ := bytes.Cut(bytes.Trim(text, " \t\r\n;"), []byte(" "))
	switch tag := string(bytes.ToUpper(word)); tag {
	case "SET", "RESET", "DISCARD":
		return tag
	}
	return ""
}
