package measure

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	idleBackends    = 100
	idleJoinTimeout = 180 * time.Second
	idleSettleTime  = 3 * time.Second // from the last join until the measurement starts
	idleSpanSeconds = 8               // seconds over which the CPU time is measured
	bytesPerKiB     = 1 << 10
	bytesPerMiB     = 1 << 20
)

// idleUsage is the CPU time and memory of a coordinator whose proxies send no RPCs.
type idleUsage struct {
	cpuSeconds  float64 // used within idleSpanSeconds
	memoryBytes int     // resident memory of the coordinator's process
}

// measureIdle measures the coordinator's CPU time and memory for several numbers of idle proxies.
func measureIdle(ctx context.Context, out io.Writer, coordinatorCommand []string) error {
	fmt.Fprintln(out, "\n| idle proxies | memory MiB | KiB per proxy beyond the first row | CPU % of a core | us of CPU per proxy and second |\n| --- | --- | --- | --- | --- |")
	sizes := []int{100, 1000, 4000, 8000}
	baseMemory := 0 // bytes, in the first row
	for i, proxies := range sizes {
		usage, err := measureFleetIdle(ctx, coordinatorCommand, proxies)
		if err != nil {
			return err
		}
		memoryPerProxy := 0.0 // KiB
		if i == 0 {
			baseMemory = usage.memoryBytes
		} else {
			memoryPerProxy = float64(usage.memoryBytes-baseMemory) / float64(proxies-sizes[0]) / bytesPerKiB
		}
		fmt.Fprintf(out, "| %d | %.0f | %.1f | %.1f | %.0f |\n", proxies, float64(usage.memoryBytes)/bytesPerMiB, memoryPerProxy, 100*usage.cpuSeconds/idleSpanSeconds,
			microsecondsPerSecond*usage.cpuSeconds/idleSpanSeconds/float64(proxies))
	}
	return nil
}

// measureFleetIdle starts a fleet and measures its coordinator while the proxies are idle.
func measureFleetIdle(ctx context.Context, coordinatorCommand []string, proxies int) (idleUsage, error) {
	fleet, err := startFleet(ctx, coordinatorCommand, idleBackends, proxies, 0)
	if err != nil {
		return idleUsage{}, fmt.Errorf("start a fleet with %d proxies: %w", proxies, err)
	}
	defer fleet.stop()
	if _, err := fleet.waitForJoins(proxies, idleJoinTimeout); err != nil {
		return idleUsage{}, err
	}
	time.Sleep(idleSettleTime)
	cpuBefore, _, err := fleet.coordinatorUsage()
	if err != nil {
		return idleUsage{}, err
	}
	time.Sleep(idleSpanSeconds * time.Second)
	cpuAfter, memoryBytes, err := fleet.coordinatorUsage()
	return idleUsage{cpuSeconds: cpuAfter - cpuBefore, memoryBytes: memoryBytes}, err
}
