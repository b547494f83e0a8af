package emulator

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Family is a family of distributions.
type Family uint8

// The families of distributions, and their Work.Param.
const (
	Exponential Family = iota // no Param
	Constant                  // no Param
	Lognormal                 // Param is the coefficient of variation
	Pareto                    // Param is the tail exponent, above minParetoExponent
)

const (
	// minParetoExponent is the tail exponent up to which the variance of the work, and so the mean wait in a queue, is infinite.
	minParetoExponent = 2
	// maxWorkParam is the value that Work.Param must be below.
	maxWorkParam = 1000
)

var errInvalidWork = errors.New("invalid work distribution")

// Work is the distribution of the work of a method's RPCs, in seconds on one core of speed 1.
type Work struct {
	Mean   Seconds
	Family Family
	Param  float64 // its meaning depends on the family
}

// ParseWork parses a distribution with a given mean: exponential, fixed, lognormal:CV or pareto:EXPONENT, where CV is the
// coefficient of variation.
func ParseWork(text string, mean Seconds) (Work, error) {
	name, argument, hasArgument := strings.Cut(text, ":")
	work := Work{Mean: mean}
	if hasArgument {
		var err error
		work.Param, err = strconv.ParseFloat(argument, 64)
		if err != nil || !(work.Param > 0 && work.Param < maxWorkParam) {
			return work, fmt.Errorf("%w %q: want a number above 0 and below %d, got %q", errInvalidWork, text, maxWorkParam, argument)
		}
	}
	switch {
	case name == "exponential" && !hasArgument:
		work.Family = Exponential
	case name == "fixed" && !hasArgument:
		work.Family = Constant
	case name == "lognormal" && hasArgument:
		work.Family = Lognormal
	case name == "pareto" && hasArgument && work.Param > minParetoExponent:
		work.Family = Pareto
	case name == "pareto" && hasArgument:
		return work, fmt.Errorf("%w %q: want an exponent above %d, got %v", errInvalidWork, text, minParetoExponent, work.Param)
	default:
		return work, fmt.Errorf("%w %q: want exponential, fixed, lognormal:CV or pareto:EXPONENT", errInvalidWork, text)
	}
	return work, nil
}

// Sample draws the work of one RPC.
func (w Work) Sample(random *Random) Seconds {
	switch w.Family {
	case Constant:
		return w.Mean
	case Lognormal:
		return w.Mean * random.lognormal(w.Param)
	case Pareto:
		return w.paretoMinimum() * math.Pow(1-random.Uniform(), -1/w.Param)
	}
	return random.exponential() * w.Mean
}

// CDF returns the probability that the work of an RPC is at most bound.
func (w Work) CDF(bound Seconds) float64 {
	switch w.Family {
	case Constant:
		if w.Mean <= bound {
			return 1
		}
		return 0
	case Lognormal:
		variance := math.Log(1 + w.Param*w.Param)
		return 0.5 * math.Erfc(-(math.Log(bound/w.Mean)+variance/2)/math.Sqrt(2*variance))
	case Pareto:
		return 1 - math.Pow(min(1, w.paretoMinimum()/bound), w.Param)
	}
	return 1 - math.Exp(-bound/w.Mean)
}

// SecondMoment returns the mean of the square of the work, on which the mean wait in a queue depends.
func (w Work) SecondMoment() float64 {
	switch w.Family {
	case Constant:
		return w.Mean * w.Mean
	case Lognormal:
		return w.Mean * w.Mean * (1 + w.Param*w.Param)
	case Pareto:
		minimum := w.paretoMinimum()
		return minimum * minimum * w.Param / (w.Param - 2)
	}
	return 2 * w.Mean * w.Mean
}

// paretoMinimum returns the smallest work of the Pareto distribution.
func (w Work) paretoMinimum() Seconds {
	return w.Mean * (w.Param - 1) / w.Param
}
