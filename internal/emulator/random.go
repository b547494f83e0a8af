package emulator

import (
	"math"
	"math/rand/v2"
)

// randomStream is the second word of the seeds of this package's PCG generators. This word makes the numbers differ from those
// that other packages derive from the same seed.
const randomStream = 0x9e3779b97f4a7c15

// Random draws random numbers that depend only on a seed. It uses PCG because successive values of a cheaper generator, a hash
// of a counter, were correlated: arrivals were too evenly spaced, and queues shorter than queueing theory predicts.
type Random struct{ generator *rand.Rand }

// NewRandom returns a generator with a seed.
func NewRandom(seed uint64) Random { return Random{rand.New(rand.NewPCG(seed, randomStream))} }

// Uniform draws from the uniform distribution over [0, 1).
func (r *Random) Uniform() float64 { return r.generator.Float64() }

// Interarrival draws the time until the next arrival of a Poisson process with a rate per second; +Inf if the rate is 0.
func (r *Random) Interarrival(rate float64) Seconds {
	if rate <= 0 {
		return math.Inf(1)
	}
	return r.exponential() / rate
}

// exponential draws from the exponential distribution with mean 1.
func (r *Random) exponential() float64 {
	return r.generator.ExpFloat64()
}

// lognormal draws from the lognormal distribution with mean 1 and the given coefficient of variation.
func (r *Random) lognormal(coefficientOfVariation float64) float64 {
	variance := math.Log(1 + coefficientOfVariation*coefficientOfVariation)
	return math.Exp(math.Sqrt(variance)*r.generator.NormFloat64() - variance/2)
}
