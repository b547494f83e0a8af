package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"gingerfork/internal/bootstrap"
)

// Kills adds to a day so many outright deaths of coordinators, at moments and for times drawn from its seed. Each comes back
// after half a second to one and a half, on whatever it had kept by then.
func (d *Scenario) AddCoordinatorKills(n int) {
	if d.Coordinators == 0 {
		return
	}
	dice := rand.New(rand.NewPCG(d.Seed, 3))
	for range n {
		at, who, span := 3+dice.Float64()*max(0, d.Duration-6), dice.IntN(d.Coordinators), 0.5+dice.Float64()
		words := strings.Fields(fmt.Sprintf("at %.0fms kill coordinators number %d for %.0fms", 1e3*at, who, 1e3*span))
		d.Steps = append(d.Steps, Step{
			Source: bootstrap.Line{File: "kills", No: 1, Words: words}, At: at, Verb: "kill", Target: "coordinators",
			Selector: Selector{Indexes: []int{who}}, Duration: span,
		})
	}
	slices.SortStableFunc(d.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}
