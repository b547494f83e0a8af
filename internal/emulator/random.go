package emulator

import (
	"math"
	"math/rand/v2"
)

// randomStream is the second half of the generators' seed, so that other packages' streams of the same seed differ.
const randomStream = 0x9e3779b97f4a7c15

// Random draws random numbers that depend on a seed alone. It is a full generator because a cheaper hash of a counter
// gave correlated neighbours: arrivals came too evenly, and queues were shorter than queueing theory says.
type Random struct{ generator *rand.Rand }

// NewRandom makes a generator.
func NewRandom(seed uint64) Random { return Random{rand.New(rand.NewPCG(seed, randomStream))} }

// Uniform draws from 0 to 1, 1 excluded.
func (r *Random) Uniform() float64 { return r.generator.Float64() }

// Interarrival draws the time until the next arrival of a Poisson process with a rate a second; +Inf at a rate of 0.
func (r *Random) Interarrival(rate float64) Seconds {
	if rate <= 0 {
		return math.Inf(1)
	}
	return r.exponential() / rate
}

// exponential draws from the exponential distribution with the mean 1.
func (r *Random) exponential() float64 {
	return r.generator.ExpFloat64()
}

// lognormal draws from the lognormal distribution with the mean 1 and a coefficient of variation.
func (r *Random) lognormal(variation float64) float64 {
	variance := math.Log(1 + variation*variation)
	return math.Exp(math.Sqrt(variance)*r.generator.NormFloat64() - variance/2)
}
