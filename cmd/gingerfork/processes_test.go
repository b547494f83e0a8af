package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gingerfork/internal/proto"
	"gingerfork/internal/trace"
)

// The endpoint service, the backends, the coordinator and a front end run as separate processes. SIGHUP rejects invalid
// settings and applies valid ones, SIGTERM ends the processes with exit code 0, and RPCs are answered meanwhile.
func TestProcesses(t *testing.T) {
	endpointsAddr, coordinatorAddr, backend1, backend2 := freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "c.conf")
	settings := strings.NewReplacer("127.0.0.1:7400", coordinatorAddr, "127.0.0.1:7300", endpointsAddr, "state           -", "state kept").Replace(perthSettings(t))
	replaceFile(t, file, settings)
	startProcess(t, "fake", "backend", "--listen", backend1, "--id", "1", "--settings", file)
	startProcess(t, "fake", "backend", "--listen", backend2, "--id", "2")
	startProcess(t, "fake", "endpoints", "--listen", endpointsAddr, "1,dc-kewdale,1,"+backend1, "2,dc-malaga,1,"+backend2)
	coordinator := startProcess(t, "--log-format", "json", "serve", file)
	traceFile := filepath.Join(dir, "trace")
	frontEnd := startProcess(t, "fake", "frontend", "--settings", file, "--coordinator", coordinatorAddr, "--name", "f0", "--rate", "50", "--trace", traceFile)
	eventually(t, "the join of the proxy to be logged", func() bool {
		return coordinator.logged(`"proxy":"f0"`) && coordinator.logged(`"instance":"perth-0"`)
	})
	eventually(t, "the endpoints to be stored", func() bool {
		code, out, _ := runCommand("store", "dump", filepath.Join(dir, "kept", "store"), "--from", "server/")
		return code == exitOK && strings.Count(out, "\n") == 2
	})

	replaceFile(t, file, settings+"nonsense\n")
	_ = coordinator.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "invalid settings to be rejected", func() bool {
		return coordinator.logged("the old settings stay in force") && coordinator.logged("nonsense is not a keyword")
	})
	replaceFile(t, file, strings.Replace(settings, "report-period   2s", "report-period   1s", 1))
	_ = coordinator.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "valid settings to be applied", func() bool { return coordinator.logged("settings reloaded") })
	eventually(t, "a proxy that joins to get the new report period", func() bool { return welcomedReportPeriod(coordinatorAddr) == 1 })
	eventually(t, "the proxy to join again", func() bool { return coordinator.countLogged(`"message":"proxy joined"`) >= 3 })
	eventually(t, "an RPC to be answered", func() bool { return answeredRPCs(t, traceFile) > 0 })
	coordinator.mustTerminate(t)
	frontEnd.mustTerminate(t)
	if len(readTraceFile(t, traceFile)) == 0 {
		t.Fatal("the complete trace of the front end has no records")
	}
}

// answeredRPCs counts the RPCs in a trace that were answered. The trace may still be written: an incomplete last record is left out.
func answeredRPCs(t *testing.T, traceFile string) (answered int) {
	t.Helper()
	data, err := os.ReadFile(traceFile)
	if err != nil {
		t.Fatal(err)
	}
	records, err := trace.Read(bytes.NewReader(data[:bytes.LastIndexByte(data, '\n')+1]))
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range records {
		if record.Kind == trace.RPCFinished && record.Text == "ok" {
			answered++
		}
	}
	return answered
}

// replaceFile writes a file, which may exist already.
func replaceFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// welcomedReportPeriod joins a coordinator as a proxy and returns the report period in its welcome message, in seconds, or -1
// if it receives no welcome.
func welcomedReportPeriod(addr string) float64 {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return -1
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "%s", proto.Append(nil, proto.Hello{Version: 1, Name: "probe", Zone: "dc-kewdale"}))
	var reader proto.Reader
	reader.HandshakeDone()
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return -1
		}
		reader.Feed(buffer[:n])
		if message, _ := reader.Next(); message != nil {
			if welcome, ok := message.(proto.Welcome); ok {
				return welcome.ReportPeriod
			}
			return -1
		}
	}
}
