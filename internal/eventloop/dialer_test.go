package eventloop

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gingerfork/internal/statemachine"
)

func TestDialReportsOpenCloseAndRefusal(t *testing.T) {
	other, _ := startEcho(t, Bootstrap{})
	loop, machine := startEcho(t, Bootstrap{
		RewriteDialAddress: func(addr string) string { return strings.Replace(addr, "other", other.Addrs()[0], 1) },
	})
	loop.SendCommand("dial other")
	machine.awaitCount(t, "the dialed connection", 1, func(input statemachine.Input) bool {
		return isOpened(input) && input.Conn == statemachine.DialedBit+1
	})
	other.Stop()
	machine.awaitCount(t, "its end", 1, isClosed)
	_ = other.Wait()
	loop.SendCommand("dial other")
	machine.awaitCount(t, "the refusal", 1, func(input statemachine.Input) bool {
		return isClosed(input) && input.Text == reasonRefused
	})
}

// dialingMachine dials the address that a command names, and aborts the dial at an empty command.
type dialingMachine struct{}

func (dialingMachine) Step(_ statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, input := range in {
		switch {
		case input.Kind == statemachine.OperatorCommand && input.Text != "":
			out.Dial(statemachine.DialedBit+1, input.Text)
		case input.Kind == statemachine.OperatorCommand:
			out.Abort(statemachine.DialedBit + 1)
		}
	}
}

// listenWithoutAccepting returns the address of a socket that accepts nobody: dials beyond the first get no answer.
func listenWithoutAccepting(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	dial(t, addr)
	return addr
}

// A dial that the machine aborts gives its descriptor back at once. Otherwise probes of a zone that does not answer would
// hold many times the descriptors that probes may have, for as long as a dial lasts.
func TestAbortedDialReleasesItsConnectionAtOnce(t *testing.T) {
	silent := listenWithoutAccepting(t)
	loop := startLoop(t, Bootstrap{Machine: dialingMachine{}, DialTimeout: time.Hour})
	connections := func() int {
		loop.mu.Lock()
		defer loop.mu.Unlock()
		return loop.connectionCount
	}
	loop.SendCommand(silent)
	eventually(t, "it is being dialed", func() bool { return connections() == 1 })
	loop.SendCommand("")
	eventually(t, "the dial is canceled", func() bool { return connections() == 0 })
}
