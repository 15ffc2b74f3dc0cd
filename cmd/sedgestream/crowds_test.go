package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sedgestream/internal/standin"
)

// crowdSizes are the memory limits in MB at which crowds of bad clients are played.
var crowdSizes = []int{32, 64, 192}

// crowdClients is how many clients of a crowd are connected at once, of 1,024 descriptors.
const crowdClients = 400

// crowd is a kind of bad clients, each of which has the router's address to connect to, until the end of the play.
type crowd struct {
	name   string
	behave func(play *crowdPlay, number int)
}

// crowdPlay is one play of a crowd beside usual clients.
type crowdPlay struct {
	t      *testing.T
	router *standin.Harness
	until  time.Time
}

// startupPacket returns a startup packet with further fields.
func startupPacket(fields string) []byte {
	body := "\x00\x03\x00\x00user\x00worker\x00database\x00catalog\x00" + fields + "\x00"
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body...)
}

// dial connects to the router. The connection ends with the play at the latest; nil if it can't be opened.
func (p *crowdPlay) dial() net.Conn {
	sock, err := net.DialTimeout("tcp", p.router.Address, time.Second)
	if err != nil {
		return nil
	}
	sock.SetDeadline(p.until)
	return sock
}

// drain reads until the connection ends.
func drain(sock net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := sock.Read(buffer); err != nil {
			return
		}
	}
}

// writeSlowly writes a message in pieces with pauses between them.
func writeSlowly(sock net.Conn, message []byte, piece int, pause time.Duration) {
	for len(message) > 0 {
		n := min(piece, len(message))
		if _, err := sock.Write(message[:n]); err != nil {
			return
		}
		message = message[n:]
		time.Sleep(pause)
	}
}

// manyPairs returns a read whose comment has very many empty pairs.
func manyPairs(bytes int) string {
	return strings.Replace(standin.ReadQuery(900), "/* id=", "/* "+strings.Repeat("=,", bytes/2)+"id=", 1)
}

// memoryCrowds are clients that make a router keep much of what they send.
var memoryCrowds = []crowd{
	{"slow writers", func(p *crowdPlay, number int) {
		if sock := p.dial(); sock != nil {
			defer sock.Close()
			go drain(sock)
			sock.Write(startupPacket(""))
			writeSlowly(sock, queryMessage(longWrite(2000)), 2000, 50*time.Millisecond)
		}
	}},
	{"half of a large request", func(p *crowdPlay, number int) {
		if sock := p.dial(); sock != nil {
			defer sock.Close()
			whole := queryMessage(longWrite(2000))
			sock.Write(startupPacket(""))
			sock.Write(whole[:len(whole)-1-number%1000])
			drain(sock)
		}
	}},
	{"heads of many short fields", func(p *crowdPlay, number int) {
		if sock := p.dial(); sock != nil {
			defer sock.Close()
			go drain(sock)
			sock.Write(startupPacket(strings.Repeat("a\x00b\x00", 950)))
			for range 3 {
				sock.Write(queryMessage(manyPairs(120_000)))
			}
			time.Sleep(200 * time.Millisecond)
		}
	}},
	{"slow heads of many short fields", func(p *crowdPlay, number int) {
		if sock := p.dial(); sock != nil {
			defer sock.Close()
			go drain(sock)
			writeSlowly(sock, startupPacket(strings.Repeat("a\x00b\x00", 950)), 700, 20*time.Millisecond)
			writeSlowly(sock, queryMessage(manyPairs(120_000)), 4000, 30*time.Millisecond)
		}
	}},
}

// allOf is a crowd in which each client is of one of the given kinds.
func allOf(kinds []crowd) crowd {
	return crowd{"all of these", func(p *crowdPlay, number int) { kinds[number%len(kinds)].behave(p, number) }}
}

