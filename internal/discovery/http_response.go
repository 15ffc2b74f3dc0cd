package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxHeaderBytes bounds the size of a response header.
const maxHeaderBytes = 16 << 10

// refusedError is the error of a call that discovery answered with a status other than 200.
type refusedError struct{ status string }

func (e *refusedError) Error() string { return fmt.Sprintf("list: discovery answered %q", e.status) }

// readResponse reads the header of an HTTP response and returns a reader of its body.
func readResponse(r *bufio.Reader) (io.Reader, error) {
	status, err := readHeaderLine(r)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(status, " ")
	if !strings.HasPrefix(version, "HTTP/1.") {
		return nil, errors.New("list: not an HTTP/1 response")
	}
	if !strings.HasPrefix(rest, "200") {
		return nil, &refusedError{rest}
	}
	length, chunked := int64(-1), false
	for size := 0; ; {
		line, err := readHeaderLine(r)
		if err != nil {
			return nil, err
		}
		if line == "" {
			break
		}
		if size += len(line); size > maxHeaderBytes {
			return nil, errors.New("list: the response header is too long")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, errors.New("list: malformed header")
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 63); err != nil || length < 0 {
				return nil, errors.New("list: malformed Content-Length")
			}
		case "transfer-encoding":
			if chunked = strings.EqualFold(value, "chunked"); !chunked {
				return nil, fmt.Errorf("list: unsupported transfer encoding %q", value)
			}
		}
	}
	switch {
	case chunked:
		return &chunkedReader{r: r}, nil
	case length >= 0:
		return &fixedLengthReader{r, length}, nil
	}
	return r, nil
}

// readHeaderLine reads one line of bounded length and returns it without its end.
func readHeaderLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull {
			return "", errors.New("list: a line of the response header is too long")
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// fixedLengthReader reads a body of known length. A body that ends earlier is an error.
type fixedLengthReader struct {
	r         io.Reader
	remaining int64
}

func (c *fixedLengthReader) Read(p []byte) (int, error) {
	if c.remaining == 0 {
		return 0, io.EOF
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.remaining)])
	if c.remaining -= int64(n); err == io.EOF && c.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a body in chunked transfer encoding.
type chunkedReader struct {
	r         *bufio.Reader
	remaining int64 // bytes of the current chunk
	started   bool
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if c.started { // end of the previous chunk
			if end, err := readHeaderLine(c.r); err != nil || end != "" {
				return 0, errors.Join(errors.New("list: malformed chunk"), err)
			}
		}
		sizeLine, err := readHeaderLine(c.r)
		if err != nil {
			return 0, err
		}
		sizeLine, _, _ = strings.Cut(sizeLine, ";")
		if c.remaining, err = strconv.ParseInt(strings.TrimSpace(sizeLine), 16, 63); err != nil || c.remaining < 0 {
			return 0, errors.New("list: malformed chunk")
		}
		if c.started = true; c.remaining == 0 {
			for { // trailers
				if trailer, err := readHeaderLine(c.r); err != nil {
					return 0, err
				} else if trailer == "" {
					return 0, io.EOF
				}
			}
		}
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.remaining)])
	if c.remaining -= int64(n); err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
