package host

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gingerfork/choice"
)

const (
	scriptInstances = 2
	scriptProxies   = 8
	scriptBackends  = 9
	scriptZones     = 2
	pauseEvery      = 350 // batches; then so much time passes that the module forgets backends that are gone
)

// script plays the simulator against one host and reacts to its commands. Everything is drawn from one generator.
type script struct {
	t         *testing.T
	random    *rand.Rand
	recording *recording
	host      *Host
	nowMs     float64
	levelKind string
	slices    int
	batches   int
	epoch     int
	next      []string // events of the next batch
	timers    []timer  // that the instances have set
	readiness [scriptBackends]string
	startedMs [scriptBackends]float64 // in milliseconds; 0: long ago
}

type timer struct {
	instance any
	token    any
	atMs     float64
}

func newScript(t *testing.T, seed uint64, levelKind string, slices int) *script {
	s := &script{t: t, random: rand.New(rand.NewPCG(seed, 1)), recording: newRecording(t), host: New(), nowMs: 1000, levelKind: levelKind, slices: slices}
	for backend := range s.readiness {
		s.readiness[backend] = "U"
	}
	for instance := range scriptInstances {
		s.enlist(instanceName(instance))
	}
	return s
}

func instanceName(number int) string { return fmt.Sprintf("coordinator/%d", number) }

func zoneName(number int) string { return string(rune('a' + number%scriptZones)) }

type object = map[string]any

// event adds an event to the next batch.
func (s *script) event(name string, fields object) {
	line, err := json.Marshal(object{name: fields})
	if err != nil {
		s.t.Fatal(err)
	}
	s.next = append(s.next, string(line))
	s.recording.seen["event "+name]++
}

// enlist starts an instance with an empty state, a cached endpoint list and all proxies.
func (s *script) enlist(instance string) {
	profiles := []object{
		{"Name": "read", "AimMs": 500, "Effect": "idempotent", "Worth": 2},
		{"Name": "submit", "AimMs": 800, "Effect": "deduplicated", "Worth": 1, "Group": "all", "RepeatWindowMs": 10000},
	}
	family := object{
		"LevelKind": s.levelKind, "MostWaiting": 9000, "LinesPerS": 9000, "ProxyCount": scriptProxies * scriptInstances, "PeriodMs": 1000,
		"PushDelayMs": 100, "WorstTransitMs": 300, "PartitionsN": s.slices, "Strikes": 5, "SelectsBy": "pair", "ClassOwnZone": []bool{false, true},
	}
	s.event("Enlist", object{"CoordinatorId": instance, "Entropy": s.random.Uint64(), "Conf": object{
		"Profiles": profiles, "Zones": []string{"a", "b"}, "Az": "a",
		"FamilyInfo": family, "Discovery": "on_request", "RoundMs": 4, "Bounds": object{"Probes": true, "Peers": true}, "Penalties": object{"CrossZone": 0.1},
		"Obligations": object{"DrainGraceMs": 2000, "AskWithinMs": 10000, "ColdShare": 0.3, "WarmAfterMs": 10000, "FallMultiple": 2.5},
	}})
	s.members(instance, "disk")
	for proxy := range scriptProxies {
		s.subscribe(instance, proxy)
	}
}

// members sends an instance an endpoint update, with the list under one of the numbers that are reused.
func (s *script) members(instance, kind string) {
	if kind == "error" {
		s.event("Members", object{"CoordinatorId": instance, "Kind": kind})
		return
	}
	s.epoch++
	number := s.epoch % maxLists
	hosts := []object{}
	for backend, readiness := range s.readiness {
		hosts = append(hosts, object{
			"Backend": backend + 1, "GenerationHw": "k", "Readiness": readiness, "FailureDomain": zoneName(backend),
			"Heft": 1 + backend%3, "UnitGroup": backend % 2, "UpSinceMs": s.startedMs[backend],
		})
	}
	s.event("Catalog", object{"Table": number, "Hosts": hosts})
	s.event("Members", object{"CoordinatorId": instance, "Kind": kind, "Epoch": s.epoch, "Table": number})
}

func (s *script) subscribe(instance string, proxy int) {
	s.event("Subscribed", object{"CoordinatorId": instance, "Sidecar": proxy, "FailureDomain": zoneName(proxy), "Heft": 5 * s.random.Float64(), "Flag": s.random.IntN(2) == 0})
}

