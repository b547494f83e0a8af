package traffic

import (
	"math"
	"testing"
)

// The number of arrivals in a second has the mean and the variance of a Poisson process, and each method has its share.
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
		t.Errorf("got mean %.2f and variance/mean %.3f, want 50 and 1", mean, variance/mean)
	}
	if share := float64(methods[0]) / sum; math.Abs(share-0.7) > 0.01 {
		t.Errorf("the first method's share is %.3f, want 0.7", share)
	}
}

// Two sources with the same seed generate the same arrivals, and a source with a rate of 0 generates none.
func TestSourceRepeatsAndEnds(t *testing.T) {
	source, repeated := NewSource(5, 10, Shape{}, []float64{1}, nil, 0), NewSource(5, 10, Shape{}, []float64{1}, nil, 0)
	for at := 0.0; at < 10; {
		first, _ := source.Next(at)
		second, _ := repeated.Next(at)
		if first != second {
			t.Fatalf("sources with the same seed gave %v and %v", first, second)
		}
		at = first.At
	}
	source.SetRate(0)
	if arrival, ok := source.Next(0); ok {
		t.Errorf("a source with a rate of 0 gave %v", arrival)
	}
}
