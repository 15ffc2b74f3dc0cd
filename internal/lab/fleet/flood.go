package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"sedgestream/internal/decide/members"
	"sedgestream/internal/lab/day"
	"sedgestream/internal/message"
)

// namesPerDatagram is how many invented names a datagram carries.
const namesPerDatagram = 12

// flood sends instances datagrams that they must ignore, directly and not through relays, while the fault is active: corrupt ones,
// or well-formed ones with the names of members that don't exist.
func (h *Harness) flood(index int, fault *day.Fault, targets []*process) {
	sock, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		h.violation("no socket for %s: %v", fault.Kind, err)
		return
	}
	defer sock.Close()
	random := rand.New(rand.NewPCG(h.Seed, uint64(index)))
	fleetID := message.FleetIDOf(h.fleetName())
	rate := fault.Amount
	if fault.Kind == day.FakeNames {
		rate /= namesPerDatagram
	}
	const interval = 10 * time.Millisecond
	due, serial := 0.0, 0
	for h.isActive(index) {
		time.Sleep(interval)
		for due += rate * interval.Seconds(); due >= 1; due-- {
			datagram := corruptDatagram(random, fleetID)
			if fault.Kind == day.FakeNames {
				datagram = fakeNamesDatagram(fleetID, &serial)
			}
			for _, target := range targets {
				h.mu.Lock()
				address := target.memberAddress
				h.mu.Unlock()
				if to, err := net.ResolveUDPAddr("udp", address); err == nil {
					sock.WriteToUDP(datagram, to)
				}
			}
		}
	}
}

// aliveMessage is a valid message of a member that does not exist.
func aliveMessage(name string) *members.Message {
	return &members.Message{Kind: members.Gossip, From: members.Record{Name: name, Address: "127.0.0.1:9", RunID: 7, Incarnation: 1}}
}

// corruptDatagram draws an invalid datagram: noise, a truncated one, one of another version or fleet, one with a field out of
// bounds, or one that is too long.
func corruptDatagram(random *rand.Rand, fleetID message.FleetID) []byte {
	noise := make([]byte, 1+random.IntN(members.MaxDatagramBytes))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	valid, _ := message.EncodeDatagram(aliveMessage("ghost"), fleetID)
	switch random.IntN(6) {
	case 0:
		return noise
	case 1:
		return valid[:random.IntN(len(valid))]
	case 2:
		valid[0]++
		return valid
	case 3:
		foreign, _ := message.EncodeDatagram(aliveMessage("ghost"), fleetID+1)
		return foreign
	case 4:
		msg := aliveMessage("ghost")
		msg.From.Incarnation = members.MaxIncarnation + 1
		outOfBounds, _ := message.EncodeDatagram(msg, fleetID)
		return outOfBounds
	}
	return append(valid, make([]byte, 20<<10)...)
}

// fakeNamesDatagram is a valid datagram with the names of members that don't exist.
func fakeNamesDatagram(fleetID message.FleetID, serial *int) []byte {
	msg := aliveMessage("liar")
	for range namesPerDatagram {
		*serial++
		msg.Rumors = append(msg.Rumors, members.Record{Name: fmt.Sprintf("nobody%07d", *serial), Address: "127.0.0.1:9",
			RunID: uint64(*serial), Incarnation: 1})
	}
	text, _ := message.EncodeDatagram(msg, fleetID)
	return text
}

// fleetName differs by harness, also among harnesses of one machine or one process, so that their members ignore each other.
func (h *Harness) fleetName() string { return fmt.Sprintf("rig %d.%d", os.Getpid(), h.serial) }
