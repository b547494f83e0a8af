package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Estimate is a mean with the interval that holds the true one in 95 of 100 experiments, about.
type Estimate struct {
	Count           int
	Mean, Low, High float64
	Deviation       float64
}

// resamples is how many the bootstrap draws.
const resamples = 2000

// Bootstrap estimates a mean by the studentized bootstrap: the interval is taken from how far resampled means lie from the
// sample's, each in its own standard error, which bears skewed figures better than the plain percentiles. The draws are
// always the same, so that the same figures give the same interval.
func Bootstrap(all []float64) Estimate {
	e := Estimate{Count: len(all)}
	if e.Count == 0 {
		return e
	}
	e.Mean, e.Deviation = spread(all)
	e.Low, e.High = e.Mean, e.Mean
	if e.Count < 2 {
		e.Low, e.High = math.Inf(-1), math.Inf(1)
		return e
	}
	if e.Deviation == 0 {
		return e
	}
	se := e.Deviation / math.Sqrt(float64(e.Count))
	half := student(e.Count-1) * se
	e.Low, e.High = e.Mean-half, e.Mean+half
	if e.Count < fewest {
		return e // so few that a resample is often all one value, whose own error is none
	}
	dice := rand.New(rand.NewPCG(1, uint64(e.Count)))
	ts := make([]float64, 0, resamples)
	draw := make([]float64, e.Count)
	for range resamples {
		for i := range draw {
			draw[i] = all[dice.IntN(e.Count)]
		}
		m, d := spread(draw)
		if d == 0 {
			continue // all the same: it says nothing of its own error
		}
		ts = append(ts, (m-e.Mean)/(d/math.Sqrt(float64(e.Count))))
	}
	if len(ts) < resamples*9/10 {
		return e // few values differ at all
	}
	slices.Sort(ts)
	at := func(q float64) float64 { return ts[min(len(ts)-1, int(q*float64(len(ts))))] }
	// A tail that the resamples make up out of one odd run is no news: twice Student's half is enough.
	e.Low, e.High = e.Mean-min(at(0.975)*se, 2*half), e.Mean-max(at(0.025)*se, -2*half)
	return e
}

// fewest is from how many figures on they are resampled; below, Student's interval is taken.
const fewest = 10

// student is the 97.5th percentile of Student's distribution, by the expansion of Abramowitz and Stegun (26.7.5), which is
// within a hundredth from four degrees on; below that the known figures.
func student(freedom int) float64 {
	if known := []float64{0, 12.706, 4.303, 3.182}; freedom < len(known) {
		return known[freedom]
	}
	const x = 1.959964
	v := float64(freedom)
	x3, x5, x7 := x*x*x, x*x*x*x*x, x*x*x*x*x*x*x
	return x + (x3+x)/(4*v) + (5*x5+16*x3+3*x)/(96*v*v) + (3*x7+19*x5+17*x3-15*x)/(384*v*v*v)
}

// spread is the mean and the sample's standard deviation.
func spread(all []float64) (mean, deviation float64) {
	for _, x := range all {
		mean += x
	}
	mean /= float64(len(all))
	if len(all) < 2 {
		return mean, 0
	}
	sum := 0.0
	for _, x := range all {
		sum += (x - mean) * (x - mean)
	}
	return mean, math.Sqrt(sum / float64(len(all)-1))
}

// Verdict says in a word what a paired difference shows; sign is 1 where more is better, -1 where less is. need is how many
// seeds it would take to tell, if the difference is what it looks like; 0: it can be told, or there is none.
func Verdict(diff Estimate, sign float64) (word string, need int) {
	switch {
	case diff.Count > 0 && diff.Deviation == 0 && diff.Mean == 0:
		return "the same", 0
	case diff.Count < 2:
		return "can't tell", 2
	case diff.Low > 0 && sign > 0, diff.High < 0 && sign < 0:
		return "better", 0
	case diff.Low > 0 || diff.High < 0:
		return "worse", 0
	}
	if diff.Mean == 0 {
		return "can't tell", 0
	}
	ratio := 1.96 * diff.Deviation / diff.Mean
	n := ratio * ratio
	return "can't tell", max(diff.Count+1, int(min(math.Ceil(n), 1e9)))
}
