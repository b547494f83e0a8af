package traffic

import (
	"errors"
	"math"
	"testing"
)

// The arrivals follow the daily wave and the bursts.
func TestShape(t *testing.T) {
	source := NewSource(2, 100, Shape{DailySwing: 0.5, DayLength: 40, BurstInterval: 10, BurstLength: 1, BurstFactor: 4}, []float64{1}, nil, 0)
	counts := make([]float64, 4000)
	for at := 0.0; ; {
		arrival, _ := source.Next(at)
		if at = arrival.At; at >= 4000 {
			break
		}
		counts[int(at)%40] += 0.01 // of 100 rounds
	}
	for _, test := range []struct {
		at   int
		want float64
	}{
		{8, 100 * (1 + 0.5*math.Sin(2*math.Pi*8.5/40))},
		{28, 100 * (1 + 0.5*math.Sin(2*math.Pi*28.5/40))},
		{9, 400 * (1 + 0.5*math.Sin(2*math.Pi*9.5/40))},
	} {
		if math.Abs(counts[test.at]/test.want-1) > 0.05 {
			t.Errorf("second %d: %.1f RPCs, want %.1f", test.at, counts[test.at], test.want)
		}
	}
}

func TestInvalidShapes(t *testing.T) {
	for _, shape := range []Shape{{DailySwing: 2}, {DailySwing: 0.1}, {BurstInterval: 1, BurstLength: 2, BurstFactor: 1}, {BurstInterval: 1, BurstLength: 0.5, BurstFactor: -1}} {
		if err := shape.Validate(); !errors.Is(err, ErrInvalidShape) {
			t.Errorf("%+v: got %v, want %v", shape, err, ErrInvalidShape)
		}
	}
}
