package pg

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sedgestream/balance"
	"sedgestream/internal/ring"
)

const (
	read  = `SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */`
	write = `INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\x9f03') RETURNING body /* id=9b2f,c=order,d=480,k=5c0f,cluster=2 */`
)

// TestMain sets a fixed seed for generated inputs, so that each run has the same result. Flags on the command
// line take precedence.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// message returns a message with its header.
func message(kind byte, body string) []byte {
	b, start := beginMessage(nil, kind)
	return endMessage(append(b, body...), start)
}

// row returns the messages of an answer with one row, up to CommandComplete.
func row(value string) []byte {
	b := message('T', "\x00\x01body\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	header := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = append(b, message('D', string(header)+value)...)
	return append(b, message('C', "SELECT 1\x00")...)
}

func TestStatement(t *testing.T) {
	s, err := ParseStatement([]byte(read))
	if err != nil || s.Class != "basket" || s.TimeoutMillis != 480 || s.Group != 2 ||
		s.MinPositionMillis != 1767225600123 || s.Write || s.HasDedupKey {
		t.Errorf("%+v, %v", s, err)
	}
	if s, err = ParseStatement([]byte(write + ";")); err != nil || !s.Write || !s.HasDedupKey || s.MinPositionMillis != 0 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, timeout := range []int64{7, 480, 123456} {
		var sent bytes.Buffer
		query := s.QueryMessage(timeout)
		query.WriteTo(&sent)
		want := message('Q', strings.Replace(write, "d=480", fmt.Sprint("d=", timeout), 1)+"\x00")
		if !bytes.Equal(sent.Bytes(), want) {
			t.Errorf("sent %q, want %q", sent.Bytes(), want)
		}
	}
}

func TestInvalidStatements(t *testing.T) {
	for _, c := range [][2]string{{"oid = '7f3a9c21e0b4d655'", "oid = ''"}, {"SELECT body", "SELECT *"}, {"/*", "--"},
		{"*/", ""}, {"id=9b1f,", ""}, {"d=480", "d=0"}, {"d=480", "d=-3"}, {"d=480", "d=4e2"}, {"d=480", "d=99999999999"},
		{"d=480", "d=480,d=480"}, {",d=480", ""}, {"cluster=2", "cluster=two"}, {",cluster=2", ""}, {"c=basket,", ""},
		{"after=1767225600123", "after=now"}, {"d=480", "d"}, {"WHERE", "WHERE 1=1 AND"}, {"' /*", "' OR true /*"}} {
		text := strings.Replace(read, c[0], c[1], 1)
		if s, err := ParseStatement([]byte(text)); err == nil {
			t.Errorf("%s was parsed as %+v", text, s)
		}
	}
	for _, c := range [][2]string{{"RETURNING body", ""}, {`'\x9f03'`, "now()"}, {") RETURNING", "), ('a', 'b') RETURNING"}} {
		if s, err := ParseStatement([]byte(strings.Replace(write, c[0], c[1], 1))); err == nil {
			t.Errorf("%s for %s was parsed as %+v", c[1], c[0], s)
		}
	}
}

// A stream of messages is parsed to the same messages, however it is split into reads.
func TestSplitReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream, want []byte
		for range rapid.IntRange(1, 5).Draw(t, "messages") {
			body := rapid.StringN(0, 40, 80).Draw(t, "body")
			kind := byte(rapid.IntRange(1, 255).Draw(t, "kind"))
			stream = append(stream, message(kind, body)...)
			want = append(append(want, kind), body...)
		}
		r := ring.New(16, MaxMessageSize, nil)
		var got []byte
		for {
			kind, body, size, err := PeekMessage(r)
			if err != nil {
				t.Fatal(err)
			}
			if kind != 0 {
				got = append(append(got, kind), body...)
				r.Discard(size)
				continue
			}
			if len(stream) == 0 {
				break
			}
			if err := r.Reserve(size, time.Time{}); err != nil {
				t.Fatal(err)
			}
			n, _ := r.Fill(bytes.NewReader(stream[:rapid.IntRange(1, len(stream)).Draw(t, "piece")]))
			stream = stream[n:]
		}
		if !bytes.Equal(got, want) || r.Len() != 0 {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

// answer adds the messages of a stream to an Answer, up to the first error.
func answer(stream []byte) (*Answer, error) {
	r := ring.New(len(stream)+1, len(stream)+1, nil)
	r.Write(stream)
	a := &Answer{}
	for {
		kind, body, size, err := PeekMessage(r)
		if err != nil || kind == 0 {
			return a, err
		}
		if err := a.Add(kind, body); err != nil {
			return a, err
		}
		r.Discard(size)
	}
}

func TestAnswer(t *testing.T) {
	ready := AppendReadyForQuery(nil)
	status := appendParameterStatus(appendParameterStatus(nil, "rank", "copy"), "as_of", "1767225600123")
	failed := func(state string) []byte { return AppendError(nil, "ERROR", state, "words", "") }
	for name, c := range map[string]struct {
		stream  []byte
		ready   bool
		known   bool // OutcomeKnown
		outcome balance.Outcome
	}{
		"succeeded":       {append(append(row("v"), status...), ready...), true, true, balance.Succeeded},
		"not ready":       {row("v"), false, true, balance.Succeeded},
		"half a row":      {row("v")[:40], false, false, 0},
		"no primary":      {append(failed("25006"), ready...), true, true, balance.Misdirected},
		"behind":          {append(failed("72000"), ready...), true, true, balance.Misdirected},
		"error":           {append(failed("XX000"), ready...), true, true, balance.Failed},
		"full":            {append(failed("53300"), ready...), true, true, balance.Full},
		"full, not ready": {failed("53300"), false, true, balance.Full},
		"error after row": {append(append(row("v")[:len(row("v"))-14], failed("XX000")...), ready...), true, true, balance.Failed},
		"status only":     {status, false, false, 0},
	} {
		a, err := answer(c.stream)
		if err != nil || a.Ready != c.ready || a.OutcomeKnown() != c.known || c.known && a.Outcome != c.outcome {
			t.Errorf("%s: %+v, %v", name, a, err)
		}
	}
	a, _ := answer(append(append(row("v"), status...), ready...))
	if want := (balance.AnswerInfo{Role: balance.Replica, Position: 1767225600123e6}); a.Info != want || !bytes.Equal(a.Value.Head, row("v")) {
		t.Errorf("%+v", a)
	}
	for name, stream := range map[string][]byte{
		"two rows":              append(row("v"), row("v")...),
		"ready first":           ready,
		"row of two columns":    message('D', "\x00\x02\x00\x00\x00\x00\x00\x00\x00\x00"),
		"error without a state": message('E', "Mwords\x00\x00"),
		"unknown message":       message('W', ""),
		"no length":             {'T', 0, 0, 0, 1},
		"oversized message":     {'T', 0x7f, 0, 0, 1},
		"endless notices":       bytes.Repeat(message('N', strings.Repeat("n", 1000)), 2*MaxMessageSize/1000),
		"truncated column":      message('T', "\x00\x01body\x00\x00\x00"),
		"column without a name": message('T', "\x00\x01"+strings.Repeat("x", 23)),
		"empty tag":             append(row("v")[:len(row("v"))-14], message('C', "\x00")...),
		"unterminated tag":      append(row("v")[:len(row("v"))-14], message('C', "SELECT 1")...),
		"invalid tag":           append(row("v")[:len(row("v"))-14], message('C', "\xfe\x07\x00")...),
		"invalid state":         message('E', "C\x8153300\x00\x00"),
		"unterminated state":    message('E', "C53300\x00M"),
		"invalid ready":         append(row("v"), message('Z', "\x00")...),
	} {
		if a, err := answer(stream); err == nil {
			t.Errorf("%s was accepted: %+v", name, a)
		}
	}
}

// A ParameterStatus that can't be parsed does not invalidate the answer, and nothing of it is used.
func TestInvalidParameterStatus(t *testing.T) {
	for _, body := range []string{"", "vitals", "vitals\x00", "vitals\x00x0=9,x1=1", "vitals\x00x0=9,x1=\xff\x00",
		"vitals\x00x0=9,x1\x00", "vitals\x00x0=9,load_share=-1\x00", "vitals\x00x0=9,queue=1e300\x00",
		"vitals\x00x0=9,queue=NaN\x00", "vitals\x00x0=9\x00x1=1\x00"} {
		a, err := answer(append(append(row("v"), message('S', body)...), AppendReadyForQuery(nil)...))
		if err != nil || !a.Ready || a.Outcome != balance.Succeeded || a.Report.Present || a.Report.Position != 0 {
			t.Errorf("%q: %+v, %v", body, a, err)
		}
	}
}

// A position is never rounded up, so that no node looks fresher than it is.
func TestProbeReport(t *testing.T) {
	a, _ := answer(append(row("x0=1767225600.1239999,x1=0,load_share=0.25,inflight=3"), AppendReadyForQuery(nil)...))
	report := a.ProbeReport()
	if !report.Present || report.Position != 1767225600123999e3 || report.Role != balance.Replica || report.Utilization != 0.25 ||
		report.InFlight != 3 {
		t.Errorf("%+v", report)
	}
	for _, text := range []string{"", "x0=NaN", "x0", "=,=", "x0=-1e300,,"} {
		a, _ := answer(append(row(text), AppendReadyForQuery(nil)...))
		if report := a.ProbeReport(); report.Position != 0 || report.Role != 0 {
			t.Errorf("%q: %+v", text, report)
		}
	}
}

func TestStartup(t *testing.T) {
	packet := func(code uint32, rest string) []byte {
		b := binary.BigEndian.AppendUint32(make([]byte, 4), code)
		return endMessage(append(b, rest...), 0)
	}
	for _, c := range []struct {
		bytes []byte
		kind  StartupKind
	}{{AppendStartup(nil), Version3}, {packet(80877103, ""), EncryptionRequest}, {packet(80877104, ""), EncryptionRequest},
		{packet(80877102, "12345678"), CancelRequest}, {packet(2<<16, "x"), UnsupportedVersion}, {packet(3<<16|2, "x"), Version3Newer}} {
		r := ring.New(64, 64, nil)
		for i, b := range c.bytes {
			if kind, _, err := PeekStartup(r); kind != Incomplete || err != nil {
				t.Fatalf("%q after %d bytes: %v, %v", c.bytes, i, kind, err)
			}
			r.Write([]byte{b})
		}
		if kind, size, err := PeekStartup(r); kind != c.kind || size != len(c.bytes) || err != nil {
			t.Errorf("%q: %v, %d, %v", c.bytes, kind, size, err)
		}
	}
	r := ring.New(64, 64, nil)
	r.Write([]byte("GET / HTTP/1.1\r\n"))
	if _, _, err := PeekStartup(r); err == nil {
		t.Error("the first bytes of another protocol were accepted")
	}
}

// A cancel request holds the key that was sent in the startup reply; one of another size holds none.
func TestCancelKey(t *testing.T) {
	want := BackendKey{Process: 1<<31 - 1, Secret: 0xfedcba98}
	reply := AppendStartupReply(nil, want)
	at := bytes.Index(reply, []byte{'K', 0, 0, 0, 12})
	if at < 0 {
		t.Fatal("no key in the startup reply")
	}
	sent := reply[at+headerSize : at+headerSize+8]
	for _, more := range []int{0, -1, 1} {
		packet := binary.BigEndian.AppendUint32(make([]byte, 4), cancelRequestCode)
		packet = endMessage(append(packet, append(bytes.Clone(sent), 0)[:8+more]...), 0)
		r := ring.New(64, 64, nil)
		r.Write(packet)
		kind, size, err := PeekStartup(r)
		if kind != CancelRequest || err != nil {
			t.Fatal(kind, err)
		}
		key, ok := CancelKey(r, size)
		if ok != (more == 0) || ok && key != want {
			t.Errorf("of %d bytes: %v, %v", size, key, ok)
		}
	}
}

// No input from a connection makes a parser panic.
func FuzzParsers(f *testing.F) {
	f.Add(append(append([]byte(nil), row("x0=1,x1=1")...), 'Z', 0, 0, 0, 5, 'I'))
	f.Add(AppendStartup(nil))
	f.Add([]byte(read))
	f.Add([]byte(write))
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, err := answer(b); err == nil && a.Ready {
			a.ProbeReport()
		}
		r := ring.New(len(b)+1, len(b)+1, nil)
		r.Write(b)
		if kind, size, err := PeekStartup(r); kind == CancelRequest && err == nil {
			CancelKey(r, size)
		}
		SessionCommandTag(b)
		if s, err := ParseStatement(b); err == nil {
			var sent bytes.Buffer
			query := s.QueryMessage(s.TimeoutMillis)
			query.WriteTo(&sent)
			kind, body, _, err := PeekMessage(fill(sent.Bytes()))
			if err != nil || kind != 'Q' || !bytes.HasSuffix(body, []byte("*/\x00")) {
				t.Errorf("%q was sent to a node as %q", b, body)
			}
		}
	})
}

// fill returns a buffer with the given content.
func fill(b []byte) *ring.Ring {
	r := ring.New(len(b), len(b), nil)
	r.Write(b)
	return r
}
