package platform

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

const (
	estimatesTestStart    = 1000.0 // seconds
	estimatesReportPeriod = 2.0    // seconds
	estimatesTestDuration = 120.0  // seconds
)

// reportedAttempts is what the collector of one zone reports about a backend for one period.
type reportedAttempts struct {
	attempts, failures int
	meanLatency        float64 // of successful attempts, in seconds
}

// reportsByZone returns what the collectors of the two zones report about a backend in the period that ends now. In the second
// half of the test there are no reports about s-4, and most attempts at s-3 fail.
func reportsByZone(now float64, backend int) [2]reportedAttempts {
	secondHalf := now > estimatesTestStart+estimatesTestDuration/2
	switch {
	case backend == 4 && secondHalf:
		return [2]reportedAttempts{}
	case backend == 3 && secondHalf:
		return [2]reportedAttempts{{30, 24, 0.05}, {10, 9, 0.05}}
	}
	return [2]reportedAttempts{{20 + backend, 1, 0.1}, {10, 0, 0.2 + 0.01*float64(backend)}}
}

// estimatesTest drives a machine with the inputs of two collectors, two proxies and five backends.
type estimatesTest struct {
	t               *testing.T
	machine         *Machine
	now             float64
	pendingInputs   []statemachine.Input // for the next step: dialed connections that open, and responses on them
	probeDials      map[string]int       // number of probes, by address of the backend
	attemptRateSums map[string]float64   // sums of the estimated attempt rates over all samples, by backend
	sampleCount     int
	lastEstimates   map[string]choice.BackendEstimate
}

