package choice

import (
	"encoding/binary"
	"hash/crc32"
)

// Planner is one instance of the decision module. It must not be used by two goroutines at once.
type Planner struct {
	config      Config
	settings    planSettings
	now         Seconds
	randomDraws uint32 // number of random numbers drawn so far
	backendStates
	backends       []*backendActor   // by index
	indexOf        map[BackendID]int // indexes of the known backends
	freeSlots      []int             // unused indexes of backends
	goneSince      []Seconds         // by index: since when the backend is gone; 0: it is not
	zoneIndex      map[Zone]int
	proxies        []*proxyActor // in ascending order of ids
	watcher        *endpointWatcher
	ring           *ring
	admission      *admission
	channel        *channel
	readyActors    []actor   // actors with messages, in the order in which they got their first one
	commands       []Command // of this step so far
	nextTick       Seconds
	newestReportAt Seconds       // when the last attempt report arrived
	isolated       bool          // at least half of the open backends seem unreachable, so this instance is assumed to be cut off
	dirtyProxies   []*proxyActor // proxies that may need a push in this step
}

// endpointWatcher is the actor that follows the endpoint list.
type endpointWatcher struct {
	mailbox
	plan        *Planner
	nextPoll    Seconds // +Inf: a watch has succeeded
	failedPolls int     // consecutive, up to maxBackoffDoublings
}

// New returns an instance of the decision module for the settings of a site.
func New(config Config) *Planner {
	plan := &Planner{config: config, now: config.Now, indexOf: map[BackendID]int{}, zoneIndex: map[Zone]int{}}
	plan.settings = planSettingsOf(config.Settings)
	plan.watcher, plan.ring = &endpointWatcher{plan: plan}, &ring{plan: plan}
	plan.admission = newAdmission(plan)
	plan.channel = &channel{plan: plan, meanAckTime: plan.settings.PushTime}
	return plan
}

// actors returns the actors that get tickElapsed: all but the proxies, the ring last.
func (plan *Planner) actors() []actor {
	all := []actor{plan.watcher, plan.admission, plan.channel}
	for _, backend := range plan.backends {
		all = append(all, backend)
	}
	return append(all, plan.ring)
}

// random returns a pseudo-random number from 0 up to, but not including, 1. The sequence depends only on the seed.
func (plan *Planner) random() float64 {
	plan.randomDraws++
	bytes := binary.LittleEndian.AppendUint64(nil, plan.config.Seed)
	bytes = binary.LittleEndian.AppendUint32(bytes, plan.randomDraws)
	return float64(crc32.ChecksumIEEE(bytes)) / (1 << 32)
}

// markDirty has a proxy check its tables for changes before the step ends.
func (plan *Planner) markDirty(proxy *proxyActor) {
	if !proxy.dirty {
		proxy.dirty = true
		plan.dirtyProxies = append(plan.dirtyProxies, proxy)
	}
}

// setExcluded excludes a backend from all tables or withdraws its exclusion, and counts the lines that this adds to messages.
func (plan *Planner) setExcluded(i int, excluded bool) {
	plan.excluded[i] = excluded
	plan.commands = append(plan.commands, SetExclusion{plan.id[i], excluded})
	for _, proxy := range plan.proxies {
		if proxy.joined && proxy.mayUse(i) {
			proxy.pendingLines++
			plan.markDirty(proxy)
		} else if proxy.pushWaiting {
			plan.markDirty(proxy) // the table or list that it waits for may include this backend
		}
	}
}

// excludedCount returns the number of excluded backends.
func (plan *Planner) excludedCount() (count int) {
	for _, excluded := range plan.excluded {
		if excluded {
			count++
		}
	}
	return count
}

// ownShare returns the share of all proxies that were joined to this coordinator when all arcs were last assigned.
func (plan *Planner) ownShare() float64 {
	return float64(plan.ring.joinedProxies) / max(plan.settings.Proxies, float64(plan.ring.joinedProxies), 1)
}

// sum returns the sum of the values.
func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
