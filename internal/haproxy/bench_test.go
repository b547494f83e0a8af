package haproxy

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/endpointfile"
)

// generateConfig returns a configuration with the given number of servers, in backends of up to 1000 servers.
func generateConfig(servers int) string {
	var b strings.Builder
	b.WriteString("defaults\n    mode http\n    balance leastconn\n    default-server inter 2s fall 3\n")
	for i := range servers {
		if i%1000 == 0 {
			fmt.Fprintf(&b, "backend p%d\n", i/1000)
		}
		fmt.Fprintf(&b, "    server s%d 10.%d.%d.%d:8080 weight %d check maxconn 100\n", i, i>>16&255, i>>8&255, i&255, i%256+1)
	}
	return b.String()
}

// BenchmarkRead shows whether time and memory grow linearly with the number of servers.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		text := generateConfig(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if got := Read([]Source{{"a", text}}, Environment{}); len(got.Faults) > 0 {
					b.Fatal(got.Faults[0])
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/line")
		})
	}
}

// BenchmarkReload measures applying a changed weight of one among 10,000 servers.
func BenchmarkReload(b *testing.B) {
	var backends []endpointfile.Backend
	for i := range 10000 {
		backends = append(backends, endpointfile.Backend{ID: uint32(i + 1), Name: fmt.Sprint("s", i), Addr: "h:1", Weight: 1})
	}
	file := endpointfile.New(endpointfile.Settings{DrainPeriod: 1, MaxLossShare: 0.5})
	if _, err := file.Apply(0, backends); err != nil {
		b.Fatal(err)
	}
	changed := 0
	for b.Loop() {
		backends[77].Weight++
		changes, err := file.Apply(1, backends)
		if err != nil {
			b.Fatal(err)
		}
		changed += len(changes)
	}
	b.ReportMetric(float64(changed)/float64(b.N), "entries/reload")
}
