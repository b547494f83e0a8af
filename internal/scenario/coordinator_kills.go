package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"gingerfork/internal/bootstrap"
)

// killRandomStream separates the random numbers of added kills from others of the same seed.
const killRandomStream = 3

// Bounds of the added kills, in seconds.
const (
	killMargin    = 3.0 // from the start and the end of the scenario
	minDownTime   = 0.5
	downTimeRange = 1.0
)

// AddCoordinatorKills adds kills of coordinators at times drawn from the scenario's seed. Each coordinator starts again after
// half a second to one and a half, from what its store had kept.
func (s *Scenario) AddCoordinatorKills(count int) {
	if s.Coordinators == 0 {
		return
	}
	random := rand.New(rand.NewPCG(s.Seed, killRandomStream))
	for range count {
		at := killMargin + random.Float64()*max(0, s.Duration-2*killMargin)
		index := random.IntN(s.Coordinators)
		down := minDownTime + downTimeRange*random.Float64()
		words := strings.Fields(fmt.Sprintf("at %.0fms kill coordinators number %d for %.0fms", 1e3*at, index, 1e3*down))
		s.Steps = append(s.Steps, Step{
			Source: bootstrap.Line{File: "kills", Number: 1, Words: words}, At: at, Verb: VerbKill, Target: TargetCoordinators,
			Selector: Selector{Indexes: []int{index}}, Duration: down, Deploy: defaultDeploy,
		})
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}
