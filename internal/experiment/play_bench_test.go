package experiment

import (
	"fmt"
	"testing"

	"gingerfork/internal/scenario"
)

// fleetPlan returns the text of a plan for a fleet of the given size, in which each proxy has two RPCs per second.
func fleetPlan(servers, proxies, coordinators int) string {
	return fmt.Sprintf(`experiment fleet
day empty
seeds 1
measure service messages lines margin
set fleet proxy-count %d
set channel room 2000000
set channel pace 400000
say coordinators %d
say servers %d zone dc-kewdale capacity 30
say servers %d zone dc-malaga capacity 30
say frontends %d zone dc-kewdale rate 2
say frontends %d zone dc-malaga rate 2
say at 4s kill servers 1%% for 4s
say at 6s stall coordinators number 0 for 2s
`, proxies, coordinators, servers/2, servers/2, proxies/2, proxies/2)
}

// readBenchmarkFile returns the scenario empty.day that fleetPlan refers to, or a built-in file.
func readBenchmarkFile(name string) ([]byte, error) {
	if name == "empty.day" {
		return []byte("day empty\nsettings perth.conf\nlength 10s\nmix 70% 30%\n"), nil
	}
	return scenario.File(name)
}

// BenchmarkFleet plays ten seconds of fleets of several sizes. The metric times-real is virtual time per real time: above 1, the
// scenario plays faster than real time.
func BenchmarkFleet(b *testing.B) {
	for _, size := range [][3]int{{200, 1000, 2}, {500, 2500, 4}, {2000, 10000, 8}} {
		b.Run(fmt.Sprintf("%dx%dx%d", size[0], size[1], size[2]), func(b *testing.B) {
			plan, err := Read("fleet.plan", fleetPlan(size[0], size[1], size[2]), readBenchmarkFile)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				run, err := plan.Play(plan.Arms()[0], 1)
				if err != nil {
					b.Fatal(err)
				}
				if len(run.ViolatedRules) > 0 {
					b.Errorf("rules violated: %v", run.ViolatedRules)
				}
				b.ReportMetric(run.Figures["service"], "service")
			}
			b.ReportMetric(10*float64(b.N)/b.Elapsed().Seconds(), "times-real")
		})
	}
}
