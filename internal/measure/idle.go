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
	idleSettleTime  = 3 * time.Second // after the last join
	idleSpan        = 8               // seconds over which the use is measured
	bytesPerKiB     = 1 << 10
	bytesPerMiB     = 1 << 20
)

// idleUse is what a coordinator uses for proxies that send no RPCs.
type idleUse struct {
	cpu    float64 // seconds in idleSpan
	memory int     // bytes
}

// idle measures the coordinator's CPU and memory by the number of idle proxies.
func idle(ctx context.Context, out io.Writer, serve []string) error {
	fmt.Fprintln(out, "\n| idle proxies | memory MiB | KiB a proxy beyond the first row | CPU % of a core | us of CPU a proxy and second |\n| --- | --- | --- | --- | --- |")
	sizes := []int{100, 1000, 4000, 8000}
	baseMemory := 0 // of the first row
	for i, proxies := range sizes {
		use, err := idleFleet(ctx, serve, proxies)
		if err != nil {
			return err
		}
		perProxy := 0.0 // KiB
		if i == 0 {
			baseMemory = use.memory
		} else {
			perProxy = float64(use.memory-baseMemory) / float64(proxies-sizes[0]) / bytesPerKiB
		}
		fmt.Fprintf(out, "| %d | %.0f | %.1f | %.1f | %.0f |\n", proxies, float64(use.memory)/bytesPerMiB, perProxy, 100*use.cpu/idleSpan,
			microsecondsPerSecond*use.cpu/idleSpan/float64(proxies))
	}
	return nil
}

func idleFleet(ctx context.Context, serve []string, proxies int) (idleUse, error) {
	fleet, err := startFleet(ctx, serve, idleBackends, proxies, 0)
	if err != nil {
		return idleUse{}, fmt.Errorf("start %d: %w", proxies, err)
	}
	defer fleet.stop()
	if _, err := fleet.joined(proxies, idleJoinTimeout); err != nil {
		return idleUse{}, err
	}
	time.Sleep(idleSettleTime)
	before, _, err := fleet.used()
	if err != nil {
		return idleUse{}, err
	}
	time.Sleep(idleSpan * time.Second)
	after, memory, err := fleet.used()
	return idleUse{cpu: after - before, memory: memory}, err
}
