package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// rulesSlack is what the platform adds to the time limits of the rules, and firstAnswerWait how long they wait after a
// coordinator's first answer.
const (
	rulesSlack      = 300 * time.Millisecond
	firstAnswerWait = time.Second
)

// world is a small deployment: a platform, servers, proxies and real coordinators.
type world struct {
	record    *record
	root      string // of the repository
	folder    string // for the coordinators' files
	runLine   string // the deploy file's run
	trouble   bool   // the disruption is played
	rule      string // the rule of the case
	discovery *discovery

	zones        []string
	classes      []string
	ownZone      []bool
	aims         []float64 // ms
	deadlines    []float64 // ms
	effects      []string
	worths       []float64
	linesPerS    float64
	headLines    int
	mostWaiting  int
	pushDelay    time.Duration
	worstPush    time.Duration
	period       time.Duration // of reports
	reportDelay  time.Duration
	messagesMax  int
	messageSpan  time.Duration
	unservedMax  time.Duration
	drainGrace   time.Duration
	warmAfter    time.Duration
	coldShare    float64
	fallFactor   float64
	fallTime     time.Duration
	capacity     float64 // requests a second that a warm server of share 1 can do
	onlyDraining bool    // OnlyDrainingBinds
	redialMin    time.Duration
	redialMax    time.Duration
	latency      time.Duration            // usual time of an answer
	spoil        func(text string) string // if set, what a collector sends in place of a report

	coordinators []*coordinator
	servers      map[string]*server
	serverOrder  []string
	proxies      []*proxy

	mu   sync.Mutex
	seen map[reportKey]*counts
	last map[string]int // highest figures, by name
}

// reportKey is what an upstream report is about.
type reportKey struct {
	at           *coordinator
	zone, server string
}

// newWorld returns a deployment with figures like those of distance-ed-metro, without servers and proxies.
func newWorld(rule string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
	if found == nil {
		return nil, errNoRun
	}
	w := &world{
		root: root, runLine: string(found[1]), rule: rule, trouble: os.Getenv("TROUBLE") != "0",
		zones: []string{"malaga", "canning-vale", "jandakot"}, classes: []string{"open-pack", "lodge-assignment"},
		ownZone: []bool{false, false}, aims: []float64{2000, 1500}, deadlines: []float64{6000, 4000},
		effects: []string{"idempotent", "at_most_once"}, worths: []float64{1, 3},
		linesPerS: 9600, headLines: 10, mostWaiting: 14400, pushDelay: 200 * time.Millisecond, worstPush: 500 * time.Millisecond,
		period: time.Second, reportDelay: 700 * time.Millisecond, messagesMax: 20, messageSpan: 10 * time.Second,
		unservedMax: 3700 * time.Millisecond, drainGrace: 2 * time.Second, warmAfter: 17 * time.Second, coldShare: 0.18,
		fallFactor: 3, fallTime: 2 * time.Second, capacity: 8.5, redialMin: 540 * time.Millisecond, redialMax: 2300 * time.Millisecond,
		latency: 330 * time.Millisecond, servers: map[string]*server{}, seen: map[reportKey]*counts{}, last: map[string]int{},
	}
	w.addCoordinators(w.zones[0])
	return w, nil
}

// addFleet adds servers and proxies to each zone, and shares out requests that take a part of the servers' capacity.
func (w *world) addFleet(servers, proxies int, load float64) {
	for _, zone := range w.zones {
		w.addServers(zone, servers)
		w.addProxies(zone, proxies, load*w.capacity*float64(servers)/float64(proxies))
	}
}

