package emulator

import (
	"errors"
	"math"
	"testing"
)

// The samples of each distribution have the mean and the second moment that Work gives for it.
func TestSampleMoments(t *testing.T) {
	for _, text := range []string{"fixed", "exponential", "lognormal:0.5", "pareto:5"} {
		work, err := ParseWork(text, 2)
		if err != nil {
			t.Fatal(err)
		}
		random, sum, squares := NewRandom(5), 0.0, 0.0
		const samples = 300000
		for range samples {
			sample := work.Sample(&random)
			sum += sample
			squares += sample * sample
		}
		if math.Abs(sum/samples-2) > 0.02 || math.Abs(squares/samples-work.SecondMoment()) > 0.05*work.SecondMoment() {
			t.Errorf("%s: mean %.3f, want 2; second moment %.3f, want %.3f", text, sum/samples, squares/samples, work.SecondMoment())
		}
	}
}

func TestParseWorkRejects(t *testing.T) {
	for _, text := range []string{"pareto:2", "pareto", "lognormal", "fixed:1", "normal", "lognormal:-1", "exponential:2", "lognormal:NaN"} {
		if _, err := ParseWork(text, 1); !errors.Is(err, errInvalidWork) {
			t.Errorf("%s: got %v, want %v", text, err, errInvalidWork)
		}
	}
}

// The share of samples up to a bound is the value of the cumulative distribution function there.
func TestCDF(t *testing.T) {
	for _, work := range []Work{
		{Mean: 0.1}, {Mean: 0.1, Family: Constant}, {Mean: 0.1, Family: Lognormal, Param: 1.5}, {Mean: 0.1, Family: Pareto, Param: 2.5},
	} {
		random := NewRandom(5)
		for _, bound := range []Seconds{0.05, 0.09, 0.2, 0.6} {
			within := 0.0
			const samples = 50000
			for range samples {
				if work.Sample(&random) <= bound {
					within++
				}
			}
			if math.Abs(within/samples-work.CDF(bound)) > 0.012 {
				t.Errorf("%+v up to %v: %.3f of the samples, want %.3f", work, bound, within/samples, work.CDF(bound))
			}
		}
	}
}
