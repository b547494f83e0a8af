package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Estimate is the mean of a sample with its 95% confidence interval, which contains the true mean in about 95 of 100 experiments.
type Estimate struct {
	Count     int
	Mean      float64
	Low, High float64 // bounds of the 95% confidence interval of the mean; infinite if there is only one value
	Deviation float64 // standard deviation of the sample
}

const (
	resampleCount         = 2000
	minBootstrapSamples   = 10  // with fewer values, Student's interval is used
	minValidResampleShare = 0.9 // with a smaller share of resamples that contain different values, Student's interval is used
	lowerQuantile         = 0.025
	upperQuantile         = 0.975
	normalQuantile        = 1.959964 // the 97.5th percentile of the normal distribution
)

// EstimateMean estimates a mean by the studentized bootstrap: the interval is computed from the deviations of the means of resamples
// from the sample's mean, each in units of its own standard error. For skewed values this is more accurate than percentiles of the
// resampled means. The random numbers are always the same, so that the same values give the same interval.
func EstimateMean(values []float64) Estimate {
	estimate := Estimate{Count: len(values)}
	if estimate.Count == 0 {
		return estimate
	}
	estimate.Mean, estimate.Deviation = meanAndDeviation(values)
	if estimate.Count < 2 {
		estimate.Low, estimate.High = math.Inf(-1), math.Inf(1)
		return estimate
	}
	estimate.Low, estimate.High = estimate.Mean, estimate.Mean
	if estimate.Deviation == 0 {
		return estimate
	}
	standardError := estimate.Deviation / math.Sqrt(float64(estimate.Count))
	halfWidth := studentQuantile(estimate.Count-1) * standardError
	estimate.Low, estimate.High = estimate.Mean-halfWidth, estimate.Mean+halfWidth
	if estimate.Count < minBootstrapSamples {
		return estimate // resamples of so few values are often constant, and then have no standard error
	}
	scores := bootstrapScores(values, estimate.Mean)
	if float64(len(scores)) < resampleCount*minValidResampleShare {
		return estimate // almost all values are equal
	}
	slices.Sort(scores)
	scoreAt := func(quantile float64) float64 { return scores[min(len(scores)-1, int(quantile*float64(len(scores))))] }
	// A single outlier can make a tail very long. Each side is limited to twice that of Student's interval.
	estimate.Low = estimate.Mean - min(scoreAt(upperQuantile)*standardError, 2*halfWidth)
	estimate.High = estimate.Mean - max(scoreAt(lowerQuantile)*standardError, -2*halfWidth)
	return estimate
}

// bootstrapScores returns, for each resample, the deviation of its mean from the given mean in units of its own standard error.
// Resamples without a standard error are left out.
func bootstrapScores(values []float64, mean float64) []float64 {
	random := rand.New(rand.NewPCG(1, uint64(len(values))))
	scores := make([]float64, 0, resampleCount)
	sample := make([]float64, len(values))
	for range resampleCount {
		for i := range sample {
			sample[i] = values[random.IntN(len(values))]
		}
		sampleMean, deviation := meanAndDeviation(sample)
		if deviation == 0 {
			continue // all values are equal
		}
		scores = append(scores, (sampleMean-mean)/(deviation/math.Sqrt(float64(len(values)))))
	}
	return scores
}

// studentQuantile returns the 97.5th percentile of Student's t-distribution. From four degrees of freedom on it uses the expansion
// 26.7.5 of Abramowitz and Stegun, which is accurate to a hundredth; below that, their table.
func studentQuantile(degreesOfFreedom int) float64 {
	if table := []float64{0, 12.706, 4.303, 3.182}; degreesOfFreedom < len(table) {
		return table[degreesOfFreedom]
	}
	const x = normalQuantile
	v := float64(degreesOfFreedom)
	x3, x5, x7 := x*x*x, x*x*x*x*x, x*x*x*x*x*x*x
	return x + (x3+x)/(4*v) + (5*x5+16*x3+3*x)/(96*v*v) + (3*x7+19*x5+17*x3-15*x)/(384*v*v*v)
}

// meanAndDeviation returns the mean and the standard deviation of a sample. The deviation of a single value is 0.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, value := range values {
		mean += value
	}
	mean /= float64(len(values))
	if len(values) < 2 {
		return mean, 0
	}
	sumOfSquares := 0.0
	for _, value := range values {
		sumOfSquares += (value - mean) * (value - mean)
	}
	return mean, math.Sqrt(sumOfSquares / float64(len(values)-1))
}

// The verdicts on a difference.
const (
	verdictSame    = "the same"
	verdictUnclear = "can't tell"
	verdictBetter  = "better"
	verdictWorse   = "worse"
)

// maxSeedsNeeded is the highest number of seeds that Verdict returns as seedsNeeded.
const maxSeedsNeeded = 1e9

// Verdict classifies a paired difference from the first arm; sign is moreIsBetter (1) or lessIsBetter (-1). If the verdict is
// unclear, seedsNeeded estimates how many seeds would make it clear, assuming that mean and deviation stay as they are.
// seedsNeeded is 0 if the verdict is clear or the mean is 0.
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