// settings returns the settings of a coordinator in the simulator's form.
func (w *world) settings(c *coordinator) map[string]any {
	profiles, mutating, own := []any{}, []any{}, []any{}
	for class, name := range w.classes {
		profiles = append(profiles, map[string]any{
			"Name": name, "AimMs": w.aims[class], "DeadlineMs": w.deadlines[class], "Effect": w.effects[class], "Group": "all",
			"LateWorth": 0.1, "RepeatWindowMs": 5000.0, "Worth": w.worths[class],
		})
		mutating, own = append(mutating, w.effects[class] != "idempotent"), append(own, w.ownZone[class])
	}
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return map[string]any{
		"Az": c.zone, "Zones": w.zones, "Discovery": "on_request", "Family": "control", "GroupSize": len(w.coordinators),
		"Kinds": []string{"std-2c"}, "RoundMs": 4.0, "SelfIndex": c.index, "WeightKind": "rough", "WorthBy": "request",
		"Bounds": map[string]any{
			"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "CpuUsPerS": 400000, "Peers": false, "Probes": true, "StreamsPerConn": 100,
		},
		"FamilyInfo": map[string]any{
			"ClassOwnZone": own, "Mutating": mutating, "ConnsLeast": 229.0, "DefaultSize": 8, "HandoverFee": 0.01, "IngestRate": 500.0,
			"KeepsWritingMs": 2500.0, "LevelKind": "none", "LinesPerS": w.linesPerS, "LingersMs": 2020.0, "LocalFirst": false,
			"MostWaiting": w.mostWaiting, "OrderPrice": 0.08, "PartitionsN": 0, "PerMessage": w.headLines, "PeriodMs": ms(w.period),
			"ProxyCount": len(w.proxies), "PushDelayMs": ms(w.pushDelay), "ReloadSpanMs": ms(w.messageSpan), "ReloadsMax": w.messagesMax,
			"SelectsBy": "lottery", "SoleOwner": false, "Strikes": 0, "TryAims": 0.8, "UnservedMaxMs": ms(w.unservedMax), "UsualHow": 0,
			"WaitsForTableMs": 300.0, "WarmKeys": true, "WorstTransitMs": ms(w.worstPush),
		},
		"Feedback": map[string]any{"Columns": []any{}, "Source": "none"},
		"Obligations": map[string]any{
			"AskWithinMs": 10000.0, "ColdShare": w.coldShare, "DrainGraceMs": ms(w.drainGrace), "FallMultiple": w.fallFactor,
			"OnlyDrainingBinds": w.onlyDraining, "OverloadForMs": ms(w.fallTime), "WarmAfterMs": ms(w.warmAfter),
		},
		"Penalties": map[string]any{
			"Connection": 0.02, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.02, "LateFail": 0.05, "Moves": 0.0, "Peer": 0.0,
			"Probe": 0.02, "Waste": 0.03,
		},
		"Profiles":  profiles,
		"ResultMix": map[string]any{"Whole": 0.7, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.2},
	}
}

// addCoordinators adds coordinators, one in each of the given zones.
func (w *world) addCoordinators(zones ...string) {
	for _, zone := range zones {
		i := len(w.coordinators)
		w.coordinators = append(w.coordinators, &coordinator{
			world: w, name: fmt.Sprintf("n%d", i+1), index: i, zone: zone, told: map[string]knowledge{},
		})
	}
}

// addServers adds warm servers to a zone.
func (w *world) addServers(zone string, count int) {
	for range count {
		w.addServer(zone)
	}
}

// addServer adds a server that was not started yet.
func (w *world) addServer(zone string) *server {
	s := &server{world: w, name: fmt.Sprintf("s-%08x", rand.Uint32()), zone: zone, share: 1}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[s.name] = s
	w.serverOrder = append(w.serverOrder, s.name)
	return s
}

// server returns the server of a name, or nil.
func (w *world) server(name string) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[name]
}

// zoneServers returns the servers of a zone.
func (w *world) zoneServers(zone string) (servers []*server) {
	for _, name := range w.serverOrder {
		if w.servers[name].zone == zone {
			servers = append(servers, w.servers[name])
		}
	}
	return servers
}

// addProxies adds proxies to a zone, each with the given requests a second, spread over the classes.
func (w *world) addProxies(zone string, count int, rate float64) {
	for range count {
		rates := []float64{}
		for range w.classes {
			rates = append(rates, rate/float64(len(w.classes)))
		}
		w.proxies = append(w.proxies, newProxy(w, len(w.proxies), zone, rates))
	}
}

// zoneProxies returns the proxies of a zone.
func (w *world) zoneProxies(zone string) (proxies []*proxy) {
	for _, p := range w.proxies {
		if p.zone == zone {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// standingTable draws a proxy's standing table from the list, within its zone if three are there.
func (w *world) standingTable(zone string) map[string]float64 {
	table := map[string]float64{}
	if w.discovery == nil {
		return table
	}
	var near, all []host
	for _, entry := range w.discovery.whole().Hosts {
		if entry.Health != "active" {
			continue
		}
		all = append(all, entry)
		if entry.Site == zone {
			near = append(near, entry)
		}
	}
	if len(near) >= 3 {
		all = near
	}
	for i, k := range rand.Perm(len(all)) {
		if i < 8 {
			table[all[k].Host] = all[k].Share
		}
	}
	return table
}

// play runs a case: it starts everything, plays the events and returns the exit status.
func (w *world) play(recordPath string, events func(ctx context.Context)) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.record = r
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer w.endAll()
	go w.endEarly()
	if err := w.begin(ctx); err != nil {
		r.cannotRun(err)
	} else {
		events(ctx)
	}
	w.endAll()
	w.mu.Lock()
	for name, figure := range w.last {
		r.say("highest %s: %d", name, figure)
	}
	w.mu.Unlock()
	return r.end()
}

// endEarly ends all processes and the case itself if the case is stopped or takes too long.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(115 * time.Second):
	}
	w.record.cannotRun(errEndedEarly)
	w.endAll()
	os.Exit(w.record.end())
}

