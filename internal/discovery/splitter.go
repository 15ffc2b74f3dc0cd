package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// maxListBytes bounds the size of one list: the platform documentation allows 3,200 nodes, which leaves
// 655 bytes for each. An entry with names of 25 letters, indented by four spaces, takes 330.
const maxListBytes = 2 << 20

// splitter splits the data from discovery into lists: JSON objects, each on a line of its own or spread
// over several, with empty lines between them. It accepts indented lists. A truncated list does not cost
// the lists after it, as long as they begin at the start of a line.
type splitter struct {
	r              *bufio.Reader
	onStart, onEnd func() // called when a list starts, and when it has been read or discarded

	offset         int64  // bytes read so far
	text           []byte // of the current list, so far
	depth          int    // number of open brackets
	inString       bool
	escaped        bool // after a backslash
	column         int  // bytes of the current line, so far
	lineHasContent bool // the current line has a byte other than white space
	skipping       bool // discarding everything up to a line that starts a list
	// restart is the offset in text of the last line that starts like a list. It may be the next list, if the
	// current one is truncated.
	restart      int
	restartDepth int    // number of open brackets at restart
	savedNext    []byte // the next list, while the truncated one before it is reported
}

// malformedError is data that is not a list. Reading continues after it.
type malformedError struct {
	offset int64 // in the response body, in bytes, where the error was detected
	err    error
}

func (e *malformedError) Error() string { return e.err.Error() }
func (e *malformedError) Unwrap() error { return e.err }

var (
	errInString       = errors.New("a line ends inside a string")
	errTruncated      = errors.New("a list is cut off by the start of the next one")
	errUnexpectedLine = errors.New("a line is neither empty nor the start of a list")
	errTooLong        = fmt.Errorf("list: longer than %d bytes", maxListBytes)
)

// next returns the text of the next list, or nothing for an empty line between two lists. After a
// malformedError the caller can continue; any other error is that of the stream. A list that is cut off by
// the end of the stream is io.ErrUnexpectedEOF. The text is valid until the next call.
func (s *splitter) next() (text []byte, err error) {
	if s.savedNext != nil {
		text, s.savedNext = s.savedNext, nil
		return text, nil
	}
	for s.text = s.text[:0]; ; {
		b, err := s.r.ReadByte()
		if err != nil {
			if err == io.EOF && len(s.text) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		s.offset++
		blank := b == ' ' || b == '\t' || b == '\r' || b == '\n'
		s.column, s.lineHasContent = s.column+1, s.lineHasContent || !blank
		if b == '\n' {
			empty := !s.lineHasContent
			if s.column, s.lineHasContent = 0, false; s.inString {
				return nil, s.malformed(errInString)
			} else if empty && len(s.text) == 0 {
				return nil, nil
			}
		}
		switch {
		case len(s.text) == 0 && blank:
			continue
		case s.skipping && (b != '{' || s.column != 1):
			continue
		case len(s.text) == 0 && b != '{':
			return nil, s.malformed(errUnexpectedLine)
		case len(s.text) == 0:
			s.skipping, s.restart = false, 0
			s.onStart()
		case len(s.text) == maxListBytes:
			return nil, errTooLong
		}
		if s.text = append(s.text, b); s.consume(b) {
			s.onEnd()
			return s.text, nil
		}
		if s.restart > 0 && s.depth == s.restartDepth && b == '}' {
			if _, err := parseListText(s.text[s.restart:]); err == nil {
				s.savedNext = append([]byte(nil), s.text[s.restart:]...)
				err := s.malformed(errTruncated)
				s.skipping = false
				return nil, err
			}
			s.restart = 0
		}
	}
}

// consume processes a byte of a list and reports whether it is the last one.
func (s *splitter) consume(b byte) bool {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped, s.inString = b == '\\', b != '"'
	case b == '"':
		s.inString = true
	case b == '{' || b == '[':
		if b == '{' && s.column == 1 && s.depth > 0 {
			s.restart, s.restartDepth = len(s.text)-1, s.depth
		}
		s.depth++
	case b == '}' || b == ']':
		s.depth--
	}
	return s.depth == 0
}

// malformed discards the current list and skips ahead to the next one.
func (s *splitter) malformed(err error) error {
	s.depth, s.inString, s.escaped, s.skipping = 0, false, false, true
	s.onEnd()
	return &malformedError{s.offset, err}
}
