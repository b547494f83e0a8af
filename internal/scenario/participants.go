package scenario

import (
	"fmt"

	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/traffic"
)

// Prefixes of the names of participants, which appear in traces. The index of the participant follows, from 0.
const (
	coordinatorPrefix = "c"
	backendPrefix     = "s"
	proxyPrefix       = "f"
)

// participant is a coordinator, proxy, backend or endpoint list service of a scenario. It outlives the processes that play it.
type participant struct {
	name         string
	zone         string
	kind         string          // of a backend
	index        int             // among the coordinators, proxies or backends, from 0
	backend      proto.BackendID // 0: not a backend
	group        BackendGroup    // of a backend
	rate         float64         // of a proxy, in RPCs per second
	policy       string          // of a proxy: how the proxy chooses backends; "": as the settings say
	up           bool            // whether the participant's process runs
	incarnations int             // number of the participant's processes so far
	downCount    int             // number of faults that keep the participant down at present
	partitions   int             // of a backend: number of present partitions that separate the backend from all other participants
}

func (p *participant) isBackend() bool { return p.backend > 0 }

// participants are all participants of a scenario. The endpoint list service is only in byName.
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

// participantZone returns the zone of a group, or one of all zones in turn if the group has none.
func participantZone(groupZone string, zones []string, index int) string {
	if groupZone == "" {
		return zones[index%len(zones)]
	}
	return groupZone
}

// add sets the index and the name of a participant and appends it to one of the lists.
func (a *participants) add(list *[]*participant, prefix string, added *participant) {
	added.index = len(*list)
	added.name = fmt.Sprintf("%s%d", prefix, added.index)
	*list = append(*list, added)
	a.byName[added.name] = added
}

// participantNames returns the names of participants, in their order.
func participantNames(list []*participant) []string {
	names := make([]string, 0, len(list))
	for _, p := range list {
		names = append(names, p.name)
	}
	return names
}
