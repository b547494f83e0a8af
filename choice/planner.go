package choice

import (
	"encoding/binary"
	"hash/crc32"
)

// Planner is one instance of the decision module. It must not be used by two goroutines at once.
type Planner struct {
	config      Config
	settings    decisionSettings
	now         Seconds
	randomDraws uint32 // number of random numbers drawn so far
	backendStates
	backends       []*backendActor   // actors of the backends, by index
	indexOf        map[BackendID]int // indexes of the known backends
	freeSlots      []int             // unused indexes of backends
	goneSince      []Seconds         // by index: since when the backend's state is BackendGone; 0: it is not
	zoneIndex      map[Zone]int      // indexes of the known zones
	proxies        []*proxyActor     // actors of the proxies, in ascending order of ids
	watcher        *endpointWatcher
	ring           *ring
	admission      *admission
	channel        *channel
	readyActors    []actor   // actors with messages, in the order in which they got their first one
	commands       []Command // commands of this step so far
	nextTick       Seconds
	newestReportAt Seconds       // when the last attempt report on any backend arrived
	isolated       bool          // at least half of the open backends seem unreachable, so this instance is assumed to be cut off
	dirtyProxies   []*proxyActor // proxies that may need a push in this step
}

// endpointWatcher is the actor that follows the endpoint list.
type endpointWatcher struct {
	mailbox
	planner     *Planner
	nextPoll    Seconds // when a watch may be started; +Inf: one has succeeded
	failedPolls int     // failed polls in a row, counted up to maxBackoffDoublings
}

// New returns an instance of the decision module for the settings of a site.
func New(config Config) *Planner {
	planner := &Planner{config: config, now: config.Now, indexOf: map[BackendID]int{}, zoneIndex: map[Zone]int{}}
	planner.settings = newDecisionSettings(config.Settings)
	planner.watcher, planner.ring = &endpointWatcher{planner: planner}, &ring{planner: planner}
	planner.admission = newAdmission(planner)
	planner.channel = &channel{planner: planner, meanAckTime: planner.settings.MeanPushTime}
	return planner
}

// actors returns the actors that get tickElapsed: all but the proxies, the ring last.
func (planner *Planner) actors() []actor {
	all := []actor{planner.watcher, planner.admission, planner.channel}
	for _, backend := range planner.backends {
		all = append(all, backend)
	}
	return append(all, planner.ring)
}

// random returns a pseudo-random number from 0 up to, but not including, 1. The sequence depends only on the seed.
func (planner *Planner) random() float64 {
	planner.randomDraws++
	bytes := binary.LittleEndian.AppendUint64(nil, planner.config.Seed)
	bytes = binary.LittleEndian.AppendUint32(bytes, planner.randomDraws)
	return float64(crc32.ChecksumIEEE(bytes)) / (1 << 32)
}

// markDirty has a proxy check its tables for changes before the step ends.
func (planner *Planner) markDirty(proxy *proxyActor) {
	if !proxy.dirty {
		proxy.dirty = true
		planner.dirtyProxies = append(planner.dirtyProxies, proxy)
	}
}

// setExcluded excludes a backend from all tables or withdraws its exclusion, and counts the lines that this adds to messages.
func (planner *Planner) setExcluded(i int, excluded bool) {
	planner.excluded[i] = excluded
	planner.commands = append(planner.commands, SetExclusion{planner.id[i], excluded})
	for _, proxy := range planner.proxies {
		if proxy.joined && proxy.mayUse(i) {
			proxy.pendingLines++
			planner.markDirty(proxy)
		} else if proxy.pushWaiting {
			planner.markDirty(proxy) // the table or list that it waits for may include this backend
		}
	}
}

// excludedCount returns the number of excluded backends.
func (planner *Planner) excludedCount() (count int) {
	for _, excluded := range planner.excluded {
		if excluded {
			count++
		}
	}
	return count
}

// ownShare returns the share of all proxies that were joined to this coordinator when all arcs were last assigned.
func (planner *Planner) ownShare() float64 {
	return float64(planner.ring.joinedProxies) / max(planner.settings.ProxyCount, float64(planner.ring.joinedProxies), 1)
}

// sum returns the sum of the values.
func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
