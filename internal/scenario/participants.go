package scenario

import (
	"fmt"

	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/traffic"
)

// Prefixes of participants' names, which traces show; a number from 0 follows.
const (
	coordinatorPrefix = "c"
	backendPrefix     = "s"
	proxyPrefix       = "f"
)

// participant is a party of a scenario.
type participant struct {
	name         string
	zone         string
	kind         string
	index        int             // among those of its kind
	backend      proto.BackendID // 0: not a backend
	group        BackendGroup
	rate         float64 // of a proxy, RPCs a second
	policy       string  // of a proxy: how it chooses backends, "": as the settings say
	up           bool
	incarnations int // processes that were started
	downCount    int // faults that keep it down at present
	partitions   int // partitions that separate a backend from all others
}

func (p *participant) isBackend() bool { return p.backend > 0 }

// participants are all parties of a scenario.
type participants struct {
	backends     []*participant
	proxies      []*participant
	coordinators []*participant
	byName       map[string]*participant
}

func newParticipants(scenario *Scenario) participants {
	zones := scenario.Zones()
	all := participants{byName: map[string]*participant{endpointService: {name: endpointService, zone: zones[0]}}}
	for i := range scenario.Coordinators {
		all.add(&all.coordinators, coordinatorPrefix, &participant{zone: participantZone("", zones, i)})
	}
	for _, group := range scenario.Backends {
		for range group.Count {
			i := len(all.backends)
			all.add(&all.backends, backendPrefix, &participant{
				zone: participantZone(group.Zone, zones, i), kind: group.Kind, backend: proto.BackendID(i + 1), group: group,
			})
		}
	}
	for number, group := range scenario.Proxies {
		factors := traffic.LognormalFactors(group.Count, group.RateVariation, fake.DeriveSeed(scenario.Seed, fmt.Sprint("uneven ", number)))
		for _, factor := range factors {
			all.add(&all.proxies, proxyPrefix, &participant{
				zone: participantZone(group.Zone, zones, len(all.proxies)), rate: group.Rate * factor, policy: group.BackendPolicy,
			})
		}
	}
	return all
}

// participantZone is the zone of a group, or one of all zones in turn if the group names none.
func participantZone(groupZone string, zones []string, index int) string {
	if groupZone == "" {
		return zones[index%len(zones)]
	}
	return groupZone
}

// add names a participant and adds it to its kind.
func (a *participants) add(kind *[]*participant, prefix string, added *participant) {
	added.index = len(*kind)
	added.name = fmt.Sprintf("%s%d", prefix, added.index)
	*kind = append(*kind, added)
	a.byName[added.name] = added
}

// names returns the participants' names in order.
func names(of []*participant) []string {
	all := make([]string, 0, len(of))
	for _, p := range of {
		all = append(all, p.name)
	}
	return all
}
