package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"gingerfork/internal/bootstrap"
)

// killRandomStream is the second word of the seed by which added kills are drawn, so that their random numbers differ from others
// of the same scenario seed.
const killRandomStream = 3

// Times of the added kills, in seconds.
const (
	killMargin    = 3.0 // time without kills both after the start and before the end of the scenario
	minDownTime   = 0.5 // shortest time for which a killed coordinator is down
	downTimeRange = 1.0 // difference between the longest and the shortest time for which a killed coordinator is down
)

// AddCoordinatorKills adds steps that kill a coordinator, at times that the scenario's seed determines. Each coordinator starts
// again after 0.5 s to 1.5 s, with what its store kept.
func (s *Scenario) AddCoordinatorKills(count int) {
	if s.Coordinators == 0 {
		return
	}
	random := rand.New(rand.NewPCG(s.Seed, killRandomStream))
	for range count {
		at := killMargin + random.Float64()*max(0, s.Duration-2*killMargin)
		index := random.IntN(s.Coordinators)
		downTime := minDownTime + downTimeRange*random.Float64()
		words := strings.Fields(fmt.Sprintf("at %.0fms kill coordinators number %d for %.0fms", 1e3*at, index, 1e3*downTime))
		s.Steps = append(s.Steps, Step{
			Source: bootstrap.Line{File: "kills", Number: 1, Words: words}, At: at, Verb: VerbKill, Target: TargetCoordinators,
			Selector: Selector{Indexes: []int{index}}, Duration: downTime, Deploy: defaultDeploy,
		})
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}
