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
	estimatesStart  = 1000.0
	estimatesPeriod = 2.0 // of reports
	estimatesLength = 120.0
)

// reportedAttempts is what one zone reports of a backend for a period.
type reportedAttempts struct {
	attempts, failures int
	latency            float64 // mean of the successful ones
}

// reportedAt is what the two zones report of a backend. Halfway s-4 falls silent, and most attempts at s-3 begin to fail.
func reportedAt(now float64, backend int) [2]reportedAttempts {
	secondHalf := now > estimatesStart+estimatesLength/2
	switch {
	case backend == 4 && secondHalf:
		return [2]reportedAttempts{}
	case backend == 3 && secondHalf:
		return [2]reportedAttempts{{30, 24, 0.05}, {10, 9, 0.05}}
	}
	return [2]reportedAttempts{{20 + backend, 1, 0.1}, {10, 0, 0.2 + 0.01*float64(backend)}}
}

// estimatesTest plays two collectors, two proxies and five backends.
type estimatesTest struct {
	t       *testing.T
	machine *Machine
	now     float64
	pending []statemachine.Input // the opening of connections that were dialed, and responses on them
	probed  map[string]int       // by address
	sums    map[string]float64   // of attempt rates, by backend
	samples int
	last    map[string]choice.BackendEstimate
}

func newEstimatesTest(t *testing.T) *estimatesTest {
	t.Helper()
	hosts := make([]string, 0, 5)
	for i := range 5 {
		hosts = append(hosts, fmt.Sprintf(
			`{"host":"s-%d","dial":"server:%d","site":"%c","class":"m","block":1,"health":"active","share":1,"born_ms":0}`, i, i, 'a'+i%2))
	}
	values := testSettings(3, 1)
	values["report_period"] = estimatesPeriod
	m, err := New(Bootstrap{
		Discovery: "d", CachedList: fmt.Appendf(nil, `{"seq":3,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ",")),
		Module:         choice.Config{Now: estimatesStart, Settings: choice.DecodeSettings(values)},
		MaxConnections: 50, MaxProbes: 4, MaxResponseBytes: 1 << 16, HandshakeTimeout: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &estimatesTest{t: t, machine: m, now: estimatesStart, probed: map[string]int{}, sums: map[string]float64{}, last: map[string]choice.BackendEstimate{}}
}

func (e *estimatesTest) step(in ...statemachine.Input) {
	out := &statemachine.Effects{}
	out.Reset()
	e.machine.Step(e.now, append(e.pending, in...), out)
	e.pending = nil
	for _, action := range out.Actions {
		if action.Kind != statemachine.ActionDial {
			continue
		}
		if strings.HasPrefix(action.Addr, "server:") {
			e.probed[action.Addr]++
		}
		if action.Addr == "server:4" && e.now > estimatesStart+estimatesLength/2 || action.Addr == "d" {
			continue // nothing responds there
		}
		e.pending = append(e.pending, statemachine.Input{Kind: statemachine.ConnOpened, Conn: action.Conn},
			statemachine.Input{Kind: statemachine.ConnData, Conn: action.Conn, Data: []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")})
	}
}

func (e *estimatesTest) send(conn statemachine.Conn, data string) {
	e.step(statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte(data)})
}

func (e *estimatesTest) open(conn statemachine.Conn, data string) {
	e.step(statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn})
	e.send(conn, data)
}

// report sends the reports of a period, some in pieces, among messages that are invalid, of other proxies, or stale.
func (e *estimatesTest) report() {
	for backend := range 5 {
		for zone, reported := range reportedAt(e.now, backend) {
			if reported.attempts == 0 {
				continue
			}
			message := fmt.Sprintf("upstream_stats zone=%c server=s-%d tries=%d failed=%d mean_ms=%g span_ms=%g\r\n",
				'a'+zone, backend, reported.attempts, reported.failures, reported.latency*1000, estimatesPeriod*1000)
			conn := statemachine.Conn(1 + zone)
			// More failures than attempts.
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

func (e *estimatesTest) sample() {
	e.samples++
	for _, estimate := range e.machine.planner.Estimates() {
		name := e.machine.endpoints.name(estimate.Backend)
		e.sums[name] += estimate.AttemptRate
		e.last[name] = estimate
	}
}

func (e *estimatesTest) checkNear(what string, got, want, tolerance float64) {
	e.t.Helper()
	if math.Abs(got-want) > tolerance*want+0.01 {
		e.t.Errorf("%s: the estimate is %.4f, reported was %.4f", what, got, want)
	}
}

func (e *estimatesTest) checkBackend(estimate *choice.BackendEstimate) {
	e.t.Helper()
	name := e.machine.endpoints.name(estimate.Backend)
	var attempts, failures, latencies float64
	for _, reported := range reportedAt(e.now, int(name[2]-'0')) {
		attempts += float64(reported.attempts)
		failures += float64(reported.failures)
		latencies += float64(reported.attempts-reported.failures) * reported.latency
	}
	e.checkNear(name+": attempts per second", e.sums[name]/float64(e.samples), attempts/estimatesPeriod, 0.05)
	if attempts > 0 {
		e.checkNear(name+": share of failures", e.last[name].FailureShare, failures/attempts, 0.02)
		e.checkNear(name+": latency", e.last[name].MeanLatency, latencies/(attempts-failures), 0.02)
	}
	if estimate.Unreachable != (name == "s-4") {
		e.t.Errorf("%s counts as unreachable: %v, after %d probes", name, estimate.Unreachable, e.probed["server:"+name[2:]])
	}
	if estimate.Ejected && name != "s-3" {
		e.t.Errorf("%s is ejected, and its attempts succeed", name)
	}
}

// The estimates of load and health must result from the valid reports alone.
func TestEstimatesMatchReports(t *testing.T) {
	test := newEstimatesTest(t)
	test.open(1, "telemetry zone=a\r\n")
	test.open(2, "telemetry zone=b\r\n")
	test.open(3, "attach proxy=0 zone=a weight=9 fresh=1\r\n")
	test.open(4, "attach proxy=1 zone=b weight=9 fresh=1\r\n")
	for end := test.now + estimatesLength; test.now < end; {
		test.report()
		for until := test.now + estimatesPeriod; test.now < until-1e-9; {
			test.now += 0.05
			test.step()
			if test.now > end-3*estimatesPeriod {
				test.sample()
			}
		}
	}
	machine := test.machine
	for _, estimate := range machine.planner.Estimates() {
		test.checkBackend(&estimate)
	}
	if test.probed["server:4"] < 2 {
		t.Errorf("the silent backend was probed %d times", test.probed["server:4"])
	}
	test.checkNear("proxy 0's usage", machine.planner.Usage(0)[0], 15, 0.1)
	test.checkNear("proxy 1's usage", machine.planner.Usage(1)[1], 5, 0.1)
	if usage := machine.planner.Usage(1)[0]; usage > 0.3 {
		t.Errorf("proxy 1's estimated usage is %.2f RPCs per second of a method without any", usage)
	}
	if len(machine.loggedUnhealthy) == 0 || machine.stats.InvalidMessages == 0 || machine.stats.StaleAcknowledgements == 0 {
		t.Errorf("%d backends were logged as unhealthy, %d messages as invalid, %d acknowledgements as stale",
			len(machine.loggedUnhealthy), machine.stats.InvalidMessages, machine.stats.StaleAcknowledgements)
	}
}
