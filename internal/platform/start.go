package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// Start is what the platform tells a coordinator, from its configuration and its environment.
type Start struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	Memory                  int64 // bytes
	Sockets                 int
	Known                   json.RawMessage
	Values                  map[string]any // for the module
}

// Env is the part of the environment that matters: the words of its variables, by name.
type Env func(name string) string

const (
	envName      = "NODE_NAME"
	envListen    = "NODE_LISTEN"
	envDiscovery = "NODE_DISCOVERY"
	// EnvFile names the configuration's file.
	EnvFile = "NODE_CONFIG"
)

// ReadStart reads the configuration. What it does not tell comes from the environment; what both tell, the file tells
// later: it alone can be replaced while we run. flatten is the simulator's, so that the module meets the same names.
func ReadStart(file []byte, env Env, flatten func(map[string]any) map[string]any) (*Start, error) {
	var doc struct {
		Name, Listen, Discovery string
		Seed                    json.RawMessage
		Limits                  struct {
			Cores   float64
			Memory  float64 `json:"memory_mb"`
			Sockets whole
		}
		Known    json.RawMessage
		Settings map[string]any
	}
	if err := json.Unmarshal(file, &doc); err != nil {
		return nil, fmt.Errorf("the configuration is not JSON of the form wanted: %w", err)
	}
	either := func(word, variable string) string {
		if word != "" {
			return word
		}
		return env(variable)
	}
	s := &Start{Name: either(doc.Name, envName), Listen: either(doc.Listen, envListen), Discovery: either(doc.Discovery, envDiscovery),
		Cores: doc.Limits.Cores, Memory: int64(doc.Limits.Memory * (1 << 20)), Sockets: int(doc.Limits.Sockets), Known: doc.Known}
	switch {
	case s.Listen == "":
		return nil, errors.New("no address to listen on: neither the configuration nor " + envListen + " has one")
	case s.Discovery == "":
		return nil, errors.New("no address of discovery: neither the configuration nor " + envDiscovery + " has one")
	case len(doc.Settings) == 0:
		return nil, errors.New("the configuration has no settings")
	case !(s.Cores >= 0) || s.Memory < 0 || s.Sockets < 0 || s.Sockets > 0 && s.Sockets < leastSockets:
		return nil, fmt.Errorf("limits out of range: %v cores, %v bytes, %d sockets (%d is the least)", s.Cores, s.Memory, s.Sockets, leastSockets)
	}
	if string(s.Known) == "null" {
		s.Known = nil
	}
	// Hex digits, as the page has it; a bare number's digits serve as well, since any will do that are new with each start.
	if digits := strings.Trim(string(doc.Seed), `"`); digits != "" && digits != "null" {
		seed, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("the seed is not a number in hex digits: %w", err)
		}
		s.Seed = seed
	}
	s.Values = flatten(doc.Settings)
	// Whatever else the settings were made for, here nobody pushes a list: who does not ask never hears of a change.
	s.Values["listing"] = "asked"
	if v, _ := s.Values["ask_within"].(float64); v <= 0 {
		delete(s.Values, "ask_within") // 0 stands for no such limit, not for asking without a pause
	}
	if n, _ := s.Values["method.n"].(float64); n < 1 || n > 63 {
		return nil, errors.New("the settings name no methods, or more than 63")
	}
	if n, _ := s.Values["proxies"].(float64); n < 1 || n > 1<<16 {
		return nil, errors.New("the settings do not tell how many proxies there are")
	}
	if n, _ := s.Values["slices"].(float64); n > 0 {
		// Their messages are on no page that we have, and a coordinator that leaves them out would keep no drain.
		return nil, fmt.Errorf("the settings have %v slices: a node gives whole tables only", n)
	}
	return s, nil
}

const leastSockets = 64

// What the process holds beside connections (listener, event loops, logs), and how many more than the machine's own
// limit the loop lets stand while the machine makes room.
const (
	ownFiles = 20
	slack    = 16
)

// LoopConns is the bound on connections for the loop; 0: none.
func (s *Start) LoopConns() int {
	if s.Sockets == 0 {
		return 0
	}
	return s.Sockets - ownFiles
}

// Bootstrap is what the machine is started with.
func (s *Start) Bootstrap(now statemachine.Seconds) Bootstrap {
	b := Bootstrap{Name: s.Name, Discovery: s.Discovery, Module: choice.Config{Seed: s.Seed, Now: now, Settings: choice.DecodeSettings(s.Values)}, Known: s.Known,
		MostConns: math.MaxInt, MostProbes: 8, MostAnswer: 8 << 20, Handshake: 1}
	if s.Sockets > 0 {
		b.MostConns = s.Sockets - ownFiles - slack
		b.MostProbes = max(1, min(b.MostProbes, b.MostConns/16))
	}
	if s.Memory > 0 {
		b.MostAnswer = int(max(1<<18, min(int64(b.MostAnswer), s.Memory/16)))
	}
	return b
}
