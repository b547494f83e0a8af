package traffic

import (
	"errors"
	"math"
	"testing"
)

// The keys of arrivals are distributed by Zipf's law.
func TestZipf(t *testing.T) {
	keys, err := NewZipf(100, 1)
	if err != nil {
		t.Fatal(err)
	}
	source := NewSource(3, 1, Shape{}, []float64{1}, keys, 0)
	counts := map[uint64]int{}
	for at, n := 0.0, 0; n < 50000; n++ {
		arrival, _ := source.Next(at)
		at = arrival.At
		counts[arrival.Key]++
	}
	harmonic := 0.0
	for k := 1; k <= 100; k++ {
		harmonic += 1 / float64(k)
	}
	for _, k := range []uint64{1, 2, 10, 50} {
		want := 50000 / harmonic / float64(k)
		if math.Abs(float64(counts[k])-want) > 5*math.Sqrt(want) {
			t.Errorf("key %d came %d times, want %.0f", k, counts[k], want)
		}
	}
	if _, err := NewZipf(0, 1); !errors.Is(err, errZipf) {
		t.Errorf("without keys: got %v, want %v", err, errZipf)
	}
}

// The factors have a mean of 1 and the requested coefficient of variation.
func TestLognormalFactors(t *testing.T) {
	sum, squares := 0.0, 0.0
	factors := LognormalFactors(20000, 0.8, 4)
	for _, factor := range factors {
		sum += factor
		squares += factor * factor
	}
	count := float64(len(factors))
	if math.Abs(sum/count-1) > 1e-9 || math.Abs(math.Sqrt(squares/count-1)-0.8) > 0.05 {
		t.Errorf("got mean %.3f and coefficient of variation %.3f, want 1 and 0.8", sum/count, math.Sqrt(squares/count-1))
	}
}