// Hundreds of clients at once write slowly, stop in the middle of large requests, and send heads of very many short fields.
// The router stays below its memory limit, and usual clients get their answers in time. With comments of 60,000 pairs they did
// not (docs/incidents/comments-of-many-pairs.md).
func TestMemoryWhileCrowdsWrite(t *testing.T) {
	t.Parallel()
	for _, kind := range append(memoryCrowds, allOf(memoryCrowds)) {
		sizes := crowdSizes
		if !strings.Contains(kind.name, "all") && !strings.Contains(kind.name, "heads") {
			sizes = crowdSizes[:1]
		}
		for _, megabytes := range sizes {
			t.Run(fmt.Sprintf("%s, %d MB", kind.name, megabytes), func(t *testing.T) {
				playCrowd(t, kind, megabytes, crowdClients, 2*time.Second)
			})
		}
	}
}

// playCrowd plays a crowd of so many clients for a while, each behaving anew when it has ended, and checks memory and the
// answers of usual clients.
func playCrowd(t *testing.T, kind crowd, megabytes, clients int, length time.Duration) {
	playCrowdWithValue(t, kind, strings.Repeat("v", 1000), megabytes, clients, length)
}

// playCrowdWithValue is playCrowd with the value that nodes answer with.
func playCrowdWithValue(t *testing.T, kind crowd, value string, megabytes, clients int, length time.Duration) {
	primary, replica := standin.NewPair(t)
	primary.SkipRecords, replica.SkipRecords = true, true
	for _, node := range []*standin.Node{primary, replica} {
		node.Handler = func(backend *standin.Backend, _ standin.Conn, _ string) {
			time.Sleep(5 * time.Millisecond)
			node.SendValue(backend, value)
		}
	}
	router := newRouter(t, primary, replica)
	router.Limits = fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":1024}`, megabytes)
	router.Settings = strings.NewReplacer(`"aimUs":80000`, `"aimUs":400000`, `"deadlineUs":30000000`, `"deadlineUs":2000000`,
		`"peers":true`, `"peers":false`).Replace(standin.DefaultSettings)
	router.Start(builtProgram(t))
	usual := startUsualClients(t, router, 10, func(n, timeoutMs int) string {
		if n%3 == 0 {
			return standin.WriteQuery("order", timeoutMs)
		}
		return standin.ReadQuery(timeoutMs)
	})
	play := &crowdPlay{t: t, router: router, until: time.Now().Add(length)}
	repeatFor(length, clients, func(number, n int) {
		kind.behave(play, number)
		time.Sleep(rand.N(5 * time.Millisecond))
	})
	usual.stopAndCheck(0.5)
	used, limit := router.PeakMemoryKB(), megabytes*1_000_000/1024
	t.Logf("%d kB at most, of %d", used, limit)
	if used > limit {
		t.Errorf("the router has used %d kB, want %d at most", used, limit)
	}
	if router.Exited() {
		t.Error("the router has ended")
	}
}

// longValues returns a crowd whose clients send so many requests at once, reads and a share of long writes, and read all answers before
// they send again, after a pause.
func longValues(name string, requests int, writeShare float64, pause time.Duration) crowd {
	return crowd{name, func(p *crowdPlay, _ int) {
		sock := p.dial()
		if sock == nil {
			return
		}
		defer sock.Close()
		client := standin.NewClient(p.t, sock)
		sock.Write(startupPacket(""))
		for time.Now().Before(p.until) {
			var messages []byte
			for range requests {
				query := standin.ReadQuery(1000)
				if rand.Float64() < writeShare {
					query = longWrite(2000)
				}
				messages = append(messages, queryMessage(query)...)
			}
			if _, err := sock.Write(messages); err != nil {
				return
			}
			for range requests {
				if _, err := client.ReadAnswer(); err != nil {
					return
				}
			}
			time.Sleep(rand.N(2 * pause))
		}
	}}
}

// Values are of 64 KiB, and hundreds of clients send ten requests at once, or long writes alone. The router stays below its memory limit:
// each value, of a query or of an answer, lies in its memory once, and is counted until it is written
// (docs/incidents/copies-of-large-values.md).
func TestMemoryWithLongValues(t *testing.T) {
	t.Parallel()
	value := strings.Repeat("v", 64<<10)
	for i, kind := range []crowd{
		longValues("three requests at once, half of them long writes", 3, 0.5, 700*time.Millisecond),
		longValues("ten requests at once", 10, 0.01, 1500*time.Millisecond),
		longValues("single long writes", 1, 1, 200*time.Millisecond),
	} {
		sizes := crowdSizes
		if i > 0 {
			sizes = crowdSizes[:1]
		}
		for _, megabytes := range sizes {
			t.Run(fmt.Sprintf("%s, %d MB", kind.name, megabytes), func(t *testing.T) {
				playCrowdWithValue(t, kind, value, megabytes, crowdClients/2, 3*time.Second)
			})
		}
	}
}

