package platform

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// noise draws an input's bytes: sound messages, spoilt ones, and rubbish, whole or cut.
func noise(dice *rand.Rand, kind int) string {
	bits := []string{"", "-1", "1e300", "NaN", "a", "zz", "0", "1", "3", "17", "s-0001", "s-9", "read", "submit", "=", ",", "\x00", "\xff", strings.Repeat("9", 40)}
	bit := func() string { return bits[dice.IntN(len(bits))] }
	var s string
	switch kind {
	case 0:
		s = []string{"hb\r\n", "attach proxy=%s zone=%s weight=%s fresh=%s\r\n", "telemetry zone=%s\r\n", "done proxy=%s mark=%s took_ms=%s\r\n",
			"client_stats proxy=%s class=%s tries=%s failed=%s span_ms=%s\r\n", "upstream_stats zone=%s server=%s tries=%s failed=%s mean_ms=%s span_ms=%s load=%s\r\n",
			"attach proxy=3 zone=a weight=1 fresh=%s\r\n", "telemetry zone=a\r\n", "%s%s%s", "GET /%s HTTP/1.1\r\n\r\n"}[dice.IntN(10)]
	case 1:
		host := `{"host":"s-%s","dial":"x:%s","site":"%s","class":"m","block":1,"health":"` + []string{"active", "leaving", "left", "%s"}[dice.IntN(4)] + `","share":%s,"born_ms":%s}`
		body := `{"seq":` + fmt.Sprint(dice.IntN(60)) + `,"whole":` + []string{"true", "false", "%s"}[dice.IntN(3)] + `,"hosts":[` + strings.Repeat(host+",", dice.IntN(4)) + host + `]}`
		for strings.Contains(body, "%s") {
			body = strings.Replace(body, "%s", bit(), 1)
		}
		if dice.IntN(4) == 0 {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		return fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s", []int{200, 200, 200, 503, 99}[dice.IntN(5)], len(body)+dice.IntN(3)-1, body)
	}
	for strings.Contains(s, "%s") {
		s = strings.Replace(s, "%s", bit(), 1)
	}
	if dice.IntN(5) == 0 && len(s) > 0 {
		s = s[:dice.IntN(len(s))]
	}
	return s
}

// Whatever comes in, at whatever connection, in whatever order: no step panics, nothing is asked for without end, and
// what is written to a proxy is an order or an answer.
func FuzzNoise(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		dice := rand.New(rand.NewPCG(seed, 3))
		known := `{"seq":41,"whole":true,"hosts":[{"host":"s-0001","dial":"x","site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":0}]}`
		m, err := New(Bootstrap{Discovery: "d", Known: []byte(known), Module: choice.Config{Now: 100, Settings: choice.DecodeSettings(settings(5, 1))}, MostConns: 12, MostProbes: 2, MostAnswer: 1 << 16, Handshake: 1})
		if err != nil {
			t.Fatal(err)
		}
		now, next := 100.0, statemachine.Conn(0)
		open := map[statemachine.Conn]string{}
		for range 400 {
			var in []statemachine.Input
			for range dice.IntN(4) {
				if dice.IntN(3) == 0 {
					next++
					open[next] = "in"
					in = append(in, statemachine.Input{Kind: statemachine.ConnOpened, Conn: next})
				}
				if all := slices.Sorted(maps.Keys(open)); len(all) > 0 {
					c := all[dice.IntN(len(all))]
					switch role := open[c]; {
					case role == "dialled":
						open[c] = "up"
						in = append(in, statemachine.Input{Kind: statemachine.ConnOpened, Conn: c})
					case dice.IntN(12) == 0:
						delete(open, c)
						in = append(in, statemachine.Input{Kind: statemachine.ConnClosed, Conn: c, Text: "noise"})
					case role == "in":
						in = append(in, statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: []byte(noise(dice, 0))})
					default:
						in = append(in, statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: []byte(noise(dice, 1))})
					}
				}
			}
			var out statemachine.Effects
			out.Reset()
			m.Step(now, in, &out)
			for _, a := range out.Actions {
				switch a.Kind {
				case statemachine.ActionDial:
					open[a.Conn] = "dialled"
				case statemachine.ActionWrite:
					if s := string(a.Data); open[a.Conn] == "in" && (!strings.HasSuffix(s, "\r\n") || !strings.HasPrefix(s, "assign") && !strings.HasPrefix(s, "hb_ok") && !strings.HasPrefix(s, "reject")) {
						t.Fatalf("it writes %q", s)
					}
				default:
					delete(open, a.Conn)
				}
			}
			if out.Failure != "" || m.figures.Panics+m.figures.Failures > 0 {
				t.Fatalf("seed %d: %s %+v %v", seed, out.Failure, m.figures, out.LogEntries)
			}
			if out.WakeAt <= now {
				t.Fatal("it asks for this very moment again")
			}
			if len(m.sessions) > 12+2 {
				t.Fatalf("%d connections are held", len(m.sessions))
			}
			now += min(out.WakeAt-now, dice.Float64())
		}
	})
}
