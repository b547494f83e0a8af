// Package emulator emulates a server well enough that a decision that would hurt in service hurts here: work drawn from
// distributions, cores behind a bounded queue, warm-up and falls, connections, handshakes, give-ups, tokens, probes,
// load reports, a memory of keys. Model is a plain state machine of typed events; Server puts the protocol around it and
// is a machine, driven by sockets or by virtual time.
package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Seconds are seconds with fractions.
type Seconds = float64

// Dice draw numbers that depend on a seed alone. A checksum over a counter will not do here: its neighbours hang together,
// and arrivals drawn from it come too evenly, so that queues look shorter than they are (a test against the textbook
// found it).
type Random struct{ r *rand.Rand }

// NewDice makes dice.
func NewRandom(seed uint64) Random { return Random{rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))} }

// Draw gives a number from 0 to 1, 1 excluded.
func (d *Random) Uniform() float64 { return d.r.Float64() }

// Wait draws the time to the next of events that come at random at a rate.
func (d *Random) Interarrival(rate float64) Seconds {
	if rate <= 0 {
		return math.Inf(1)
	}
	return d.r.ExpFloat64() / rate
}

// normal draws from the standard normal distribution.
func (d *Random) normal() float64 {
	return d.r.NormFloat64()
}

// Shape is a family of distributions.
type Family uint8

// The families that there are.
const (
	Exponential Family = iota
	Constant
	Lognormal // Param: the coefficient of variation
	Pareto    // Param: the tail's exponent, above 2 so that waits have a mean; the heavier the nearer 2
)

// Work is how much work RPCs of a method bring, in seconds on one core of speed 1.
type Work struct {
	Mean   Seconds
	Family Family
	Param  float64
}

// ParseWork reads exponential, fixed, lognormal:CV or pareto:EXPONENT, for a mean.
func ParseWork(word string, mean Seconds) (Work, error) {
	name, arg, has := strings.Cut(word, ":")
	w := Work{Mean: mean}
	if has {
		var err error
		if w.Param, err = strconv.ParseFloat(arg, 64); err != nil || !(w.Param > 0 && w.Param < 1000) {
			return w, fmt.Errorf("work %q: %q is no number above 0", word, arg)
		}
	}
	switch {
	case name == "exponential" && !has:
	case name == "fixed" && !has:
		w.Family = Constant
	case name == "lognormal" && has:
		w.Family = Lognormal
	case name == "pareto" && has && w.Param > 2:
		w.Family = Pareto
	case name == "pareto" && has:
		return w, fmt.Errorf("work %q: an exponent of %v has no mean wait, above 2 expected", word, w.Param)
	default:
		return w, fmt.Errorf("work %q is none of exponential, fixed, lognormal:CV, pareto:EXPONENT", word)
	}
	return w, nil
}

// Draw gives one RPC's work.
func (w Work) Sample(d *Random) Seconds {
	switch w.Family {
	case Constant:
		return w.Mean
	case Lognormal:
		s2 := math.Log(1 + w.Param*w.Param)
		return w.Mean * math.Exp(math.Sqrt(s2)*d.normal()-s2/2)
	case Pareto:
		least := w.Mean * (w.Param - 1) / w.Param
		return least * math.Pow(1-d.Uniform(), -1/w.Param)
	}
	return d.r.ExpFloat64() * w.Mean
}

// Within is the chance that an RPC's work is no more than some.
func (w Work) CDF(most Seconds) float64 {
	switch w.Family {
	case Constant:
		if w.Mean <= most {
			return 1
		}
		return 0
	case Lognormal:
		s2 := math.Log(1 + w.Param*w.Param)
		return 0.5 * math.Erfc(-(math.Log(most/w.Mean)+s2/2)/math.Sqrt(2*s2))
	case Pareto:
		least := w.Mean * (w.Param - 1) / w.Param
		return 1 - math.Pow(min(1, least/most), w.Param)
	}
	return 1 - math.Exp(-most/w.Mean)
}

// Square is the mean of the work's square, which the wait in a queue goes by.
func (w Work) SecondMoment() float64 {
	switch w.Family {
	case Constant:
		return w.Mean * w.Mean
	case Lognormal:
		return w.Mean * w.Mean * (1 + w.Param*w.Param)
	case Pareto:
		least := w.Mean * (w.Param - 1) / w.Param
		return least * least * w.Param / (w.Param - 2)
	}
	return 2 * w.Mean * w.Mean
}
