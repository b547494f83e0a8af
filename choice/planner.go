package choice

import (
	"encoding/binary"
	"hash/crc32"
)

// Planner is one instance of the module. Its methods must not be called from two goroutines at once.
type Planner struct {
	config      Config
	settings    planSettings
	now         Seconds
	randomDraws uint32 // random numbers drawn so far
	backendStates
	backends       []*backendActor
	indexOf        map[BackendID]int
	freeSlots      []int     // indexes to be used again
	goneSince      []Seconds // since when each backend is gone; 0: it is not
	zoneIndex      map[Zone]int
	proxies        []*proxyActor // by id
	watcher        *endpointWatcher
	ring           *ring
	admission      *admission
	channel        *channel
	readyActors    []actor // those with messages, in the order in which they got the first
	commands       []Command
	nextTick       Seconds
	newestReportAt Seconds       // when the newest attempt report came
	isolated       bool          // most backends seem unreachable, so the fault is on our side
	dirtyProxies   []*proxyActor // those that may need a push in this step
}

// endpointWatcher follows the endpoint list.
type endpointWatcher struct {
	mailbox
	plan        *Planner
	nextPoll    Seconds
	failedPolls int // in a row
}

// New returns an instance for a site's settings.
func New(config Config) *Planner {
	plan := &Planner{config: config, now: config.Now, indexOf: map[BackendID]int{}, zoneIndex: map[Zone]int{}}
	plan.settings = planSettingsOf(config.Settings)
	plan.watcher, plan.ring = &endpointWatcher{plan: plan}, &ring{plan: plan}
	plan.admission = newAdmission(plan)
	plan.channel = &channel{plan: plan, meanAckTime: plan.settings.PushTime}
	return plan
}

// actors returns those that are sent tickElapsed.
func (plan *Planner) actors() []actor {
	all := []actor{plan.watcher, plan.admission, plan.channel}
	for _, backend := range plan.backends {
		all = append(all, backend)
	}
	return append(all, plan.ring)
}

// random draws a number from 0 to 1, which follows from the seed alone.
func (plan *Planner) random() float64 {
	plan.randomDraws++
	bytes := binary.LittleEndian.AppendUint64(nil, plan.config.Seed)
	bytes = binary.LittleEndian.AppendUint32(bytes, plan.randomDraws)
	return float64(crc32.ChecksumIEEE(bytes)) / (1 << 32)
}

// markDirty has a proxy look at its tables before the step ends.
func (plan *Planner) markDirty(proxy *proxyActor) {
	if !proxy.dirty {
		proxy.dirty = true
		plan.dirtyProxies = append(plan.dirtyProxies, proxy)
	}
}

// setExcluded excludes a backend from all tables or restores it, and counts the lines that this costs.
func (plan *Planner) setExcluded(i int, excluded bool) {
	plan.excluded[i] = excluded
	plan.commands = append(plan.commands, SetExclusion{plan.id[i], excluded})
	for _, proxy := range plan.proxies {
		if proxy.joined && proxy.mayUse(i) {
			proxy.pendingLines++
			plan.markDirty(proxy)
		} else if proxy.pushWaiting {
			plan.markDirty(proxy) // what it waits for may hold this backend
		}
	}
}

// excludedCount is the number of excluded backends.
func (plan *Planner) excludedCount() (count int) {
	for _, excluded := range plan.excluded {
		if excluded {
			count++
		}
	}
	return count
}

// ownShare is the share of all proxies that are joined to this coordinator.
func (plan *Planner) ownShare() float64 {
	return float64(plan.ring.joinedProxies) / max(plan.settings.Proxies, float64(plan.ring.joinedProxies), 1)
}

// sum adds up.
func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
