package eventloop

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gingerfork/internal/statemachine"
)

// exhaustDescriptors uses up all descriptors of the process but one, under a lowered limit, until release is called. The
// release happens at the end of the test at the latest.
func exhaustDescriptors(t *testing.T) (release func()) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here:", err)
	}
	lowered := limit
	lowered.Cur = uint64(len(open) + 8)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	var files []*os.File
	released := false
	release = func() {
		if released {
			return
		}
		released = true
		for _, file := range files {
			file.Close()
		}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(release)
	for {
		file, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		files = append(files, file)
	}
	files[len(files)-1].Close()
	files = files[:len(files)-1]
	return release
}

// A shortage of descriptors stops new connections while it lasts, and neither the open ones nor the listener for good.
func TestListenerSurvivesDescriptorShortage(t *testing.T) {
	loop, machine := startEcho(t, Bootstrap{})
	old := dial(t, loop.Addrs()[0])
	mustEcho(t, old, "x")
	release := exhaustDescriptors(t)
	waiting, err := net.Dial("tcp", loop.Addrs()[0]) // takes the last descriptor for this side of the connection
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	eventually(t, "the shortage", func() bool { return loop.Stats().ConnectionFailures > 0 })
	loop.SendCommand("dial " + loop.Addrs()[0])
	machine.awaitCount(t, "the dial that had no descriptor", 1, func(input statemachine.Input) bool {
		return isClosed(input) && input.Conn == statemachine.DialedBit+1 && input.LocalFailure
	})
	mustEcho(t, old, "y")
	release()
	eventually(t, "a new connection is served again", func() bool {
		fresh, err := net.Dial("tcp", loop.Addrs()[0])
		if err != nil {
			return false
		}
		defer fresh.Close()
		fresh.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(fresh, "z")
		_, err = io.ReadFull(fresh, make([]byte, 1))
		return err == nil
	})
}

// At the bound none is accepted, and the next one is as soon as one has closed; dialed connections count.
func TestConnectionsAreBounded(t *testing.T) {
	loop, machine := startEcho(t, Bootstrap{MaxConnections: 3})
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	loop.SendCommand("dial " + far.Addr().String())
	machine.awaitCount(t, "the dialed connection is open", 1, isOpened)
	var conns []net.Conn
	for range 5 {
		conns = append(conns, dial(t, loop.Addrs()[0]))
	}
	machine.awaitCount(t, "two are accepted beside it", 3, isOpened)
	loop.SendCommand("wake") // time in which a connection past the bound would be accepted
	machine.awaitWakeUp(t)
	if n := machine.count(isOpened); n != 3 {
		t.Fatalf("%d connections are open at a bound of 3", n)
	}
	for i := range 3 {
		conns[i].Close()
		machine.awaitCount(t, "the next is accepted", min(4+i, 6), isOpened)
	}
}
