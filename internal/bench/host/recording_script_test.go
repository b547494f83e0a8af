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
	instanceCount        = 2
	proxyCount           = 8
	backendCount         = 9
	zoneCount            = 2
	batchesBetweenPauses = 350 // a pause is so long that the module deletes the state of gone backends
)

// simulator stands in for the real simulator. It sends random events to a host and reacts to the host's commands. All random
// numbers come from one generator.
type simulator struct {
	t           *testing.T
	random      *rand.Rand
	recording   *recording
	host        *Host
	nowMs       float64
	levelKind   string
	slices      int // number of slices in the settings
	batches     int // number of batches sent so far
	listVersion int
	nextEvents  []string              // events of the next batch
	timers      []timer               // set by the instances and not yet fired
	readiness   [backendCount]string  // as on the wire: U for open, L for draining, D for gone
	startedMs   [backendCount]float64 // in milliseconds; 0: long ago
}

// timer is a timer that an instance has set. The names of instance and timer are as on the wire.
type timer struct {
	instance any
	token    any
	atMs     float64
}

// newSimulator returns a simulator with started instances. Its random numbers depend on the seed.
func newSimulator(t *testing.T, seed uint64, levelKind string, slices int) *simulator {
	s := &simulator{t: t, random: rand.New(rand.NewPCG(seed, 1)), recording: newRecording(t), host: New(), nowMs: 1000, levelKind: levelKind, slices: slices}
	for backend := range s.readiness {
		s.readiness[backend] = "U"
	}
	for instance := range instanceCount {
		s.startInstance(instanceName(instance))
	}
	return s
}

func instanceName(number int) string { return fmt.Sprintf("coordinator/%d", number) }

func zoneName(number int) string { return string(rune('a' + number%zoneCount)) }

// object is a JSON object.
type object = map[string]any

// addEvent adds an event to the next batch.
func (s *simulator) addEvent(name string, fields object) {
	line, err := json.Marshal(object{name: fields})
	if err != nil {
		s.t.Fatal(err)
	}
	s.nextEvents = append(s.nextEvents, string(line))
	s.recording.seen["event "+name]++
}

// startInstance starts an instance, sends it a cached endpoint list and has all proxies join it.
func (s *simulator) startInstance(instance string) {
	profiles := []object{
		{"Name": "read", "AimMs": 500, "Effect": "idempotent", "Worth": 2},
		{"Name": "submit", "AimMs": 800, "Effect": "deduplicated", "Worth": 1, "Group": "all", "RepeatWindowMs": 10000},
	}
	family := object{
		"LevelKind": s.levelKind, "MostWaiting": 9000, "LinesPerS": 9000, "ProxyCount": proxyCount * instanceCount, "PeriodMs": 1000,
		"PushDelayMs": 100, "WorstTransitMs": 300, "PartitionsN": s.slices, "Strikes": 5, "SelectsBy": "pair", "ClassOwnZone": []bool{false, true},
	}
	s.addEvent("Enlist", object{"CoordinatorId": instance, "Entropy": s.random.Uint64(), "Conf": object{
		"Profiles": profiles, "Zones": []string{"a", "b"}, "Az": "a",
		"FamilyInfo": family, "Discovery": "on_request", "RoundMs": 4, "Bounds": object{"Probes": true, "Peers": true}, "Penalties": object{"CrossZone": 0.1},
		"Obligations": object{"DrainGraceMs": 2000, "AskWithinMs": 10000, "ColdShare": 0.3, "WarmAfterMs": 10000, "FallMultiple": 2.5},
	}})
	s.sendEndpointUpdate(instance, "disk")
	for proxy := range proxyCount {
		s.joinProxy(instance, proxy)
	}
}

// sendEndpointUpdate sends an instance an update with an endpoint list, which it first defines under the next number; numbers
// are reused. An update of the kind error has no list.
func (s *simulator) sendEndpointUpdate(instance, kind string) {
	if kind == "error" {
		s.addEvent("Members", object{"CoordinatorId": instance, "Kind": kind})
		return
	}
	s.listVersion++
	listNumber := s.listVersion % maxLists
	hosts := []object{}
	for backend, readiness := range s.readiness {
		hosts = append(hosts, object{
			"Backend": backend + 1, "GenerationHw": "k", "Readiness": readiness, "FailureDomain": zoneName(backend),
			"Heft": 1 + backend%3, "UnitGroup": backend % 2, "UpSinceMs": s.startedMs[backend],
		})
	}
	s.addEvent("Catalog", object{"Table": listNumber, "Hosts": hosts})
	s.addEvent("Members", object{"CoordinatorId": instance, "Kind": kind, "Epoch": s.listVersion, "Table": listNumber})
}

func (s *simulator) joinProxy(instance string, proxy int) {
	s.addEvent("Subscribed", object{"CoordinatorId": instance, "Sidecar": proxy, "FailureDomain": zoneName(proxy), "Heft": 5 * s.random.Float64(), "Flag": s.random.IntN(2) == 0})
}

// step sends a batch, records its reply and reacts to the commands in it.
func (s *simulator) step() {
	for instance := range instanceCount {
		s.drawEvents(instanceName(instance))
	}
	s.fireTimers()
	line := fmt.Sprintf(`{"TMs":%v,"happened":[%s]}`, s.nowMs, strings.Join(s.nextEvents, ","))
	s.nextEvents = nil
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
	if s.batches%batchesBetweenPauses == 0 {
		s.nowMs += 1000 * (choice.BackendRetention + 10)
	}
}

