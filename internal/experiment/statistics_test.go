package experiment

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The 95% interval contains the true mean for about 95% of samples from known distributions. The bounds of the test allow for
// fewer, because small samples of a distribution with a long tail give fewer.
func TestBootstrapCoverage(t *testing.T) {
	const samples, sampleSize = 400, 20
	random := rand.New(rand.NewPCG(7, 7))
	for name, distribution := range map[string]struct {
		draw func() float64
		mean float64
	}{"normal": {random.NormFloat64, 0}, "exponential": {random.ExpFloat64, 1}, "even": {random.Float64, 0.5}} {
		covered := 0
		for range samples {
			values := make([]float64, sampleSize)
			for i := range values {
				values[i] = distribution.draw()
			}
			if e := EstimateMean(values); e.Low <= distribution.mean && distribution.mean <= e.High {
				covered++
			}
		}
		coverage := float64(covered) / samples
		t.Logf("%s: %.3f", name, coverage)
		if coverage < 0.91 || coverage > 0.985 {
			t.Errorf("%s: the interval contains the mean in %.3f of samples", name, coverage)
		}
	}
}

// Shifting and scaling the values shifts and scales the mean, and reversing the sign reverses the verdict.
func TestEstimateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(-10, 10), 2, 12).Draw(t, "figures")
		factor, shift := rapid.Float64Range(0.5, 3).Draw(t, "factor"), rapid.Float64Range(-5, 5).Draw(t, "shift")
		checkEstimate(t, values, factor, shift)
	})
}

func checkEstimate(rapidT *rapid.T, values []float64, factor, shift float64) {
	transformed := make([]float64, len(values))
	for i, value := range values {
		transformed[i] = value*factor + shift
	}
	before, after := EstimateMean(values), EstimateMean(transformed)
	if before.Low > before.Mean+1e-9 && !math.IsInf(before.Low, 0) && before.High < before.Mean {
		rapidT.Fatalf("%+v", before)
	}
	if before.Deviation > 1e-6 && math.Abs(after.Mean-(before.Mean*factor+shift)) > 1e-6 {
		rapidT.Fatalf("%+v %+v", before, after)
	}
	more, _ := Verdict(before, moreIsBetter)
	less, _ := Verdict(before, lessIsBetter)
	if (more == "better") != (less == "worse") || (more == "can't tell") != (less == "can't tell") {
		rapidT.Fatalf("%s %s", more, less)
	}
}

func TestStudent(t *testing.T) {
	for degreesOfFreedom, want := range map[int]float64{1: 12.706, 4: 2.776, 9: 2.262, 30: 2.042} {
		if got := studentQuantile(degreesOfFreedom); math.Abs(got-want) > 0.01 {
			t.Errorf("with %d degrees of freedom: %g, wanted %g", degreesOfFreedom, got, want)
		}
	}
}

// One outlier among equal values gives an interval that is wide, but limited.
func TestBootstrapWithOutlier(t *testing.T) {
	values := append(make([]float64, 19), 1)
	if e := EstimateMean(values); e.Low < -0.3 || e.High > 0.4 || e.Low > 0 {
		t.Errorf("the interval is %v to %v, want it to contain 0 and to be within -0.3 to 0.4", e.Low, e.High)
	}
}

func TestVerdict(t *testing.T) {
	for _, test := range []struct {
		values     []float64
		want       string
		needsSeeds bool
	}{
		{[]float64{0, 0, 0}, "the same", false},
		{[]float64{1}, "can't tell", true},
		{[]float64{1, 1.1, 0.9, 1, 1.05}, "better", false},
		{[]float64{1, -1.1, 0.9, -1, 0.5}, "can't tell", true},
		{[]float64{2, 2, 2}, "better", false},
	} {
		got, seeds := Verdict(EstimateMean(test.values), moreIsBetter)
		if got != test.want || (seeds > 0) != test.needsSeeds {
			t.Errorf("%v: %s, %d seeds needed", test.values, got, seeds)
		}
	}
}