var (
	errEndedEarly = errors.New("the case was stopped, or took too long")
	errNoRun      = errors.New("the deploy file has no run")
)

func (w *world) begin(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return err
	}
	w.folder = folder
	w.discovery = newDiscovery(w.record)
	for _, name := range w.serverOrder {
		if err := w.servers[name].start(time.Time{}); err != nil {
			return err
		}
		w.discovery.set(w.servers[name].entry("active"))
	}
	for _, c := range w.coordinators {
		if err := c.prepare(ctx); err != nil {
			return err
		}
	}
	for _, c := range w.coordinators {
		if err := c.start(w.discovery.whole()); err != nil {
			return err
		}
		for _, zone := range w.zones {
			go w.collect(ctx, c, zone)
		}
	}
	for _, p := range w.proxies {
		if len(p.preferred) == 0 {
			p.preferred = w.coordinators
		}
		p.start()
	}
	go w.check(ctx)
	return nil
}

// prepare gives the coordinator its addresses.
func (c *coordinator) prepare(ctx context.Context) error {
	c.road = &relay{}
	target, err := c.world.discovery.listen(ctx, c.road.losing.Load, c.onTold)
	if err != nil {
		return err
	}
	address, err := c.road.listen(ctx, target)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return err
	}
	c.discovery, c.listen = address, listener.Addr().String()
	return listener.Close()
}

// freeAddress returns a loopback address of its own, without a port. Nobody else takes a port of it while its party is down.
func freeAddress() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
}

// endAll ends all that the case started.
func (w *world) endAll() {
	for _, p := range w.proxies {
		p.mu.Lock()
		if p.running {
			p.running = false
			close(p.stop)
		}
		if p.conn != nil {
			_ = p.conn.Close()
		}
		p.mu.Unlock()
	}
	for _, c := range w.coordinators {
		c.mu.Lock()
		running := c.process != nil
		c.mu.Unlock()
		if running {
			c.stop(syscall.SIGKILL)
			c.mu.Lock()
			c.process = nil
			c.mu.Unlock()
		}
	}
	if w.folder != "" {
		_ = os.RemoveAll(w.folder)
	}
}

// judge notes a broken rule; rules other than that of the case only go to the record.
func (w *world) judge(rule, format string, args ...any) {
	if rule == w.rule {
		w.record.broke("("+rule+") "+format, args...)
		return
	}
	w.record.say("other rule (%s): %s", rule, fmt.Sprintf(format, args...))
}

func (w *world) highest(name string, figure int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last[name] = max(w.last[name], figure)
}

// checkWaiting checks the lines that wait in a channel.
func (w *world) checkWaiting(c *coordinator, lines int) {
	w.highest("lines waiting at "+c.name, lines)
	if lines > w.mostWaiting {
		w.judge("backlog", "%d lines wait in the channel of %s, at most %d", lines, c.name, w.mostWaiting)
	}
}

// checkMessages checks the messages to a proxy since its joining. Its lock is held.
func (w *world) checkMessages(p *proxy) {
	if w.messagesMax == 0 {
		return
	}
	recent, now := 0, time.Now()
	for _, sent := range p.sentTo {
		if now.Sub(sent) < w.messageSpan {
			recent++
		}
	}
	w.highest("messages to a proxy", recent)
	if recent > w.messagesMax {
		w.judge("backlog", "%s wrote %d messages to proxy %d within %.0f s, at most %d", p.at.name, recent, p.id, w.messageSpan.Seconds(), w.messagesMax)
	}
}

