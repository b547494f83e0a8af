package platform

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// A sequence taken down by hand, and what is believed of load and health after it. Each period the two collectors and the
// two proxies tell what the stand-ins met, between messages that are spoilt, cut in pieces, of others, or of the past;
// s-4 falls silent halfway and s-3 begins to abort. What is believed must be what sound messages said, and no more.
func TestBeliefsAreWhatCrossedTheSockets(t *testing.T) {
	const period, life = 2.0, 120.0
	known := `{"seq":3,"whole":true,"hosts":[`
	for i := range 5 {
		known += fmt.Sprintf(`{"host":"s-%d","dial":"server:%d","site":"%c","class":"m","block":1,"health":"active","share":1,"born_ms":0},`, i, i, 'a'+i%2)
	}
	values := settings(3, 1)
	values["report_period"] = period
	m, err := New(Bootstrap{Discovery: "d", Known: []byte(strings.TrimSuffix(known, ",") + "]}"), Module: choice.Config{Now: 1000, Settings: choice.DecodeSettings(values)},
		MostConns: 50, MostProbes: 4, MostAnswer: 1 << 16, Handshake: 1})
	if err != nil {
		t.Fatal(err)
	}
	// What passes in a period: tries, of which bad, and the mean delay of the rest, by server and zone.
	type met struct {
		tries, bad int
		delay      float64
	}
	truth := func(now float64, server int) [2]met {
		late := now > 1000+life/2
		switch {
		case server == 4 && late:
			return [2]met{}
		case server == 3 && late:
			return [2]met{{30, 24, 0.05}, {10, 9, 0.05}}
		}
		return [2]met{{20 + server, 1, 0.1}, {10, 0, 0.2 + 0.01*float64(server)}}
	}
	out := &statemachine.Effects{}
	now, probed := 1000.0, map[string]int{}
	var sessions []statemachine.Input // of what we dial, which must be answered
	step := func(in ...statemachine.Input) {
		out.Reset()
		m.Step(now, append(sessions, in...), out)
		sessions = nil
		for _, d := range out.Actions {
			if d.Kind != statemachine.ActionDial {
				continue
			}
			if strings.HasPrefix(d.Addr, "server:") {
				probed[d.Addr]++
			}
			if d.Addr == "server:4" && now > 1000+life/2 || d.Addr == "d" {
				continue // nobody is there
			}
			sessions = append(sessions, statemachine.Input{Kind: statemachine.ConnOpened, Conn: d.Conn},
				statemachine.Input{Kind: statemachine.ConnData, Conn: d.Conn, Data: []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")})
		}
	}
	say := func(c statemachine.Conn, text string) {
		step(statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: []byte(text)})
	}
	open := func(c statemachine.Conn, text string) {
		step(statemachine.Input{Kind: statemachine.ConnOpened, Conn: c})
		say(c, text)
	}
	open(1, "telemetry zone=a\r\n")
	open(2, "telemetry zone=b\r\n")
	open(3, "attach proxy=0 zone=a weight=9 fresh=1\r\n")
	open(4, "attach proxy=1 zone=b weight=9 fresh=1\r\n")
	sampled, rates, samples := map[string]float64{}, map[string][]float64{}, 0
	for end := now + life; now < end; {
		for server := range 5 {
			for z, x := range truth(now, server) {
				if x.tries == 0 {
					continue
				}
				text := fmt.Sprintf("upstream_stats zone=%c server=s-%d tries=%d failed=%d mean_ms=%g span_ms=%g\r\n", 'a'+z, server, x.tries, x.bad, x.delay*1000, period*1000)
				c := statemachine.Conn(1 + z)
				say(c, fmt.Sprintf("upstream_stats zone=%c server=s-%d tries=900 failed=901 mean_ms=1 span_ms=1\r\n", 'a'+z, server)) // more bad than tries
				say(c, text[:20])
				say(c, text[20:]+"upstream_stats zone=a server=s-9 tries=50 failed=50 mean_ms=1 span_ms=1\r\nupstream_stats zone=a server=s-1 tries=1e99 failed=0 mean_ms=1 span_ms=1\r\n")
			}
		}
		say(3, "client_stats proxy=0 class=read tries=30 failed=0 span_ms=2000\r\nclient_stats proxy=1 class=read tries=500 failed=0 span_ms=2000\r\n")
		say(4, "client_stats proxy=1 class=submit tries=10 failed=0 span_ms=2000\r\nclient_stats proxy=1 class=nothing tries=500 failed=0 span_ms=2000\r\ndone proxy=1 mark=64000 took_ms=1\r\n")
		for until := now + period; now < until-1e-9; {
			now += 0.05
			step()
			if now > end-3*period {
				samples++
				for _, b := range m.planner.Estimates() {
					name := m.roll.servers[b.Backend].name
					sampled[name] += b.AttemptRate
					rates[name] = []float64{b.FailureShare, b.MeanLatency}
				}
			}
		}
	}
	near := func(what string, got, want, within float64) {
		t.Helper()
		if math.Abs(got-want) > within*want+0.01 {
			t.Errorf("%s: %.4f is believed, %.4f crossed the sockets", what, got, want)
		}
	}
	for _, b := range m.planner.Estimates() {
		name := m.roll.servers[b.Backend].name
		var tries, bad, slow float64
		for _, x := range truth(now, int(name[2]-'0')) {
			tries, bad, slow = tries+float64(x.tries), bad+float64(x.bad), slow+float64(x.tries-x.bad)*x.delay
		}
		near(name+": tries a second", sampled[name]/float64(samples), tries/period, 0.05)
		if tries > 0 {
			near(name+": share of bad ones", rates[name][0], bad/tries, 0.02)
			near(name+": delay", rates[name][1], slow/(tries-bad), 0.02)
		}
		if b.Unreachable != (name == "s-4") {
			t.Errorf("%s is believed to be deaf: %v, after %d probes", name, b.Unreachable, probed["server:"+name[2:]])
		}
		if b.Ejected && name != "s-3" {
			t.Errorf("%s is benched, and its tries are answered", name)
		}
	}
	if probed["server:4"] < 2 {
		t.Errorf("the silent server was asked %d times", probed["server:4"])
	}
	near("proxy 0's usage", m.planner.Usage(0)[0], 15, 0.1)
	near("proxy 1's usage", m.planner.Usage(1)[1], 5, 0.1)
	if u := m.planner.Usage(1)[0]; u > 0.3 {
		t.Errorf("proxy 1 is believed to have %.2f RPCs a second of a method of which nothing came", u)
	}
	if len(m.ill) == 0 || m.figures.Spoilt == 0 || m.figures.Stale == 0 {
		t.Errorf("%d servers were logged as ill, %d messages as spoilt, %d answers as stale", len(m.ill), m.figures.Spoilt, m.figures.Stale)
	}
}
