package eventloop

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

func TestLoopAppliesEffects(t *testing.T) {
	dir := t.TempDir()
	var records []trace.Record
	loop, machine := startEcho(t, Bootstrap{
		Listen: []string{"127.0.0.1:0", "127.0.0.1:0"},
		Dir:    dir,
		Trace:  func(all []trace.Record) { records = append(records, all...) },
	})
	var conns [2]net.Conn
	for i := range conns { // one at a time, because connections to two listeners may be accepted in either order
		conns[i] = dial(t, loop.Addrs()[i])
		mustEcho(t, conns[i], "hello")
	}
	if machine.count(func(input statemachine.Input) bool { return isOpened(input) && input.Listener == 1 }) != 1 {
		t.Fatal("no connection on the second listener")
	}
	loop.SendCommand("wake")
	machine.awaitWakeUp(t)
	loop.SendCommand("save saved")
	eventually(t, "the file is saved", func() bool { data, _ := os.ReadFile(filepath.Join(dir, "x")); return string(data) == "saved" })
	conns[0].Close()
	machine.awaitCount(t, "the close of a connection", 1, isClosed)
	loop.SendCommand("close")
	if _, err := conns[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	loop.SendCommand("trace sample")
	runAndWait(loop, func() {})
	loop.SendCommand("stop")
	if err := loop.Wait(); err != nil {
		t.Fatal(err)
	}
	if machine.count(isClosed) != 1 {
		t.Fatal("ConnClosed arrived for a connection that the machine itself closed")
	}
	if len(records) != 1 || records[0].Kind != "sample" {
		t.Fatalf("got the trace records %v, want one of kind sample", records)
	}
}

func TestMachineFailureEndsLoop(t *testing.T) {
	loop, _ := startEcho(t, Bootstrap{})
	loop.SendCommand("fail badly")
	if err := loop.Wait(); !errors.Is(err, ErrMachineFailed) || !strings.Contains(err.Error(), "badly") {
		t.Fatal(err)
	}
}

func TestStartFailsWhenOneAddressIsBad(t *testing.T) {
	if _, err := Start(context.Background(), Bootstrap{Machine: newEchoMachine(), Listen: []string{"127.0.0.1:0", "nowhere:x"}}); err == nil {
		t.Fatal("Start succeeded although the second address is invalid")
	}
}
