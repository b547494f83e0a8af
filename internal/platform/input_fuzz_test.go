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

// inputFuzzer draws the inputs of a machine from a seed: valid messages, invalid ones and other data, complete or cut, on
// connections that open and close at any time.
type inputFuzzer struct {
	dice     *rand.Rand
	accepted statemachine.Conn // the last one
	conns    map[statemachine.Conn]fuzzedConn
}

type fuzzedConn int

const (
	fuzzedAccepted fuzzedConn = iota
	fuzzedDialed              // not open yet
	fuzzedOpen                // dialed and open
)

func (f *inputFuzzer) fill(template string) string {
	values := []string{
		"", "-1", "1e300", "NaN", "a", "zz", "0", "1", "3", "17", "s-0001", "s-9", "read", "submit", "=", ",", "\x00", "\xff", strings.Repeat("9", 40),
	}
	for strings.Contains(template, "%s") {
		template = strings.Replace(template, "%s", values[f.dice.IntN(len(values))], 1)
	}
	return template
}

// message is data on an accepted connection.
func (f *inputFuzzer) message() string {
	templates := []string{
		"hb\r\n", "attach proxy=%s zone=%s weight=%s fresh=%s\r\n", "telemetry zone=%s\r\n", "done proxy=%s mark=%s took_ms=%s\r\n",
		"client_stats proxy=%s class=%s tries=%s failed=%s span_ms=%s\r\n",
		"upstream_stats zone=%s server=%s tries=%s failed=%s mean_ms=%s span_ms=%s load=%s\r\n",
		"attach proxy=3 zone=a weight=1 fresh=%s\r\n", "telemetry zone=a\r\n", "%s%s%s", "GET /%s HTTP/1.1\r\n\r\n",
	}
	message := f.fill(templates[f.dice.IntN(len(templates))])
	if f.dice.IntN(5) == 0 && len(message) > 0 {
		message = message[:f.dice.IntN(len(message))]
	}
	return message
}

// response is data on a dialed connection.
func (f *inputFuzzer) response() string {
	health := []string{"active", "leaving", "left", "%s"}[f.dice.IntN(4)]
	host := `{"host":"s-%s","dial":"x:%s","site":"%s","class":"m","block":1,"health":"` + health + `","share":%s,"born_ms":%s}`
	whole := []string{"true", "false", "%s"}[f.dice.IntN(3)]
	body := f.fill(fmt.Sprintf(`{"seq":%d,"whole":`, f.dice.IntN(60)) + whole + `,"hosts":[` + strings.Repeat(host+",", f.dice.IntN(4)) + host + `]}`)
	if f.dice.IntN(4) == 0 {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	status := []int{200, 200, 200, 503, 99}[f.dice.IntN(5)]
	return fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s", status, len(body)+f.dice.IntN(3)-1, body)
}

// inputs draws the inputs of one step.
func (f *inputFuzzer) inputs() []statemachine.Input {
	var inputs []statemachine.Input
	for range f.dice.IntN(4) {
		if f.dice.IntN(3) == 0 {
			f.accepted++
			f.conns[f.accepted] = fuzzedAccepted
			inputs = append(inputs, statemachine.Input{Kind: statemachine.ConnOpened, Conn: f.accepted})
		}
		if conns := slices.Sorted(maps.Keys(f.conns)); len(conns) > 0 {
			inputs = append(inputs, f.input(conns[f.dice.IntN(len(conns))]))
		}
	}
	return inputs
}

func (f *inputFuzzer) input(conn statemachine.Conn) statemachine.Input {
	switch state := f.conns[conn]; {
	case state == fuzzedDialed:
		f.conns[conn] = fuzzedOpen
		return statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn}
	case f.dice.IntN(12) == 0:
		delete(f.conns, conn)
		return statemachine.Input{Kind: statemachine.ConnClosed, Conn: conn, Text: "closed"}
	case state == fuzzedAccepted:
		return statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte(f.message())}
	default:
		return statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte(f.response())}
	}
}

// apply applies the actions of a step and checks what is written to accepted connections.
func (f *inputFuzzer) apply(t *testing.T, actions []statemachine.Action) {
	t.Helper()
	for _, action := range actions {
		switch action.Kind {
		case statemachine.ActionDial:
			f.conns[action.Conn] = fuzzedDialed
		case statemachine.ActionWrite:
			state, known := f.conns[action.Conn]
			if text := string(action.Data); known && state == fuzzedAccepted && !validOutput(text) {
				t.Fatalf("it writes %q", text)
			}
		default:
			delete(f.conns, action.Conn)
		}
	}
}

func validOutput(text string) bool {
	valid := strings.HasPrefix(text, "assign") || strings.HasPrefix(text, "hb_ok") || strings.HasPrefix(text, "reject")
	return valid && strings.HasSuffix(text, "\r\n")
}

// Whatever the input, on whatever connection and in whatever order: no step panics, nothing grows without bound, and only
// pushes and replies are written to proxies.
func FuzzMachineInputs(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	const maxConnections, maxProbes = 12, 2
	f.Fuzz(func(t *testing.T, seed uint64) {
		fuzzer := &inputFuzzer{dice: rand.New(rand.NewPCG(seed, 3)), conns: map[statemachine.Conn]fuzzedConn{}}
		machine, err := New(Bootstrap{
			Discovery: "d", MaxConnections: maxConnections, MaxProbes: maxProbes, MaxResponseBytes: 1 << 16, HandshakeTimeout: 1,
			Module:     choice.Config{Now: 100, Settings: choice.DecodeSettings(testSettings(5, 1))},
			CachedList: []byte(`{"seq":41,"whole":true,"hosts":[{"host":"s-0001","dial":"x","site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":0}]}`),
		})
		if err != nil {
			t.Fatal(err)
		}
		now := 100.0
		for range 400 {
			var out statemachine.Effects
			out.Reset()
			machine.Step(now, fuzzer.inputs(), &out)
			fuzzer.apply(t, out.Actions)
			if out.Failure != "" || machine.stats.InputPanics+machine.stats.PlannerRestarts > 0 {
				t.Fatalf("seed %d: %s %+v %v", seed, out.Failure, machine.stats, out.LogEntries)
			}
			if out.WakeAt <= now {
				t.Fatal("it asks for another step at the same moment")
			}
			if len(machine.sessions) > maxConnections+maxProbes {
				t.Fatalf("%d connections are open", len(machine.sessions))
			}
			now += min(out.WakeAt-now, fuzzer.dice.Float64())
		}
	})
}
