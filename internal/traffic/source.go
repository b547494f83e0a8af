package traffic

import "math/rand/v2"

const (
	// arrivalsSeedStream is the second word of the PCG seed. Generators with the same first word and another second one draw
	// different numbers.
	arrivalsSeedStream = 0xbb67ae8584caa73b
	// minRate is a threshold in RPCs per second: if the highest rate that a source can reach is not above it, there is no traffic.
	minRate = 1e-9
	// maxThinningDraws is the maximum number of candidates that are drawn for one arrival. It ends the search if Shape.Factor is
	// 0 at nearly all times.
	maxThinningDraws = 100000
)

// Arrival is an RPC that is due.
type Arrival struct {
	At     Seconds // when the RPC is due
	Method int     // index of the RPC's method in the settings
	Key    uint64  // cache key; 0: none
}

// Source generates a random sequence of arrivals.
type Source struct {
	random       *rand.Rand
	shape        Shape
	methodShares []float64
	keys         *Zipf
	startedAt    Seconds
	meanRate     float64
}

// NewSource returns a source with a mean rate in RPCs per second and the share of each method. The shape's first day and first
// burst interval begin at startedAt. If keys is nil, arrivals have no cache key.
func NewSource(seed uint64, meanRate float64, shape Shape, methodShares []float64, keys *Zipf, startedAt Seconds) *Source {
	return &Source{
		random: rand.New(rand.NewPCG(seed, arrivalsSeedStream)), shape: shape, methodShares: methodShares, keys: keys,
		startedAt: startedAt, meanRate: meanRate,
	}
}

// SetRate changes the mean rate in RPCs per second. The caller has to draw the next arrival again if it was drawn already. Because
// a Poisson process has no memory, the new draw does not distort the distribution of the arrivals.
func (s *Source) SetRate(meanRate float64) { s.meanRate = max(meanRate, 0) }

// Next draws the first arrival after a time. It returns false if the highest rate, the mean rate times Shape.MaxFactor, is
// not above minRate, or if no arrival was found in maxThinningDraws draws. It thins a Poisson process with the highest rate: a
// candidate is kept with the probability of the current rate divided by the highest.
func (s *Source) Next(after Seconds) (Arrival, bool) {
	maxRate := s.meanRate * s.shape.MaxFactor()
	if !(maxRate > minRate) {
		return Arrival{}, false
	}
	at := after
	for range maxThinningDraws {
		at += s.random.ExpFloat64() / maxRate
		if s.random.Float64()*maxRate < s.meanRate*s.shape.Factor(at-s.startedAt) {
			return s.arrivalAt(at), true
		}
	}
	return Arrival{}, false
}

// arrivalAt draws the method and the cache key of an arrival.
func (s *Source) arrivalAt(at Seconds) Arrival {
	arrival := Arrival{At: at}
	quantile := s.random.Float64()
	for method, share := range s.methodShares {
		arrival.Method = method
		if quantile < share {
			break
		}
		quantile -= share
	}
	if s.keys != nil {
		arrival.Key = s.keys.keyAtQuantile(s.random.Float64())
	}
	return arrival
}