// newEstimatesTest returns a test with a new machine, which has the endpoint list as a cached list.
func newEstimatesTest(t *testing.T) *estimatesTest {
	t.Helper()
	hosts := make([]string, 0, 5)
	for i := range 5 {
		hosts = append(hosts, fmt.Sprintf(
			`{"host":"s-%d","dial":"server:%d","site":"%c","class":"m","block":1,"health":"active","share":1,"born_ms":0}`, i, i, 'a'+i%2))
	}
	values := testSettings(3, 1)
	values["report_period"] = estimatesReportPeriod
	m, err := New(Bootstrap{
		Discovery: "d", CachedList: fmt.Appendf(nil, `{"seq":3,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ",")),
		Module:         choice.Config{Now: estimatesTestStart, Settings: choice.DecodeSettings(values)},
		MaxConnections: 50, MaxProbes: 4, MaxResponseBytes: 1 << 16, HandshakeTimeout: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &estimatesTest{t: t, machine: m, now: estimatesTestStart, probeDials: map[string]int{}, attemptRateSums: map[string]float64{}, lastEstimates: map[string]choice.BackendEstimate{}}
}

// step makes a step of the machine with the given inputs. Backends answer the probes that it dials, except for s-4 in the
// second half of the test. Discovery never answers.
func (e *estimatesTest) step(in ...statemachine.Input) {
	out := &statemachine.Effects{}
	out.Reset()
	e.machine.Step(e.now, append(e.pendingInputs, in...), out)
	e.pendingInputs = nil
	for _, action := range out.Actions {
		if action.Kind != statemachine.ActionDial {
			continue
		}
		if strings.HasPrefix(action.Addr, "server:") {
			e.probeDials[action.Addr]++
		}
		if action.Addr == "server:4" && e.now > estimatesTestStart+estimatesTestDuration/2 || action.Addr == "d" {
			continue // no peer answers there
		}
		e.pendingInputs = append(e.pendingInputs, statemachine.Input{Kind: statemachine.ConnOpened, Conn: action.Conn},
			statemachine.Input{Kind: statemachine.ConnData, Conn: action.Conn, Data: []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")})
	}
}

// send passes data on a connection to the machine.
func (e *estimatesTest) send(conn statemachine.Conn, data string) {
	e.step(statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte(data)})
}

// open opens a connection to the machine and sends data on it.
func (e *estimatesTest) open(conn statemachine.Conn, data string) {
	e.step(statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn})
	e.send(conn, data)
}

// sendReports sends the reports of a period, some of them in two pieces. Between them come messages that must have no effect:
// invalid ones, reports about another proxy or an unknown backend, and stale acknowledgements.
func (e *estimatesTest) sendReports() {
	for backend := range 5 {
		for zone, reported := range reportsByZone(e.now, backend) {
			if reported.attempts == 0 {
				continue
			}
			message := fmt.Sprintf("upstream_stats zone=%c server=s-%d tries=%d failed=%d mean_ms=%g span_ms=%g\r\n",
				'a'+zone, backend, reported.attempts, reported.failures, reported.meanLatency*1000, estimatesReportPeriod*1000)
			conn := statemachine.Conn(1 + zone)
			// Invalid: it has more failures than attempts.
			e.send(conn, fmt.Sprintf("upstream_stats zone=%c server=s-%d tries=900 failed=901 mean_ms=1 span_ms=1\r\n", 'a'+zone, backend))
			e.send(conn, message[:20])
			e.send(conn, message[20:]+"upstream_stats zone=a server=s-9 tries=50 failed=50 mean_ms=1 span_ms=1\r\n"+
				"upstream_stats zone=a server=s-1 tries=1e99 failed=0 mean_ms=1 span_ms=1\r\n")
		}
	}
	e.send(3, "client_stats proxy=0 class=read tries=30 failed=0 span_ms=2000\r\n"+
		"client_stats proxy=1 class=read tries=500 failed=0 span_ms=2000\r\n")
	e.send(4, "client_stats proxy=1 class=submit tries=10 failed=0 span_ms=2000\r\n"+
		"client_stats proxy=1 class=nothing tries=500 failed=0 span_ms=2000\r\ndone proxy=1 mark=64000 took_ms=1\r\n")
}

// sampleEstimates stores the machine's present estimates. Their attempt rates are averaged over all samples.
func (e *estimatesTest) sampleEstimates() {
	e.sampleCount++
	for _, estimate := range e.machine.planner.Estimates() {
		name := e.machine.endpoints.name(estimate.Backend)
		e.attemptRateSums[name] += estimate.AttemptRate
		e.lastEstimates[name] = estimate
	}
}

// checkNear checks that an estimate is within a relative tolerance, plus 0.01, of what was reported.
func (e *estimatesTest) checkNear(what string, got, want, tolerance float64) {
	e.t.Helper()
	if math.Abs(got-want) > tolerance*want+0.01 {
		e.t.Errorf("%s: estimated %.4f, reported %.4f", what, got, want)
	}
}

// checkBackend compares the estimates of a backend with the reports about it.
func (e *estimatesTest) checkBackend(estimate *choice.BackendEstimate) {
	e.t.Helper()
	name := e.machine.endpoints.name(estimate.Backend)
	var attempts, failures, latencies float64
	for _, reported := range reportsByZone(e.now, int(name[2]-'0')) {
		attempts += float64(reported.attempts)
		failures += float64(reported.failures)
		latencies += float64(reported.attempts-reported.failures) * reported.meanLatency
	}
	e.checkNear(name+": attempts per second", e.attemptRateSums[name]/float64(e.sampleCount), attempts/estimatesReportPeriod, 0.05)
	if attempts > 0 {
		e.checkNear(name+": share of failures", e.lastEstimates[name].FailureShare, failures/attempts, 0.02)
		e.checkNear(name+": latency", e.lastEstimates[name].MeanLatency, latencies/(attempts-failures), 0.02)
	}
	if estimate.Unreachable != (name == "s-4") {
		e.t.Errorf("backend %s: estimated as unreachable: %v, after %d probes", name, estimate.Unreachable, e.probeDials["server:"+name[2:]])
	}
	if estimate.Ejected && name != "s-3" {
		e.t.Errorf("backend %s is ejected although its attempts succeed", name)
	}
}

// The decision module's estimates of load and health must result from the valid reports alone.
func TestEstimatesMatchReports(t *testing.T) {
	test := newEstimatesTest(t)
	test.open(1, "telemetry zone=a\r\n")
	test.open(2, "telemetry zone=b\r\n")
	test.open(3, "attach proxy=0 zone=a weight=9 fresh=1\r\n")
	test.open(4, "attach proxy=1 zone=b weight=9 fresh=1\r\n")
	for end := test.now + estimatesTestDuration; test.now < end; {
		test.sendReports()
		for until := test.now + estimatesReportPeriod; test.now < until-1e-9; {
			test.now += 0.05
			test.step()
			if test.now > end-3*estimatesReportPeriod {
				test.sampleEstimates()
			}
		}
	}
	machine := test.machine
	for _, estimate := range machine.planner.Estimates() {
		test.checkBackend(&estimate)
	}
	if test.probeDials["server:4"] < 2 {
		t.Errorf("s-4, about which there are no reports, was probed %d times; want at least 2", test.probeDials["server:4"])
	}
	test.checkNear("RPCs per second of method read at proxy 0", machine.planner.Usage(0)[0], 15, 0.1)
	test.checkNear("RPCs per second of method submit at proxy 1", machine.planner.Usage(1)[1], 5, 0.1)
	if usage := machine.planner.Usage(1)[0]; usage > 0.3 {
		t.Errorf("proxy 1 is estimated to get %.2f RPCs per second of method read, about which it reported none", usage)
	}
	if len(machine.loggedUnhealthy) == 0 || machine.stats.InvalidMessages == 0 || machine.stats.StaleAcknowledgements == 0 {
		t.Errorf("%d backends are logged as unhealthy, %d messages count as invalid, %d acknowledgements as stale; want at least 1 of each",
			len(machine.loggedUnhealthy), machine.stats.InvalidMessages, machine.stats.StaleAcknowledgements)
	}
}
