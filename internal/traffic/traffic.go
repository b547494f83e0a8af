// Package traffic draws when RPCs are due and what they ask for: open loop, so that a server that stands still does not
// slow the asking. Arrivals are Poisson with a rate that follows the day's shape, bursts and rushes; methods go by a mix,
// keys by Zipf's law. It is plain and by seed: front ends and load tools draw the same from the same seed, whatever
// became of the RPCs before, so that two ways of serving a day can be compared on the same asking.
package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Seconds are seconds with fractions.
type Seconds = float64

// Shape says how the rate goes over the day, as a factor of the rate given.
type Shape struct {
	DailySwing    float64 // the daily wave's height, of the mean: 0.2 goes from 0.8 to 1.2
	DayLength     Seconds // its length
	BurstInterval Seconds // a burst begins so often, 0: none;
	BurstLength   Seconds // it lasts so long,
	BurstFactor   float64 // and asks for so many times the rate
}

// Check tells what is wrong with a shape.
func (s Shape) Validate() error {
	switch {
	case !(s.DailySwing >= 0 && s.DailySwing <= 1):
		return fmt.Errorf("a swing of %v is not between 0 and 1", s.DailySwing)
	case s.DailySwing > 0 && !(s.DayLength > 0):
		return fmt.Errorf("a wave needs its length")
	case s.BurstInterval > 0 && !(s.BurstLength > 0 && s.BurstLength <= s.BurstInterval && s.BurstFactor >= 0):
		return fmt.Errorf("bursts every %v s can't last %v s at %v times the rate", s.BurstInterval, s.BurstLength, s.BurstFactor)
	}
	return nil
}

// Factor is the rate's factor at a time since the beginning.
func (s Shape) Factor(t Seconds) float64 {
	f := 1.0
	if s.DailySwing > 0 {
		f += s.DailySwing * math.Sin(2*math.Pi*t/s.DayLength)
	}
	if s.BurstInterval > 0 && math.Mod(t, s.BurstInterval) >= s.BurstInterval-s.BurstLength {
		f *= s.BurstFactor
	}
	return f
}

// Most is a bound of Factor.
func (s Shape) MaxFactor() float64 {
	f := 1 + s.DailySwing
	if s.BurstInterval > 0 {
		f *= max(1, s.BurstFactor)
	}
	return f
}

// Zipf draws keys 1 to N, the k-th with a chance like 1/k^Exponent.
type Zipf struct {
	KeyCount int
	Exponent float64
	sums     []float64
}

// NewZipf makes one; N up to a million.
func NewZipf(n int, exponent float64) (*Zipf, error) {
	if n < 1 || n > 1e6 || !(exponent >= 0 && exponent <= 10) {
		return nil, fmt.Errorf("Zipf keys: %d keys and an exponent of %v; 1 to 1000000 and 0 to 10 go", n, exponent)
	}
	z := &Zipf{KeyCount: n, Exponent: exponent, sums: make([]float64, n)}
	sum := 0.0
	for k := range z.sums {
		sum += math.Pow(float64(k+1), -exponent)
		z.sums[k] = sum
	}
	return z, nil
}

func (z *Zipf) draw(x float64) uint64 {
	return uint64(sort.SearchFloat64s(z.sums, x*z.sums[len(z.sums)-1])) + 1
}

// Uneven gives factors with a mean of 1 and a coefficient of variation, lognormal, one for each of n sources.
func LognormalFactors(n int, cv float64, seed uint64) []float64 {
	r := rand.New(rand.NewPCG(seed, 0x6a09e667f3bcc909))
	s2 := math.Log(1 + cv*cv)
	all := make([]float64, n)
	sum := 0.0
	for i := range all {
		all[i] = math.Exp(math.Sqrt(s2) * r.NormFloat64())
		sum += all[i]
	}
	for i := range all {
		all[i] *= float64(n) / sum
	}
	return all
}

// Due is an RPC that is due.
type Arrival struct {
	At     Seconds
	Method int
	Key    uint64 // 0: none
}

// Source is a stream of RPCs.
type Source struct {
	dice  *rand.Rand
	shape Shape
	mix   []float64
	keys  *Zipf
	begin Seconds
	rate  float64
}

// NewSource makes a source whose day begins now; keys may be nil.
func NewSource(seed uint64, rate float64, shape Shape, mix []float64, keys *Zipf, now Seconds) *Source {
	return &Source{dice: rand.New(rand.NewPCG(seed, 0xbb67ae8584caa73b)), shape: shape, mix: mix, keys: keys, begin: now, rate: rate}
}

// Rate changes the rate; what was drawn before and is not yet due is to be drawn anew, which is fair as arrivals
// have no memory.
func (s *Source) SetRate(rate float64) { s.rate = max(rate, 0) }

// Next draws the next RPC due after a time; false if none ever is at this rate. Draws go by thinning: from arrivals at
// the highest rate that the shape has, each is kept with the chance that the present rate is of that.
func (s *Source) Next(after Seconds) (Arrival, bool) {
	most := s.rate * s.shape.MaxFactor()
	if !(most > 1e-9) {
		return Arrival{}, false
	}
	t := after
	for range 100000 {
		t += s.dice.ExpFloat64() / most
		if s.dice.Float64()*most < s.rate*s.shape.Factor(t-s.begin) {
			d := Arrival{At: t}
			x := s.dice.Float64()
			for m, share := range s.mix {
				if d.Method = m; x < share {
					break
				}
				x -= share
			}
			if s.keys != nil {
				d.Key = s.keys.draw(s.dice.Float64())
			}
			return d, true
		}
	}
	return Arrival{}, false // a shape that is nothing nearly everywhere
}
