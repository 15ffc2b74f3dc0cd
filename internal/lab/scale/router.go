package scale

import (
	"fmt"
	"net"
	"time"

	"sedgestream/internal/lab/fleet"
	"sedgestream/internal/standin"
)

// This file measures a single router: its usage by the number of its clients, and by the number of databases in its list.

// Window is the usage of a process in a window of time: CPU time in ms a second, and at its end memory in MB and descriptors.
type Window struct {
	X           float64 // number of clients or databases
	CPU, Memory float64
	Descriptors int
	ListBytes   int
}

// Times and limits of the measurement of a single router.
const (
	idleBefore     = 3 * time.Second
	windowLength   = 5 * time.Second
	windowCount    = 2
	routerLimits   = `{"cores":1,"memory_mb":192,"sockets":32768}` // clients that have sent a request may use 7/8 of 1/3 of the sockets
	clientDeadline = 20000                                         // ms
	smallListSize  = 2                                             // databases in the list while the number of clients varies
)

// MeasureIdleClients measures a router with different numbers of clients that are idle after one request each.
func MeasureIdleClients(t standin.TB, program string, counts []int, progress func(string)) (measured []Window) {
	router := standin.NewHarness(t, NewDatabases(t, smallListSize)...)
	router.Limits, router.Args = routerLimits, []string{"run"}
	router.Start(program)
	var clients []net.Conn
	for _, count := range counts {
		for len(clients) < count {
			client, err := net.Dial("tcp", router.Address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { client.Close() })
			client.SetDeadline(time.Now().Add(standin.WaitTimeout))
			askOnce(t, client)
			clients = append(clients, client)
		}
		measured = append(measured, measureWindows(router, float64(count))...)
		if descriptors := measured[len(measured)-1].Descriptors; descriptors < count {
			t.Fatal("the router has ", descriptors, " descriptors open, fewer than its ", count, " clients")
		}
		progress(fmt.Sprintf("%d clients: %+v", count, measured[len(measured)-1]))
	}
	return measured
}

// askOnce sends one request, as routers close connections that never send one.
func askOnce(t standin.TB, sock net.Conn) {
	client := standin.NewClient(t, sock)
	if !client.Startup() {
		t.Fatal("a client was not greeted")
	}
	if _, err := client.Query(standin.ReadQuery(clientDeadline)); err != nil {
		t.Fatal("a client was not answered: ", err)
	}
}

// MeasureListSizes measures routers without clients, for lists of different numbers of databases.
func MeasureListSizes(t standin.TB, program string, counts []int, progress func(string)) (measured []Window) {
	for _, count := range counts {
		router := standin.NewHarness(t, NewDatabases(t, count)...)
		router.Limits, router.Args = routerLimits, []string{"run"}
		router.Start(program)
		for _, window := range measureWindows(router, float64(count)) {
			window.ListBytes = len(router.ListEntries())
			measured = append(measured, window)
		}
		progress(fmt.Sprintf("%d databases: %+v", count, measured[len(measured)-1]))
		router.Cmd.Process.Kill()
		<-router.Exit
	}
	return measured
}

// measureWindows waits until the router is idle, and measures it in some windows.
func measureWindows(router *standin.Harness, x float64) (measured []Window) {
	time.Sleep(idleBefore)
	for range windowCount {
		before, begin := fleet.UsageOf(router.Cmd.Process.Pid), time.Now()
		time.Sleep(windowLength)
		after := fleet.UsageOf(router.Cmd.Process.Pid)
		measured = append(measured, Window{X: x, CPU: (after.CPU - before.CPU) / time.Since(begin).Seconds(), Memory: after.Memory,
			Descriptors: after.Descriptors})
	}
	return measured
}
