// Package checkpoint decides what a coordinator keeps between starts, and what must be durable before what. It is a plain
// module: it is told what was decided and sent, and what the store has made durable; it hands out records. It has no
// file, clock or goroutine. docs/store.md weighs its rules.
package checkpoint

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

const (
	// marksAtOnce is how many marks are set aside by one record. Half of them are hours of pushes, so that the next lot is
	// durable long before it is needed; it harms nothing but the numbers, which a crash skips by as many.
	marksAtOnce = 1 << 20
	// patience is how long anything waits for the disk, in seconds: a disk that hangs must not stop what proxies are told.
	// It harms where the machine dies in that time: what was counted may be forgotten, as without a store.
	patience = 0.5
	// flushEvery is how often, in seconds, it is written what proxies confirmed: nothing waits for that.
	flushEvery = 1.0
)

// Put is a record to be written.
type Mutation = statemachine.Mutation

// Server is a server of the list as held.
type Endpoint struct {
	Entry       choice.Endpoint
	Incarnation uint64 // of its process
	Addr        string
}

// Drain is an order that takes a server out of use by the list's word.
type Drain struct {
	RecordedAt  choice.Seconds // when the coordinator was told
	Incarnation uint64         // of the process that it is meant for
	Removed     bool           // it left the list
}

// Proxy is what a proxy may hold: all up to Confirmed, and perhaps what is in flight.
type Proxy struct {
	Acknowledged, InFlight uint64
}

// Kept is what the last run left.
type State struct {
	HasEndpointList bool // a list was held at all
	ListVersion     uint64
	Endpoints       map[choice.BackendID]Endpoint
	Drains          map[choice.BackendID]Drain
	Proxies         map[string]Proxy
	NonceLimit      uint64 // all below may have been given out
	Settings        string
}

const (
	listKey, serverKey, drainKey, proxyKey, marksKey, settingsKey = "list", "server/", "drain/", "proxy/", "marks", "settings"
)

func epKey(prefix string, ep choice.BackendID) string { return fmt.Sprintf("%s%010d", prefix, ep) }