// checkDrain checks that a joined proxy doesn't send to a server that its coordinator has long known to be draining or gone. The
// proxy's lock is held.
func (w *world) checkDrain(p *proxy, target *server) {
	if !p.joined || p.at == nil {
		return
	}
	known := p.at.knows(target.name)
	if known.closed.IsZero() {
		return
	}
	p.at.mu.Lock()
	first := p.at.firstAnswer
	p.at.mu.Unlock()
	from := known.closed
	for _, other := range []time.Time{p.joinedAt, first.Add(firstAnswerWait)} {
		if other.After(from) {
			from = other
		}
	}
	if late := time.Since(from); late > w.drainGrace+rulesSlack {
		w.judge("drain", "proxy %d sends to %s %.2f s after %s was told that it is %s", p.id, target.name, late.Seconds(), p.at.name, known.entry.Health)
	}
}

// warmListed reports whether the list of a proxy's coordinator has a warm open server for a class.
func (w *world) warmListed(p *proxy, class int) bool {
	c := p.at
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.firstAnswer.IsZero() || now.Before(c.firstAnswer.Add(firstAnswerWait)) {
		return false
	}
	for _, known := range c.told {
		entry := known.entry
		warm := entry.BornMs == 0 || now.Sub(time.UnixMilli(int64(entry.BornMs))) >= w.warmAfter
		if entry.Health == "active" && warm && (!w.ownZone[class] || entry.Site == p.zone) {
			return true
		}
	}
	return false
}

// knowing reports whether a proxy's requests to a server count as knowing of its start: the last message to the proxy was written
// after its coordinator was told of the start, or the coordinator has known for the grace. The proxy's lock is held.
func (w *world) knowing(p *proxy, target *server) bool {
	if !p.joined || p.at == nil {
		return false
	}
	known := p.at.knows(target.name)
	if known.entry.Health != "active" || known.entry.BornMs == 0 || known.entry.BornMs != float64(target.born.UnixMilli()) {
		return false
	}
	if time.Since(known.since) > w.drainGrace+rulesSlack {
		return true
	}
	return len(p.sentTo) > 0 && p.sentTo[len(p.sentTo)-1].After(known.since)
}

// checkCold checks that a cold server isn't brought too much. The proxy's lock is held.
func (w *world) checkCold(p *proxy, target *server) {
	if tooMuch, load, limit := target.arrive(w.knowing(p, target)); tooMuch {
		w.judge("failback", "%s fell over %.1f s after its start: %.0f requests in %.1f s, at most %.1f", target.name,
			time.Since(target.born).Seconds(), load, w.fallTime.Seconds(), limit)
	}
}

// count counts an attempt for the reports.
func (w *world) count(p *proxy, class int, target *server, ok bool) {
	if target == nil {
		return
	}
	if !p.joined {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := reportKey{p.at, p.zone, target.name}
	sum := w.seen[key]
	if sum == nil {
		sum = &counts{}
		w.seen[key] = sum
	}
	sum.tries++
	if !ok {
		sum.failed++
	}
}

// check checks all that time alone can break.
func (w *world) check(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range w.proxies {
			p.checkBare()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// collect is the collector of a zone at one coordinator. It also makes the zone's proxies report.
func (w *world) collect(ctx context.Context, c *coordinator, zone string) {
	var conn net.Conn
	for ctx.Err() == nil {
		time.Sleep(w.period)
		w.mu.Lock()
		reports := map[string]counts{}
		for key, sum := range w.seen {
			if key.at == c && key.zone == zone {
				reports[key.server] = *sum
				delete(w.seen, key)
			}
		}
		w.mu.Unlock()
		time.Sleep(w.reportDelay)
		if !c.isReady() {
			if conn != nil {
				_ = conn.Close()
				conn = nil
			}
			continue
		}
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", c.listen, time.Second)
			if err != nil {
				continue
			}
			conn = dialed
			_, _ = fmt.Fprintf(conn, "telemetry zone=%s\r\n", zone)
		}
		for name, sum := range reports {
			mean := 0.0
			if sum.tries > sum.failed {
				mean = w.latency.Seconds() * 1000 * (0.9 + 0.2*rand.Float64())
			}
			text := fmt.Sprintf("upstream_stats zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=%.1f",
				zone, name, sum.tries, sum.failed, mean, w.period.Seconds()*1000)
			if w.spoil != nil {
				text = w.spoil(text)
			}
			w.record.say("collector of %s -> %s: %s", zone, c.name, text)
			if _, err := fmt.Fprintf(conn, "%s\r\n", text); err != nil {
				_ = conn.Close()
				conn = nil
				break
			}
		}
		for _, p := range w.proxies {
			p.mu.Lock()
			mine := p.zone == zone && p.joined && p.at == c
			p.mu.Unlock()
			if mine {
				p.report()
			}
		}
	}
}
