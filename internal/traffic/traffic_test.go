package traffic

import (
	"math"
	"testing"
)

// Counts and gaps of a Poisson stream: mean and variance of the counts are the same, within what chance leaves.
func TestArrivalsArePoisson(t *testing.T) {
	s := NewSource(1, 50, Shape{}, []float64{0.7, 0.3}, nil, 100)
	counts := make([]float64, 2000)
	method := [2]int{}
	for at := 100.0; ; {
		d, _ := s.Next(at)
		if at = d.At; at >= 100+float64(len(counts)) {
			break
		}
		counts[int(at-100)]++
		method[d.Method]++
	}
	sum, square := 0.0, 0.0
	for _, c := range counts {
		sum += c
		square += c * c
	}
	n := float64(len(counts))
	mean := sum / n
	variance := square/n - mean*mean
	if math.Abs(mean-50) > 0.8 || math.Abs(variance/mean-1) > 0.13 {
		t.Errorf("mean %.2f, variance over mean %.3f", mean, variance/mean)
	}
	if share := float64(method[0]) / sum; math.Abs(share-0.7) > 0.01 {
		t.Errorf("the first method's share is %.3f", share)
	}
}

func TestShapes(t *testing.T) {
	s := NewSource(2, 100, Shape{DailySwing: 0.5, DayLength: 40, BurstInterval: 10, BurstLength: 1, BurstFactor: 4}, []float64{1}, nil, 0)
	counts := make([]float64, 4000)
	for at := 0.0; ; {
		d, _ := s.Next(at)
		if at = d.At; at >= 4000 {
			break
		}
		counts[int(at)%40] += 0.01 // of 100 rounds
	}
	for _, c := range []struct {
		at   int
		want float64
	}{{8, 100 * (1 + 0.5*math.Sin(2*math.Pi*8.5/40))}, {28, 100 * (1 + 0.5*math.Sin(2*math.Pi*28.5/40))}, {9, 400 * (1 + 0.5*math.Sin(2*math.Pi*9.5/40))}} {
		if math.Abs(counts[c.at]/c.want-1) > 0.05 {
			t.Errorf("second %d: %.1f RPCs, %.1f wanted", c.at, counts[c.at], c.want)
		}
	}
	for _, bad := range []Shape{{DailySwing: 2}, {DailySwing: 0.1}, {BurstInterval: 1, BurstLength: 2, BurstFactor: 1}, {BurstInterval: 1, BurstLength: 0.5, BurstFactor: -1}} {
		if bad.Validate() == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}

func TestZipfAndUneven(t *testing.T) {
	z, err := NewZipf(100, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := NewSource(3, 1, Shape{}, []float64{1}, z, 0)
	seen := map[uint64]int{}
	for at, n := 0.0, 0; n < 50000; n++ {
		d, _ := s.Next(at)
		at = d.At
		seen[d.Key]++
	}
	h := 0.0
	for k := 1; k <= 100; k++ {
		h += 1 / float64(k)
	}
	for _, k := range []uint64{1, 2, 10, 50} {
		want := 50000 / h / float64(k)
		if math.Abs(float64(seen[k])-want) > 5*math.Sqrt(want) {
			t.Errorf("key %d came %d times, %.0f wanted", k, seen[k], want)
		}
	}
	if _, err := NewZipf(0, 1); err == nil {
		t.Error("no keys at all were taken")
	}
	sum, square := 0.0, 0.0
	all := LognormalFactors(20000, 0.8, 4)
	for _, x := range all {
		sum += x
		square += x * x
	}
	n := float64(len(all))
	if math.Abs(sum/n-1) > 1e-9 || math.Abs(math.Sqrt(square/n-1)-0.8) > 0.05 {
		t.Errorf("mean %.3f, variation %.3f", sum/n, math.Sqrt(square/n-1))
	}
}

// What is asked does not depend on when it is looked at, and a source at no rate ends.
func TestSourceRepeatsAndRests(t *testing.T) {
	a, b := NewSource(5, 10, Shape{}, []float64{1}, nil, 0), NewSource(5, 10, Shape{}, []float64{1}, nil, 0)
	for at := 0.0; at < 10; {
		x, _ := a.Next(at)
		y, _ := b.Next(at)
		if x != y {
			t.Fatalf("%v and %v from one seed", x, y)
		}
		at = x.At
	}
	a.SetRate(0)
	if d, ok := a.Next(0); ok {
		t.Errorf("a source at no rate gave %v", d)
	}
}
