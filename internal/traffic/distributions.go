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
	// factorsStream is the second half of the generator's seed, so that other streams of the same seed differ.
	factorsStream = 0x6a09e667f3bcc909
)

var errZipf = errors.New("invalid Zipf distribution")

// Zipf is a distribution of keys from 1 on, of which the k-th has a chance in proportion to 1/k^exponent.
type Zipf struct {
	cumulative []float64 // sums of the weights, by key less 1
}

// NewZipf makes a distribution over 1 to 1000000 keys, with an exponent from 0 to 10.
func NewZipf(keyCount int, exponent float64) (*Zipf, error) {
	if keyCount < 1 || keyCount > maxZipfKeys {
		return nil, fmt.Errorf("%w: want 1 to %d keys, got %d", errZipf, maxZipfKeys, keyCount)
	}
	if !(exponent >= 0 && exponent <= maxZipfExponent) {
		return nil, fmt.Errorf("%w: want an exponent from 0 to %d, got %v", errZipf, maxZipfExponent, exponent)
	}
	zipf := &Zipf{cumulative: make([]float64, keyCount)}
	sum := 0.0
	for k := range zipf.cumulative {
		sum += math.Pow(float64(k+1), -exponent)
		zipf.cumulative[k] = sum
	}
	return zipf, nil
}

// key is the key at a quantile from 0 to 1.
func (z *Zipf) key(quantile float64) uint64 {
	total := z.cumulative[len(z.cumulative)-1]
	return uint64(sort.SearchFloat64s(z.cumulative, quantile*total)) + 1
}

// LognormalFactors draws factors for the rates of a number of sources. Their mean is 1, and they follow a lognormal
// distribution with a coefficient of variation.
func LognormalFactors(count int, variation float64, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, factorsStream))
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