func num(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (s Endpoint) encode() []byte {
	e := s.Entry
	return fmt.Appendf(nil, "%d %q %q %d %s %s %d %q", e.State, e.Kind, e.Zone, e.Cell, num(e.Weight), num(e.StartedAt), s.Incarnation, s.Addr)
}

// Read makes sense of a store's records. One that makes none spoils the whole: what is known in part is not known.
func Decode(records iter.Seq2[string, []byte]) (*State, error) {
	k := &State{Endpoints: map[choice.BackendID]Endpoint{}, Drains: map[choice.BackendID]Drain{}, Proxies: map[string]Proxy{}}
	for key, value := range records {
		text := string(value)
		scan := func(format string, into ...any) error { _, err := fmt.Sscanf(text, format, into...); return err }
		of := func(prefix string) (choice.BackendID, error) {
			n, err := strconv.ParseUint(key[len(prefix):], 10, 32)
			return choice.BackendID(n), err
		}
		var err error
		switch {
		case key == listKey:
			k.HasEndpointList, err = true, scan("%d", &k.ListVersion)
		case key == marksKey:
			err = scan("%d", &k.NonceLimit)
		case key == settingsKey:
			k.Settings = text
		case strings.HasPrefix(key, serverKey):
			var s Endpoint
			var zone string
			if s.Entry.Backend, err = of(serverKey); err == nil {
				err = scan("%d %q %q %d %g %g %d %q", &s.Entry.State, &s.Entry.Kind, &zone, &s.Entry.Cell, &s.Entry.Weight, &s.Entry.StartedAt, &s.Incarnation, &s.Addr)
			}
			s.Entry.Zone = choice.Zone(zone)
			k.Endpoints[s.Entry.Backend] = s
		case strings.HasPrefix(key, drainKey):
			var d Drain
			var ep choice.BackendID
			if ep, err = of(drainKey); err == nil {
				err = scan("%g %d %t", &d.RecordedAt, &d.Incarnation, &d.Removed)
			}
			k.Drains[ep] = d
		case strings.HasPrefix(key, proxyKey):
			var p Proxy
			err = scan("%d %d", &p.Acknowledged, &p.InFlight)
			k.Proxies[key[len(proxyKey):]] = p
		default:
			err = fmt.Errorf("it is none of ours")
		}
		if err != nil {
			return nil, fmt.Errorf("record %q, %q: %w", key, text, err)
		}
	}
	if !k.HasEndpointList && len(k.Endpoints) > 0 {
		return nil, fmt.Errorf("%d servers without the list's version", len(k.Endpoints))
	}
	return k, nil
}

// grave is a batch that holds an order which must not be forgotten once it was counted as done.
type grave struct {
	batch uint64
	at    choice.Seconds
}

// Keeper is the module.
type Checkpointer struct {
	off     bool
	puts    []Mutation
	at      map[string]int // where in puts a key stands, so that a step writes it once
	batch   uint64         // handed out
	durable uint64
	lost    bool // the store is out of order: nothing waits for it
	drains  map[choice.BackendID]Drain
	graves  []grave // not durable, oldest first
	heavy   bool    // this step has one

	next, set  uint64 // the mark to give next, and the end of those set aside
	firstBatch uint64 // that sets the first lot aside; 0: not written yet
	began      choice.Seconds
	opened     bool // the first lot is durable, or nobody waits for it any more

	proxies  map[string]Proxy
	absent   map[string]bool // of the last run, and not seen in this one
	changed  map[string]bool
	flushed  choice.Seconds
	settings string
}

// New makes one that goes on from what was kept; nil: nothing is to be kept.
func New(now choice.Seconds, k *State) *Checkpointer {
	x := &Checkpointer{at: map[string]int{}, drains: map[choice.BackendID]Drain{}, proxies: map[string]Proxy{}, absent: map[string]bool{}, changed: map[string]bool{}, began: now, flushed: now}
	if k == nil {
		x.off, x.opened, x.next = true, true, 1
		return x
	}
	maps.Copy(x.drains, k.Drains)
	maps.Copy(x.proxies, k.Proxies)
	for name := range k.Proxies {
		x.absent[name] = true
	}
	x.settings = k.Settings
	x.next = max(k.NonceLimit, 1)
	x.setAside()
	return x
}

func (k *Checkpointer) setAside() {
	k.set = k.next + marksAtOnce
	k.put(marksKey, strconv.AppendUint(nil, k.set, 10))
}

func (k *Checkpointer) put(key string, value []byte) {
	if k.off {
		return
	}
	if i, ok := k.at[key]; ok {
		k.puts[i].Value = value
		return
	}
	k.at[key] = len(k.puts)
	k.puts = append(k.puts, Mutation{Key: key, Value: value})
}

// Mark gives the next mark. None is given that may have been given before a crash, unless the store was out of order for
// longer than a lot of marks lasts.
func (k *Checkpointer) NextNonce() uint64 {
	m := k.next
	if k.next++; k.next+marksAtOnce/2 > k.set && !k.off {
		k.set += marksAtOnce
		k.put(marksKey, strconv.AppendUint(nil, k.set, 10))
	}
	return m
}

// Listed takes over what news changed on the list: servers as they are now, and those that left it.
func (k *Checkpointer) UpdateEndpoints(now choice.Seconds, version uint64, changed []Endpoint, gone []choice.BackendID) {
	if k.off {
		return
	}
	k.put(listKey, strconv.AppendUint(nil, version, 10))
	for _, s := range changed {
		ep := s.Entry.Backend
		k.put(epKey(serverKey, ep), s.encode())
		d, was := k.drains[ep]
		switch {
		case s.Entry.State == choice.BackendOpen && was:
			delete(k.drains, ep)
			k.put(epKey(drainKey, ep), nil)
		case s.Entry.State != choice.BackendOpen && (!was || d.Incarnation != s.Incarnation):
			k.drain(ep, Drain{RecordedAt: now, Incarnation: s.Incarnation})
		}
	}
	for _, ep := range gone {
		k.put(epKey(serverKey, ep), nil)
		d, was := k.drains[ep]
		if !was {
			d = Drain{RecordedAt: now}
		}
		d.Removed = true
		k.drain(ep, d)
	}
	for _, ep := range slices.Sorted(maps.Keys(k.drains)) {
		// Nobody holds a line of it by now.
		if d := k.drains[ep]; d.Removed && now > d.RecordedAt+2*choice.BackendRetention {
			delete(k.drains, ep)
			k.put(epKey(drainKey, ep), nil)
		}
	}
}

func (k *Checkpointer) drain(ep choice.BackendID, d Drain) {
	k.drains[ep] = d
	k.put(epKey(drainKey, ep), fmt.Appendf(nil, "%s %d %t", num(d.RecordedAt), d.Incarnation, d.Removed))
	k.heavy = true
}

// Drained are the servers that are out of use by the list's word, in order.
func (k *Checkpointer) DrainedBackends() []choice.BackendID {
	return slices.Sorted(maps.Keys(k.drains))
}

// Sent: a push with this mark left for a proxy.
func (k *Checkpointer) PushSent(name string, mark uint64) {
	delete(k.absent, name)
	if p := k.proxies[name]; !k.off && mark > p.InFlight {
		p.InFlight = mark
		k.proxies[name], k.changed[name] = p, true
	}
}

// Confirmed: a proxy answered a mark.
func (k *Checkpointer) PushAcknowledged(name string, mark uint64) {
	if p := k.proxies[name]; !k.off && mark > p.Acknowledged {
		p.Acknowledged = mark
		k.proxies[name], k.changed[name] = p, true
	}
}

// Forget drops a proxy that left long ago.
func (k *Checkpointer) RemoveProxy(name string) {
	if _, known := k.proxies[name]; known {
		delete(k.proxies, name)
		delete(k.changed, name)
		delete(k.absent, name)
		k.put(proxyKey+name, nil)
	}
}

// Settings puts others in force, and tells whether they differ from those kept.
func (k *Checkpointer) UpdateSettings(text string) (other bool) {
	if k.off || text == k.settings {
		return false
	}
	other, k.settings = k.settings != "", text
	k.put(settingsKey, []byte(text))
	return other
}

// Take gives what a step adds, under a number; nothing: 0. What proxies confirmed goes along, and by itself now and then.
func (k *Checkpointer) TakeBatch(now choice.Seconds) (puts []Mutation, batch uint64) {
	if k.off {
		return nil, 0
	}
	if len(k.absent) > 0 && now > k.began+2*choice.BackendRetention {
		// They went while nobody looked, and nobody else will tell of it: their records would stay for good.
		for _, name := range slices.Sorted(maps.Keys(k.absent)) {
			k.RemoveProxy(name)
		}
	}
	if len(k.changed) > 0 && now >= k.flushed+flushEvery {
		k.flushed = now
		for _, name := range slices.Sorted(maps.Keys(k.changed)) {
			p := k.proxies[name]
			k.put(proxyKey+name, fmt.Appendf(nil, "%d %d", p.Acknowledged, p.InFlight))
		}
		clear(k.changed)
	}
	if len(k.puts) == 0 {
		return nil, 0
	}
	k.batch++
	if k.firstBatch == 0 {
		k.firstBatch = k.batch
	}
	if k.heavy {
		k.graves, k.heavy = append(k.graves, grave{k.batch, now}), false
	}
	puts, k.puts = k.puts, nil
	clear(k.at)
	return puts, k.batch
}

// Durable: all batches up to this one are; the store is in order.
func (k *Checkpointer) Persisted(batch uint64) {
	k.durable, k.lost = max(k.durable, batch), false
	k.opened = k.opened || k.firstBatch > 0 && k.durable >= k.firstBatch
	at := slices.IndexFunc(k.graves, func(g grave) bool { return g.batch > k.durable })
	if at < 0 {
		at = len(k.graves)
	}
	k.graves = k.graves[at:]
}

// Lost: the store is out of order.
func (k *Checkpointer) PersistFailed() { k.lost = true }

// Open tells whether marks may leave. Until the first lot is durable none may: a crash now, and the next run would give
// the same ones.
func (k *Checkpointer) NoncesReady(now choice.Seconds) bool {
	k.opened = k.opened || k.lost || now >= k.began+patience
	return k.opened
}

// Needs is what must be durable before an answer to a push that leaves now may be counted: the last order to take a
// server out of use. A number for Counts.
func (k *Checkpointer) DurabilityBarrier() uint64 {
	if k.heavy {
		return k.batch + 1
	}
	if n := len(k.graves); n > 0 {
		return k.graves[n-1].batch
	}
	return 0
}

// Counts tells whether what Needs gave is durable, or waited for too long.
func (k *Checkpointer) BarrierReached(now choice.Seconds, batch uint64) bool {
	if k.off || k.lost || batch <= k.durable {
		return true
	}
	at, found := slices.BinarySearchFunc(k.graves, batch, func(g grave, b uint64) int { return cmp.Compare(g.batch, b) })
	return found && now >= k.graves[at].at+patience
}

// Wake is when something that waits will have waited for long enough, or is to be written; false: nothing is.
func (k *Checkpointer) NextDeadline(now choice.Seconds) (at choice.Seconds, any bool) {
	if k.off {
		return 0, false
	}
	at = now + 3600
	sooner := func(t choice.Seconds) { at, any = min(at, t), true }
	if len(k.changed) > 0 {
		sooner(k.flushed + flushEvery)
	}
	if !k.opened {
		sooner(k.began + patience)
	}
	for _, g := range k.graves {
		if t := g.at + patience; t > now && !k.lost {
			sooner(t)
			break
		}
	}
	return at, any
}
