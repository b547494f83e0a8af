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

// inputFuzzer draws the inputs of a machine at random: valid messages, invalid ones and other data, complete or truncated, on
// connections that open and close at any time.
type inputFuzzer struct {
	random       *rand.Rand
	lastAccepted statemachine.Conn // number of the last accepted connection
	connStates   map[statemachine.Conn]connState
}

// connState is the state of a connection of the machine.
type connState int

const (
	connAccepted connState = iota
	connDialing            // dialed by the machine, not open yet
	connDialed             // dialed by the machine, open
)

// fillTemplate replaces each %s in a template by a random value.
func (f *inputFuzzer) fillTemplate(template string) string {
	values := []string{
		"", "-1", "1e300", "NaN", "a", "zz", "0", "1", "3", "17", "s-0001", "s-9", "read", "submit", "=", ",", "\x00", "\xff", strings.Repeat("9", 40),
	}
	for strings.Contains(template, "%s") {
		template = strings.Replace(template, "%s", values[f.random.IntN(len(values))], 1)
	}
	return template
}

// acceptedData draws what the peer of an accepted connection sends.
func (f *inputFuzzer) acceptedData() string {
	templates := []string{
		"hb\r\n", "attach proxy=%s zone=%s weight=%s fresh=%s\r\n", "telemetry zone=%s\r\n", "done proxy=%s mark=%s took_ms=%s\r\n",
		"client_stats proxy=%s class=%s tries=%s failed=%s span_ms=%s\r\n",
		"upstream_stats zone=%s server=%s tries=%s failed=%s mean_ms=%s span_ms=%s load=%s\r\n",
		"attach proxy=3 zone=a weight=1 fresh=%s\r\n", "telemetry zone=a\r\n", "%s%s%s", "GET /%s HTTP/1.1\r\n\r\n",
	}
	message := f.fillTemplate(templates[f.random.IntN(len(templates))])
	if f.random.IntN(5) == 0 && len(message) > 0 {
		message = message[:f.random.IntN(len(message))]
	}
	return message
}

// dialedData draws what the peer of a dialed connection sends: a response with an endpoint list.
func (f *inputFuzzer) dialedData() string {
	health := []string{"active", "leaving", "left", "%s"}[f.random.IntN(4)]
	host := `{"host":"s-%s","dial":"x:%s","site":"%s","class":"m","block":1,"health":"` + health + `","share":%s,"born_ms":%s}`
	whole := []string{"true", "false", "%s"}[f.random.IntN(3)]
	body := f.fillTemplate(fmt.Sprintf(`{"seq":%d,"whole":`, f.random.IntN(60)) + whole + `,"hosts":[` + strings.Repeat(host+",", f.random.IntN(4)) + host + `]}`)
	if f.random.IntN(4) == 0 {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	status := []int{200, 200, 200, 503, 99}[f.random.IntN(5)]
	return fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s", status, len(body)+f.random.IntN(3)-1, body)
}

// drawInputs draws the inputs of one step.
func (f *inputFuzzer) drawInputs() []statemachine.Input {
	var inputs []statemachine.Input
	for range f.random.IntN(4) {
		if f.random.IntN(3) == 0 {
			f.lastAccepted++
			f.connStates[f.lastAccepted] = connAccepted
			inputs = append(inputs, statemachine.Input{Kind: statemachine.ConnOpened, Conn: f.lastAccepted})
		}
		if conns := slices.Sorted(maps.Keys(f.connStates)); len(conns) > 0 {
			inputs = append(inputs, f.drawInput(conns[f.random.IntN(len(conns))]))
		}
	}
	return inputs
}

// drawInput draws an input about a connection.
func (f *inputFuzzer) drawInput(conn statemachine.Conn) statemachine.Input {
	switch state := f.connStates[conn]; {
	case state == connDialing:
		f.connStates[conn] = connDialed
		return statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn}
	case f.random.IntN(12) == 0:
		delete(f.connStates, conn)
		return statemachine.Input{Kind: statemachine.ConnClosed, Conn: conn, Text: "closed"}
	case state == connAccepted:
		return statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte(f.acceptedData())}
	default:
		return statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte(f.dialedData())}
	}
}

// applyActions updates the connections after a step, and checks what the machine writes to accepted ones.
func (f *inputFuzzer) applyActions(t *testing.T, actions []statemachine.Action) {
	t.Helper()
	for _, action := range actions {
		switch action.Kind {
		case statemachine.ActionDial:
			f.connStates[action.Conn] = connDialing
		case statemachine.ActionWrite:
			state, known := f.connStates[action.Conn]
			if text := string(action.Data); known && state == connAccepted && !validOutput(text) {
				t.Fatalf("the machine writes %q, which is neither a push nor a reply", text)
			}
		default:
			delete(f.connStates, action.Conn)
		}
	}
}

// validOutput returns whether a text can be a message to an accepted connection: a push, a heartbeat reply or a rejection.
func validOutput(text string) bool {
	valid := strings.HasPrefix(text, "assign") || strings.HasPrefix(text, "hb_ok") || strings.HasPrefix(text, "reject")
	return valid && strings.HasSuffix(text, "\r\n")
}

// Whatever inputs come, in whatever order and on whatever connections, no step panics, the number of open connections stays
// within the limits, and only pushes and replies are written to accepted connections.
func FuzzMachineInputs(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	const maxConnections, maxProbes = 12, 2
	f.Fuzz(func(t *testing.T, seed uint64) {
		fuzzer := &inputFuzzer{random: rand.New(rand.NewPCG(seed, 3)), connStates: map[statemachine.Conn]connState{}}
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
			machine.Step(now, fuzzer.drawInputs(), &out)
			fuzzer.applyActions(t, out.Actions)
			if out.Failure != "" || machine.stats.InputPanics+machine.stats.PlannerRestarts > 0 {
				t.Fatalf("seed %d: %s %+v %v", seed, out.Failure, machine.stats, out.LogEntries)
			}
			if out.WakeAt <= now {
				t.Fatal("the machine asks for another step at the time of the present one")
			}
			if len(machine.sessions) > maxConnections+maxProbes {
				t.Fatalf("%d connections are open, the limit is %d", len(machine.sessions), maxConnections+maxProbes)
			}
			now += min(out.WakeAt-now, fuzzer.random.Float64())
		}
	})
}
