package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Estimate is a mean with the interval that holds the true mean in about 95 of 100 experiments.
type Estimate struct {
	Count     int
	Mean      float64
	Low, High float64 // the interval; infinite if there are too few figures
	Deviation float64 // the sample's standard deviation
}

const (
	resamples       = 2000
	minResampled    = 10  // figures; below, Student's interval is taken
	minValidShare   = 0.9 // of the resamples whose figures differ; below, Student's interval is taken
	lowerPercentile = 0.025
	upperPercentile = 0.975
	normalQuantile  = 1.959964 // the 97.5th percentile of the normal distribution
)

// Bootstrap estimates a mean by the studentized bootstrap: the interval is taken from how far the means of resamples lie from
// the sample's, each in units of its own standard error, which suits skewed figures better than plain percentiles. The random
// numbers are always the same, so that the same figures give the same interval.
func Bootstrap(figures []float64) Estimate {
	estimate := Estimate{Count: len(figures)}
	if estimate.Count == 0 {
		return estimate
	}
	estimate.Mean, estimate.Deviation = meanAndDeviation(figures)
	if estimate.Count < 2 {
		estimate.Low, estimate.High = math.Inf(-1), math.Inf(1)
		return estimate
	}
	estimate.Low, estimate.High = estimate.Mean, estimate.Mean
	if estimate.Deviation == 0 {
		return estimate
	}
	standardError := estimate.Deviation / math.Sqrt(float64(estimate.Count))
	half := student(estimate.Count-1) * standardError
	estimate.Low, estimate.High = estimate.Mean-half, estimate.Mean+half
	if estimate.Count < minResampled {
		return estimate // a resample of so few is often all one value, which has no standard error
	}
	scores := resample(figures, estimate.Mean)
	if float64(len(scores)) < resamples*minValidShare {
		return estimate // few figures differ at all
	}
	slices.Sort(scores)
	at := func(quantile float64) float64 { return scores[min(len(scores)-1, int(quantile*float64(len(scores))))] }
	// A tail that comes from a single outlier is limited to twice Student's interval.
	estimate.Low = estimate.Mean - min(at(upperPercentile)*standardError, 2*half)
	estimate.High = estimate.Mean - max(at(lowerPercentile)*standardError, -2*half)
	return estimate
}

// resample returns how far the means of resamples lie from a mean, each in units of its own standard error.
func resample(figures []float64, mean float64) []float64 {
	random := rand.New(rand.NewPCG(1, uint64(len(figures))))
	scores := make([]float64, 0, resamples)
	sample := make([]float64, len(figures))
	for range resamples {
		for i := range sample {
			sample[i] = figures[random.IntN(len(figures))]
		}
		sampleMean, deviation := meanAndDeviation(sample)
		if deviation == 0 {
			continue // all the same: it has no standard error
		}
		scores = append(scores, (sampleMean-mean)/(deviation/math.Sqrt(float64(len(figures)))))
	}
	return scores
}

// student is the 97.5th percentile of Student's distribution, by the expansion of Abramowitz and Stegun (26.7.5), which is within
// a hundredth from four degrees of freedom on; below that, from their table.
func student(freedom int) float64 {
	if table := []float64{0, 12.706, 4.303, 3.182}; freedom < len(table) {
		return table[freedom]
	}
	const x = normalQuantile
	v := float64(freedom)
	x3, x5, x7 := x*x*x, x*x*x*x*x, x*x*x*x*x*x*x
	return x + (x3+x)/(4*v) + (5*x5+16*x3+3*x)/(96*v*v) + (3*x7+19*x5+17*x3-15*x)/(384*v*v*v)
}

// meanAndDeviation returns the mean and the sample's standard deviation.
func meanAndDeviation(figures []float64) (mean, deviation float64) {
	for _, figure := range figures {
		mean += figure
	}
	mean /= float64(len(figures))
	if len(figures) < 2 {
		return mean, 0
	}
	sum := 0.0
	for _, figure := range figures {
		sum += (figure - mean) * (figure - mean)
	}
	return mean, math.Sqrt(sum / float64(len(figures)-1))
}

// The verdicts on a difference.
const (
	verdictSame    = "the same"
	verdictUnclear = "can't tell"
	verdictBetter  = "better"
	verdictWorse   = "worse"
)

// maxSeedsNeeded is where the number of seeds that a verdict needs is no longer counted.
const maxSeedsNeeded = 1e9

// Verdict says what a paired difference shows; sign is 1 if more is better, -1 if less is. seedsNeeded is how many seeds it would
// take to tell, if the difference is what it looks like; 0: it can be told, or there is none.
func Verdict(difference Estimate, sign float64) (verdict string, seedsNeeded int) {
	switch {
	case difference.Count > 0 && difference.Deviation == 0 && difference.Mean == 0:
		return verdictSame, 0
	case difference.Count < 2:
		return verdictUnclear, 2
	case difference.Low > 0 && sign > 0, difference.High < 0 && sign < 0:
		return verdictBetter, 0
	case difference.Low > 0 || difference.High < 0:
		return verdictWorse, 0
	case difference.Mean == 0:
		return verdictUnclear, 0
	}
	ratio := 1.96 * difference.Deviation / difference.Mean
	return verdictUnclear, max(difference.Count+1, int(min(math.Ceil(ratio*ratio), maxSeedsNeeded)))
}
