package traffic

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

const (
	maxZipfKeys     = 1000000
	maxZipfExponent = 10
	// factorsSeedStream is the second word of the PCG seed. Generators with the same first word and another second one draw
	// different numbers.
	factorsSeedStream = 0x6a09e667f3bcc909
)

var errZipf = errors.New("invalid Zipf distribution")

// Zipf is a distribution of the keys 1, 2, 3 and so on, where the probability of key k is proportional to 1/k^exponent.
type Zipf struct {
	cumulativeWeights []float64 // at index k-1: the sum of the weights of the keys 1 to k
}

// NewZipf returns a distribution over keyCount keys (1 to 1000000) with an exponent from 0 to 10.
func NewZipf(keyCount int, exponent float64) (*Zipf, error) {
	if keyCount < 1 || keyCount > maxZipfKeys {
		return nil, fmt.Errorf("%w: want 1 to %d keys, got %d", errZipf, maxZipfKeys, keyCount)
	}
	if !(exponent >= 0 && exponent <= maxZipfExponent) {
		return nil, fmt.Errorf("%w: want an exponent from 0 to %d, got %v", errZipf, maxZipfExponent, exponent)
	}
	zipf := &Zipf{cumulativeWeights: make([]float64, keyCount)}
	sum := 0.0
	for k := range zipf.cumulativeWeights {
		sum += math.Pow(float64(k+1), -exponent)
		zipf.cumulativeWeights[k] = sum
	}
	return zipf, nil
}

// keyAtQuantile returns the key at a quantile from 0 to 1.
func (z *Zipf) keyAtQuantile(quantile float64) uint64 {
	total := z.cumulativeWeights[len(z.cumulativeWeights)-1]
	return uint64(sort.SearchFloat64s(z.cumulativeWeights, quantile*total)) + 1
}

// LognormalFactors draws count factors for the rates of as many sources. The factors follow a lognormal distribution with the
// given coefficient of variation, and are scaled so that their mean is 1.
func LognormalFactors(count int, variation float64, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, factorsSeedStream))
	variance := math.Log(1 + variation*variation)
	factors := make([]float64, count)
	sum := 0.0
	for i := range factors {
		factors[i] = math.Exp(math.Sqrt(variance) * random.NormFloat64())
		sum += factors[i]
	}
	for i := range factors {
		factors[i] *= float64(count) / sum
	}
	return factors
}