// fireTimers sends the events of the timers that are due.
func (s *simulator) fireTimers() {
	waiting := s.timers
	s.timers = nil
	for _, timer := range waiting {
		if timer.atMs <= s.nowMs {
			s.addEvent("Due", object{"CoordinatorId": timer.instance, "Token": timer.token})
		} else {
			s.timers = append(s.timers, timer)
		}
	}
}

// inOverload reports whether the fleet is at present overloaded, so that half of the attempts fail.
func (s *simulator) inOverload() bool { return s.batches%600 >= 300 && s.batches%600 < 500 }

var probeResults = []string{"success", "success", "failure", "overloaded", "timed_out", "unreachable", "broken", "withdrawn", "void"}

// probeResult sends a random result of a probe.
func (s *simulator) probeResult(instance string, backend any) {
	s.addEvent("ProbeResult", object{
		"CoordinatorId": instance, "Backend": backend, "StateCode": probeResults[s.random.IntN(len(probeResults))],
		"DelaySeenMs": s.random.IntN(400), "Gauge": []float64{s.random.Float64(), 2},
	})
}

// apply reacts to a command with the events that it causes.
func (s *simulator) apply(name string, fields object) {
	instance := fields["CoordinatorId"].(string)
	switch name {
	case "After":
		s.timers = append(s.timers, timer{instance, fields["Token"], fields["AlarmTimeMs"].(float64)})
	case "Seal":
		for proxy := range proxyCount {
			if s.random.IntN(5) > 0 {
				s.addEvent("Applied", object{"CoordinatorId": instance, "Sidecar": proxy, "Epoch": fields["Epoch"], "DelaySeenMs": s.random.IntN(200)})
			}
		}
	case "Follow", "ListAll":
		s.sendEndpointUpdate(instance, []string{"snapshot", "diff", "error"}[s.random.IntN(3)])
	case "Sample":
		s.probeResult(instance, fields["Backend"])
	case "GateClass":
		if fields["Allowance"].(float64) < 1 {
			s.recording.seen["order GateClass below 1"]++
		}
	case "SetWeight", "Truncate", "HandTable", "Suspend", "Publish", "Print":
	default:
		s.t.Fatalf("unknown order %q", name)
	}
}

// drawEvents adds events for an instance that are not caused by a command: reports in every tenth batch, and a random event or
// none.
func (s *simulator) drawEvents(instance string) {
	if s.batches%10 == 0 {
		s.reportSecond(instance)
	}
	proxy, backend := s.random.IntN(proxyCount), s.random.IntN(backendCount)
	switch s.random.IntN(40) {
	case 0:
		s.addEvent("Disconnected", object{"CoordinatorId": instance, "Sidecar": proxy})
	case 1, 2:
		s.joinProxy(instance, proxy)
	case 3:
		s.readiness[backend] = []string{"U", "L", "D"}[s.random.IntN(3)]
		s.sendEndpointUpdate(instance, "diff")
	case 4, 5:
		s.readiness[backend], s.startedMs[backend] = "U", s.nowMs
		s.sendEndpointUpdate(instance, []string{"diff", "snapshot"}[s.random.IntN(2)])
	case 6:
		s.addEvent("Message", object{"CoordinatorId": instance, "From": s.random.IntN(3), "Octets": fmt.Sprintf("%08x", s.random.Uint32())})
	case 7:
		s.addEvent("Charge", object{"CoordinatorId": instance, "RouteTable": s.random.IntN(8), "Flag": s.random.IntN(3) > 0})
	case 8:
		s.addEvent("StoredLine", object{"CoordinatorId": instance, "RouteTable": s.random.IntN(8), "Backend": backend + 1, "Heft": s.random.Float64()})
	case 9:
		s.addEvent("Due", object{"CoordinatorId": instance, "Token": s.random.IntN(5)})
	case 10:
		s.addEvent("Applied", object{"CoordinatorId": instance, "Sidecar": proxy, "Epoch": s.random.IntN(1 << 16)})
	case 11:
		s.maybeRestart(instance)
	case 12:
		s.probeResult(instance, backend+1)
	}
}

// maybeRestart stops an instance and starts it again, in one of four calls.
func (s *simulator) maybeRestart(instance string) {
	if s.random.IntN(4) > 0 {
		return
	}
	s.addEvent("Detach", object{"CoordinatorId": instance})
	s.startInstance(instance)
}

// reportSecond sends the reports of a second. At one backend all attempts fail, and there is no report on another.
func (s *simulator) reportSecond(instance string) {
	failureShare, maxRequests := 0.02, 10
	if s.inOverload() {
		failureShare, maxRequests = 0.5, 60
	}
	for backend := range backendCount - 1 {
		attempts := s.random.IntN(maxRequests + 1)
		failures := int(float64(attempts) * failureShare)
		if backend == 1 {
			failures = attempts
		}
		s.addEvent("TrafficReport", object{
			"CoordinatorId": instance, "Backend": backend + 1, "FailureDomain": zoneName(s.random.IntN(zoneCount)), "Count": attempts, "Bad": failures,
			"DelaySeenMs": 50 + 800*failureShare, "OverMs": 1000, "Gauge": []float64{s.random.Float64()},
		})
	}
	for proxy := range proxyCount {
		method := []string{"read", "submit"}[s.random.IntN(2)]
		s.addEvent("Traffic", object{"CoordinatorId": instance, "Sidecar": proxy, "Category": method, "Count": s.random.IntN(maxRequests), "Bad": 0, "OverMs": 1000})
	}
	s.addEvent("RangeLoad", object{"CoordinatorId": instance, "RouteTable": s.random.IntN(8), "Category": "read", "Count": s.random.IntN(maxRequests), "Bad": 0, "OverMs": 1000})
}
