package traffic

import "math/rand/v2"

const (
	// arrivalsStream is the second half of the generator's seed, so that other streams of the same seed differ.
	arrivalsStream = 0xbb67ae8584caa73b
	// minRate is the rate, in RPCs a second, at and below which nothing arrives.
	minRate = 1e-9
	// maxThinningDraws bounds the draws for one arrival, for shapes that are 0 nearly everywhere.
	maxThinningDraws = 100000
)

// Arrival is an RPC that is due.
type Arrival struct {
	At     Seconds
	Method int
	Key    uint64 // 0: none
}

// Source is a stream of arrivals.
type Source struct {
	random    *rand.Rand
	shape     Shape
	mix       []float64
	keys      *Zipf
	startedAt Seconds
	rate      float64
}

// NewSource makes a source with a mean rate in RPCs a second and a mix, which is the share of each method. The shape's day
// begins at startedAt. The keys may be nil.
func NewSource(seed uint64, rate float64, shape Shape, mix []float64, keys *Zipf, startedAt Seconds) *Source {
	return &Source{
		random: rand.New(rand.NewPCG(seed, arrivalsStream)), shape: shape, mix: mix, keys: keys, startedAt: startedAt, rate: rate,
	}
}

// SetRate changes the mean rate. The next arrival, if it was drawn already, is to be drawn again; that changes nothing
// else, as a Poisson process has no memory.
func (s *Source) SetRate(rate float64) { s.rate = max(rate, 0) }

// Next draws the first arrival after a time; false if there is none at this rate. It thins out a process that has the
// highest rate of the shape: each arrival is kept with a chance of the present rate to that.
func (s *Source) Next(after Seconds) (Arrival, bool) {
	maxRate := s.rate * s.shape.MaxFactor()
	if !(maxRate > minRate) {
		return Arrival{}, false
	}
	at := after
	for range maxThinningDraws {
		at += s.random.ExpFloat64() / maxRate
		if s.random.Float64()*maxRate < s.rate*s.shape.Factor(at-s.startedAt) {
			return s.arrivalAt(at), true
		}
	}
	return Arrival{}, false
}

// arrivalAt draws the method and the key of an arrival.
func (s *Source) arrivalAt(at Seconds) Arrival {
	arrival := Arrival{At: at}
	quantile := s.random.Float64()
	for method, share := range s.mix {
		arrival.Method = method
		if quantile < share {
			break
		}
		quantile -= share
	}
	if s.keys != nil {
		arrival.Key = s.keys.key(s.random.Float64())
	}
	return arrival
}