// step sends a batch, records its reply and has the simulator's side act on it.
func (s *script) step() {
	for instance := range scriptInstances {
		s.drawEvents(instanceName(instance))
	}
	s.fireTimers()
	line := fmt.Sprintf(`{"TMs":%v,"happened":[%s]}`, s.nowMs, strings.Join(s.next, ","))
	s.next = nil
	reply, err := s.host.Answer([]byte(line + "\n"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.recording.Write(reply)
	for _, order := range ordersOf(s.t, reply) {
		for name, fields := range order {
			s.recording.seen["order "+name]++
			s.apply(name, fields)
		}
	}
	s.batches++
	s.nowMs += 20 + float64(s.random.IntN(100))
	if s.batches%pauseEvery == 0 {
		s.nowMs += 1000 * (choice.BackendRetention + 10)
	}
}

// fireTimers sends the timers that are due.
func (s *script) fireTimers() {
	waiting := s.timers
	s.timers = nil
	for _, timer := range waiting {
		if timer.atMs <= s.nowMs {
			s.event("Due", object{"CoordinatorId": timer.instance, "Token": timer.token})
		} else {
			s.timers = append(s.timers, timer)
		}
	}
}

// overload tells whether most attempts fail at present.
func (s *script) overload() bool { return s.batches%600 >= 300 && s.batches%600 < 500 }

var probeResults = []string{"success", "success", "failure", "overloaded", "timed_out", "unreachable", "broken", "withdrawn", "void"}

func (s *script) probeResult(instance string, backend any) {
	s.event("ProbeResult", object{
		"CoordinatorId": instance, "Backend": backend, "StateCode": probeResults[s.random.IntN(len(probeResults))],
		"DelaySeenMs": s.random.IntN(400), "Gauge": []float64{s.random.Float64(), 2},
	})
}

// apply carries out a command, as far as it matters to the module.
func (s *script) apply(name string, fields object) {
	instance := fields["CoordinatorId"].(string)
	switch name {
	case "After":
		s.timers = append(s.timers, timer{instance, fields["Token"], fields["AlarmTimeMs"].(float64)})
	case "Seal":
		for proxy := range scriptProxies {
			if s.random.IntN(5) > 0 {
				s.event("Applied", object{"CoordinatorId": instance, "Sidecar": proxy, "Epoch": fields["Epoch"], "DelaySeenMs": s.random.IntN(200)})
			}
		}
	case "Follow", "ListAll":
		s.members(instance, []string{"snapshot", "diff", "error"}[s.random.IntN(3)])
	case "Sample":
		s.probeResult(instance, fields["Backend"])
	case "GateClass":
		if fields["Allowance"].(float64) < 1 {
			s.recording.seen["order GateClass below 1"]++
		}
	case "SetWeight", "Truncate", "HandTable", "Suspend", "Publish", "Print":
	default:
		s.t.Fatalf("an unknown order %s", name)
	}
}

// drawEvents draws the events of an instance that answer no command.
func (s *script) drawEvents(instance string) {
	if s.batches%10 == 0 {
		s.report(instance)
	}
	proxy, backend := s.random.IntN(scriptProxies), s.random.IntN(scriptBackends)
	switch s.random.IntN(40) {
	case 0:
		s.event("Disconnected", object{"CoordinatorId": instance, "Sidecar": proxy})
	case 1, 2:
		s.subscribe(instance, proxy)
	case 3:
		s.readiness[backend] = []string{"U", "L", "D"}[s.random.IntN(3)]
		s.members(instance, "diff")
	case 4, 5:
		s.readiness[backend], s.startedMs[backend] = "U", s.nowMs
		s.members(instance, []string{"diff", "snapshot"}[s.random.IntN(2)])
	case 6:
		s.event("Message", object{"CoordinatorId": instance, "From": s.random.IntN(3), "Octets": fmt.Sprintf("%08x", s.random.Uint32())})
	case 7:
		s.event("Charge", object{"CoordinatorId": instance, "RouteTable": s.random.IntN(8), "Flag": s.random.IntN(3) > 0})
	case 8:
		s.event("StoredLine", object{"CoordinatorId": instance, "RouteTable": s.random.IntN(8), "Backend": backend + 1, "Heft": s.random.Float64()})
	case 9:
		s.event("Due", object{"CoordinatorId": instance, "Token": s.random.IntN(5)})
	case 10:
		s.event("Applied", object{"CoordinatorId": instance, "Sidecar": proxy, "Epoch": s.random.IntN(1 << 16)})
	case 11:
		s.restart(instance)
	case 12:
		s.probeResult(instance, backend+1)
	}
}

// restart stops an instance, once in a while, and starts it again.
func (s *script) restart(instance string) {
	if s.random.IntN(4) > 0 {
		return
	}
	s.event("Detach", object{"CoordinatorId": instance})
	s.enlist(instance)
}

// report sends the reports of a second. At one backend all attempts fail, another has no report.
func (s *script) report(instance string) {
	failing, most := 0.02, 10
	if s.overload() {
		failing, most = 0.5, 60
	}
	for backend := range scriptBackends - 1 {
		tries := s.random.IntN(most + 1)
		bad := int(float64(tries) * failing)
		if backend == 1 {
			bad = tries
		}
		s.event("TrafficReport", object{
			"CoordinatorId": instance, "Backend": backend + 1, "FailureDomain": zoneName(s.random.IntN(scriptZones)), "Count": tries, "Bad": bad,
			"DelaySeenMs": 50 + 800*failing, "OverMs": 1000, "Gauge": []float64{s.random.Float64()},
		})
	}
	for proxy := range scriptProxies {
		class := []string{"read", "submit"}[s.random.IntN(2)]
		s.event("Traffic", object{"CoordinatorId": instance, "Sidecar": proxy, "Category": class, "Count": s.random.IntN(most), "Bad": 0, "OverMs": 1000})
	}
	s.event("RangeLoad", object{"CoordinatorId": instance, "RouteTable": s.random.IntN(8), "Category": "read", "Count": s.random.IntN(most), "Bad": 0, "OverMs": 1000})
}
