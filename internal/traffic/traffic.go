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
	Swing  float64 // the daily wave's height, of the mean: 0.2 goes from 0.8 to 1.2
	Day    Seconds // its length
	Every  Seconds // a burst begins so often, 0: none;
	Lasts  Seconds // it lasts so long,
	Height float64 // and asks for so many times the rate
}

// Check tells what is wrong with a shape.
func (s Shape) Check() error {
	switch {
	case !(s.Swing >= 0 && s.Swing <= 1):
		return fmt.Errorf("a swing of %v is not between 0 and 1", s.Swing)
	case s.Swing > 0 && !(s.Day > 0):
		return fmt.Errorf("a wave needs its length")
	case s.Every > 0 && !(s.Lasts > 0 && s.Lasts <= s.Every && s.Height >= 0):
		return fmt.Errorf("bursts every %v s can't last %v s at %v times the rate", s.Every, s.Lasts, s.Height)
	}
	return nil
}

// Factor is the rate's factor at a time since the beginning.
func (s Shape) Factor(t Seconds) float64 {
	f := 1.0
	if s.Swing > 0 {
		f += s.Swing * math.Sin(2*math.Pi*t/s.Day)
	}
	if s.Every > 0 && math.Mod(t, s.Every) >= s.Every-s.Lasts {
		f *= s.Height
	}
	return f
}

// Most is a bound of Factor.
func (s Shape) Most() float64 {
	f := 1 + s.Swing
	if s.Every > 0 {
		f *= max(1, s.Height)
	}
	return f
}

// Zipf draws keys 1 to N, the k-th with a chance like 1/k^Exponent.
type Zipf struct {
	N        int
	Exponent float64
	sums     []float64
}

// NewZipf makes one; N up to a million.
func NewZipf(n int, exponent float64) (*Zipf, error) {
	if n < 1 || n > 1e6 || !(exponent >= 0 && exponent <= 10) {
		return nil, fmt.Errorf("Zipf keys: %d keys and an exponent of %v; 1 to 1000000 and 0 to 10 go", n, exponent)
	}
	z := &Zipf{N: n, Exponent: exponent, sums: make([]float64, n)}
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
func Uneven(n int, cv float64, seed uint64) []float64 {
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
type Due struct {
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
func (s *Source) Rate(rate float64) { s.rate = max(rate, 0) }

// Next draws the next RPC due after a time; false if none ever is at this rate. Draws go by thinning: from arrivals at
// the highest rate that the shape has, each is kept with the chance that the present rate is of that.
func (s *Source) Next(after Seconds) (Due, bool) {
	most := s.rate * s.shape.Most()
	if !(most > 1e-9) {
		return Due{}, false
	}
	t := after
	for range 100000 {
		t += s.dice.ExpFloat64() / most
		if s.dice.Float64()*most < s.rate*s.shape.Factor(t-s.begin) {
			d := Due{At: t}
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
	return Due{}, false // a shape that is nothing nearly everywhere
}
