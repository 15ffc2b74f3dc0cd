package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
)

// The messages of version 3 of PostgreSQL's protocol, as far as the protocol page uses it.

func message(kind byte, body ...byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(b, body...)
}

func query(text string) []byte { return message('Q', append([]byte(text), 0)...) }

func startup() []byte {
	body := append([]byte{0, 3, 0, 0}, "user\x00worker\x00database\x00catalog\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

func status(name, value string) []byte { return message('S', []byte(name+"\x00"+value+"\x00")...) }

func ready() []byte { return message('Z', 'I') }

func failure(code string) []byte {
	return message('E', []byte("SERROR\x00C"+code+"\x00M"+code+"\x00\x00")...)
}

// row is a value of one column as a node gives it, without ReadyForQuery.
func row(value, tag string) []byte {
	b := message('T', append([]byte{0, 1}, append([]byte("body\x00"), make([]byte, 18)...)...)...)
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = append(b, message('D', append(data, value...)...)...)
	return append(b, message('C', []byte(tag+"\x00")...)...)
}

func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[1:])) - 4
	if size < 0 || size > 1<<20 {
		return 0, nil, fmt.Errorf("a message of %d bytes", size)
	}
	body = make([]byte, size)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// errorCode returns the SQLSTATE of an ErrorResponse.
func errorCode(body []byte) string {
	for _, field := range strings.Split(string(body), "\x00") {
		if strings.HasPrefix(field, "C") {
			return field[1:]
		}
	}
	return "?"
}

// comment returns the names and values in a statement's comment.
func comment(text string) map[string]string {
	values := map[string]string{}
	if at := strings.LastIndex(text, "/*"); at >= 0 {
		for _, pair := range strings.Split(strings.Trim(text[at:], "/* \x00"), ",") {
			name, value, _ := strings.Cut(pair, "=")
			values[strings.TrimSpace(name)] = strings.TrimSpace(value)
		}
	}
	return values
}

// connection is a client's connection to a router.
type connection struct {
	net.Conn
	in *bufio.Reader
}

// connect opens a connection and writes the startup message; answers to that are read by the first call of answer.
func connect(address string) (*connection, error) {
	sock, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_, err = sock.Write(startup())
	return &connection{sock, bufio.NewReader(sock)}, err
}

// awaitReady reads up to the next ReadyForQuery and returns what came before it: a row, an error's code, or neither.
func (c *connection) awaitReady() (value, code string, err error) {
	for {
		kind, body, err := readMessage(c.in)
		switch {
		case err != nil:
			return value, code, err
		case kind == 'D' && len(body) >= 6:
			value = string(body[6:])
		case kind == 'E':
			code = errorCode(body)
		case kind == 'Z':
			return value, code, nil
		}
	}
}
