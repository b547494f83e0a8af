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

// joins measures how long it takes until proxies that join at once all have a table.
func joins(ctx context.Context, out io.Writer, serve []string) error {
	fmt.Fprintln(out, "\n| proxies at once | servers | all have a table after ms | joins a second |\n| --- | --- | --- | --- |")
	for _, proxies := range []int{100, 300, 1000, 3000} {
		seconds, err := joinFleet(ctx, serve, proxies)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %d | %.0f | %.0f |\n", proxies, joinBackends, millisecondsPerSecond*seconds, float64(proxies)/seconds)
	}
	return nil
}

func joinFleet(ctx context.Context, serve []string, proxies int) (seconds float64, err error) {
	fleet, err := startFleet(ctx, serve, joinBackends, proxies, 0)
	if err != nil {
		return 0, fmt.Errorf("start %d: %w", proxies, err)
	}
	defer fleet.stop()
	return fleet.joined(proxies, joinTimeout)
}
