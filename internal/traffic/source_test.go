package traffic

import (
	"math"
	"testing"
)

// The arrivals of each second have the mean and the variance of a Poisson process, and the methods their shares.
func TestArrivalsArePoisson(t *testing.T) {
	source := NewSource(1, 50, Shape{}, []float64{0.7, 0.3}, nil, 100)
	counts := make([]float64, 2000)
	methods := [2]int{}
	for at := 100.0; ; {
		arrival, _ := source.Next(at)
		if at = arrival.At; at >= 100+float64(len(counts)) {
			break
		}
		counts[int(at-100)]++
		methods[arrival.Method]++
	}
	sum, squares := 0.0, 0.0
	for _, count := range counts {
		sum += count
		squares += count * count
	}
	seconds := float64(len(counts))
	mean := sum / seconds
	variance := squares/seconds - mean*mean
	if math.Abs(mean-50) > 0.8 || math.Abs(variance/mean-1) > 0.13 {
		t.Errorf("mean %.2f, variance over mean %.3f", mean, variance/mean)
	}
	if share := float64(methods[0]) / sum; math.Abs(share-0.7) > 0.01 {
		t.Errorf("the first method's share is %.3f", share)
	}
}

// The arrivals depend on the seed alone, and there are none at a rate of 0.
func TestSourceRepeatsAndEnds(t *testing.T) {
	source, repeated := NewSource(5, 10, Shape{}, []float64{1}, nil, 0), NewSource(5, 10, Shape{}, []float64{1}, nil, 0)
	for at := 0.0; at < 10; {
		first, _ := source.Next(at)
		second, _ := repeated.Next(at)
		if first != second {
			t.Fatalf("%v and %v from one seed", first, second)
		}
		at = first.At
	}
	source.SetRate(0)
	if arrival, ok := source.Next(0); ok {
		t.Errorf("a source with a rate of 0 gave %v", arrival)
	}
}
