package measure

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	joinBackends = 100
	joinTimeout  = 120 * time.Second
)

// measureJoins measures, for several numbers of proxies that join at the same time, how long it takes until all have a table.
func measureJoins(ctx context.Context, out io.Writer, coordinatorCommand []string) error {
	fmt.Fprintln(out, "\n| proxies joining at once | backends | all have a table after ms | joins per second |\n| --- | --- | --- | --- |")
	for _, proxies := range []int{100, 300, 1000, 3000} {
		seconds, err := measureFleetJoins(ctx, coordinatorCommand, proxies)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %d | %.0f | %.0f |\n", proxies, joinBackends, millisecondsPerSecond*seconds, float64(proxies)/seconds)
	}
	return nil
}

// measureFleetJoins starts a fleet and returns the seconds from the first join until all proxies have a table.
func measureFleetJoins(ctx context.Context, coordinatorCommand []string, proxies int) (seconds float64, err error) {
	fleet, err := startFleet(ctx, coordinatorCommand, joinBackends, proxies, 0)
	if err != nil {
		return 0, fmt.Errorf("start a fleet with %d proxies: %w", proxies, err)
	}
	defer fleet.stop()
	return fleet.waitForJoins(proxies, joinTimeout)
}