// flood returns a crowd of one client that sends messages at full speed over one connection, and reads what comes back.
func flood(name string, message func(n int) []byte) crowd {
	return crowd{name, func(p *crowdPlay, _ int) {
		sock := p.dial()
		if sock == nil {
			return
		}
		defer sock.Close()
		go drain(sock)
		sock.Write(startupPacket(""))
		for n := 0; time.Now().Before(p.until); {
			var messages []byte
			for range 200 {
				messages = append(messages, message(n)...)
				n++
			}
			if _, err := sock.Write(messages); err != nil {
				return
			}
		}
	}}
}

// frontendMessage encodes a message of the protocol.
func frontendMessage(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body))), body...)
}

// floods are single clients that send small or unsound messages at full speed, also under ever new names.
var floods = []crowd{
	flood("empty queries", func(int) []byte { return queryMessage("") }),
	flood("nonsense", func(int) []byte { return queryMessage("nonsense") }),
	flood("new application names", func(n int) []byte { return queryMessage(fmt.Sprintf("SET application_name = 'name %d'", n)) }),
	flood("new classes", func(n int) []byte {
		return queryMessage(strings.Replace(standin.ReadQuery(500), "c=view", fmt.Sprintf("c=view%d", n), 1))
	}),
	flood("new groups", func(n int) []byte {
		return queryMessage(strings.Replace(standin.ReadQuery(500), "cluster=2", fmt.Sprintf("cluster=%d", 100+n), 1))
	}),
	flood("new sessions and tokens", func(n int) []byte {
		write := strings.Replace(standin.WriteQuery("order", 500), "7f3a9c21e0b4d655", fmt.Sprintf("%016x", n), 1)
		return queryMessage(strings.Replace(write, "k=5c0f", fmt.Sprintf("k=%x", n), 1))
	}),
	flood("new prepared statements", func(n int) []byte {
		return append(frontendMessage('P', fmt.Sprintf("statement %d\x00SELECT 1\x00\x00\x00", n)), frontendMessage('S', "")...)
	}),
	flood("messages without answer", func(int) []byte { return frontendMessage('H', "") }),
	{"new users", func(p *crowdPlay, number int) {
		for n := 0; time.Now().Before(p.until); n++ {
			if sock := p.dial(); sock != nil {
				sock.Write(startupPacket(fmt.Sprintf("application_name\x00a%d\x00options\x00o%d\x00", n, n)))
				sock.Write(queryMessage("nonsense"))
				sock.Close()
			}
		}
	}},
}

// One client sends small or unsound messages at full speed, also under ever new names. Other clients get their answers in time,
// and memory stays within its limit.
func TestFloodsOfOneClient(t *testing.T) {
	t.Parallel()
	for _, kind := range floods {
		sizes := crowdSizes[:1]
		if strings.Contains(kind.name, "sessions") {
			sizes = crowdSizes
		}
		for _, megabytes := range sizes {
			t.Run(fmt.Sprintf("%s, %d MB", kind.name, megabytes), func(t *testing.T) {
				playCrowd(t, kind, megabytes, 1, 2*time.Second)
			})
		}
	}
}

// builtProgramDir is the folder of the built program, which TestMain removes; "" if none was built.
var builtProgramDir string

// buildProgram builds the program and returns its path.
var buildProgram = sync.OnceValues(func() (path string, err error) {
	builtProgramDir, err = os.MkdirTemp("", "sedgestream-built")
	if err != nil {
		return "", err
	}
	path = filepath.Join(builtProgramDir, "sedgestream")
	output, err := exec.Command("go", "build", "-tags", "nolab", "-o", path, ".").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("go build: %w: %s", err, output)
	}
	return path, err
})

// builtProgram returns the program as operators build it. The one of the tests, with their code in it, takes some megabytes more.
func builtProgram(t *testing.T) string {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return path
}
