package coordinator

import (
	"container/heap"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// intake gathers what proxies met and hands it to the module: sums over a zone and a period, oldest first, no more lines
// a second than the settings let in. What can't be handed over yet is added to, not queued again, so that its room is
// bounded by pairs of server and zone and of proxy and method, however late the module gets to it.
type intake struct {
	rate   float64 // lines a second; 0: all
	period choice.Seconds
	credit float64
	last   choice.Seconds
	queue  ripening
	count  uint64
	tries  map[tryPair]*sum
	usage  map[usagePair]*sum
}

// whole is the credit that a line takes: one, but for what rounding loses of it. Else a step at the very moment that was
// asked for could find a hair too little, and ask for that moment again.
const whole = 1 - 1e-6

type (
	tryPair struct {
		ep   choice.BackendID
		zone choice.Zone
	}
	usagePair struct {
		proxy  choice.ProxyID
		method choice.MethodID
	}
	// sum is a line that waits. Its span is from the oldest moment that it covers to the newest.
	sum struct {
		ripe     choice.Seconds // when it has gathered long enough
		n0       uint64         // keeps the order of those ripe at the same time
		at       int            // in the queue
		from, to choice.Seconds
		pair     tryPair
		use      usagePair
		usage    bool
		n, bad   int
		delay    choice.Seconds // mean of the good ones
	}
)

func newIntake(boot choice.Config) *intake {
	return &intake{rate: boot.Settings.Intake.Or(0), period: boot.Settings.ReportPeriod.Or(1), last: boot.Now,
		tries: map[tryPair]*sum{}, usage: map[usagePair]*sum{}}
}

func (k *intake) heard(now choice.Seconds, s *stream, m proto.Reports, known func(choice.BackendID) bool, methods int) {
	from := now - m.Span
	for _, t := range m.Attempts {
		pair := tryPair{choice.BackendID(t.Backend), s.zone}
		if t.Attempts == 0 || !known(pair.ep) {
			continue
		}
		x := k.tries[pair]
		if x == nil {
			// The zone's other proxies report within the period; one line tells of them all.
			x = &sum{ripe: now + k.period/2, from: from, pair: pair}
			k.tries[pair] = x
			k.add(x)
		}
		good, more := float64(x.n-x.bad), float64(t.Attempts-t.Failures)
		if more > 0 {
			x.delay = (x.delay*good + t.MeanLatency*more) / (good + more)
		}
		x.n, x.bad = x.n+int(t.Attempts), x.bad+int(t.Failures)
		x.from, x.to = min(x.from, from), now
	}
	for _, u := range m.Usage {
		if int(u.Method) >= methods || u.RPCs == 0 {
			continue
		}
		pair := usagePair{s.proxy, choice.MethodID(u.Method)}
		x := k.usage[pair]
		if x == nil {
			x = &sum{ripe: now, from: from, use: pair, usage: true}
			k.usage[pair] = x
			k.add(x)
		}
		x.n, x.bad = x.n+int(u.RPCs), x.bad+int(u.Failures)
		x.from, x.to = min(x.from, from), now
	}
}

// due gives the lines that may be handed over now.
func (k *intake) due(now choice.Seconds) (events []choice.Event) {
	if k.rate > 0 {
		// Lines not used up are not saved for a rush: at most a twentieth of a second's.
		k.credit = min(k.credit+(now-k.last)*k.rate, max(1, k.rate/20))
	}
	k.last = now
	for len(k.queue) > 0 && k.queue[0].ripe <= now && (k.rate <= 0 || k.credit >= whole) {
		x := heap.Pop(&k.queue).(*sum)
		k.credit--
		if x.usage {
			delete(k.usage, x.use)
			events = append(events, choice.UsageReport{Proxy: x.use.proxy, Method: x.use.method, RPCs: x.n,
				Failures: min(x.bad, x.n), Span: x.to - x.from})
		} else {
			delete(k.tries, x.pair)
			events = append(events, choice.AttemptReport{Backend: x.pair.ep, Zone: x.pair.zone, Attempts: x.n, Failures: x.bad,
				MeanLatency: x.delay, Span: x.to - x.from})
		}
	}
	return events
}

func (k *intake) add(x *sum) {
	k.count++
	x.n0 = k.count
	heap.Push(&k.queue, x)
}

func (k *intake) wake() (at choice.Seconds, any bool) {
	if len(k.queue) == 0 {
		return 0, false
	}
	at = k.queue[0].ripe
	if k.rate > 0 && k.credit < whole {
		at = max(at, k.last+(1-k.credit)/k.rate)
	}
	return at, true
}

// forget drops what waits of a proxy whose number may be given to another.
func (k *intake) forget(p choice.ProxyID) {
	var gone []*sum
	for _, x := range k.queue {
		if x.usage && x.use.proxy == p {
			gone = append(gone, x)
		}
	}
	for _, x := range gone {
		delete(k.usage, x.use)
		heap.Remove(&k.queue, x.at)
	}
}

// ripening is a heap: what is ripe first is handed over first. In a plain row what ripens at once, as usage does, would
// wait behind what still gathers.
type ripening []*sum

func (r ripening) Len() int { return len(r) }
func (r ripening) Less(i, j int) bool {
	return r[i].ripe < r[j].ripe || r[i].ripe == r[j].ripe && r[i].n0 < r[j].n0
}
func (r ripening) Swap(i, j int) { r[i], r[j] = r[j], r[i]; r[i].at, r[j].at = i, j }
func (r *ripening) Push(x any)   { s := x.(*sum); s.at = len(*r); *r = append(*r, s) }
func (r *ripening) Pop() any {
	old := *r
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*r = old[:len(old)-1]
	return x
}
