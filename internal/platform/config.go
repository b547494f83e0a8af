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

// NodeConfig is the configuration of a coordinator process, from its configuration file and its environment.
type NodeConfig struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64 // 0: no limit
	MemoryBytes             int64   // bytes; 0: no limit
	Sockets                 int     // 0: no limit
	CachedList              json.RawMessage
	Settings                map[string]any // settings of the decision module
}

// Env returns the value of an environment variable, "" if it is not set.
type Env func(name string) string

// EnvConfigFile is the environment variable with the path of the configuration file.
const EnvConfigFile = "NODE_CONFIG"

const (
	envName      = "NODE_NAME"
	envListen    = "NODE_LISTEN"
	envDiscovery = "NODE_DISCOVERY"
)

// Limits on the configuration.
const (
	minSockets      = 64
	maxMethods      = 63
	bytesPerMB      = 1 << 20
	seedBase        = 16
	valueListing    = "listing"
	valuePollPeriod = "ask_within"
)

// Errors of ParseNodeConfig.
var (
	errNoListenAddress    = errors.New("no address to listen on: neither the configuration nor " + envListen + " has one")
	errNoDiscoveryAddress = errors.New("no address of discovery: neither the configuration nor " + envDiscovery + " has one")
	errNoSettings         = errors.New("the configuration has no settings")
	errMethodCount        = errors.New("the settings name no methods, or more than 63")
	errProxyCount         = errors.New("the settings do not tell how many proxies there are")
)

// configDocument is the configuration file.
type configDocument struct {
	Name, Listen, Discovery string
	Seed                    json.RawMessage
	Limits                  struct {
		Cores   float64
		Memory  float64 `json:"memory_mb"`
		Sockets wholeNumber
	}
	Known    json.RawMessage
	Settings map[string]any
}

// ParseNodeConfig decodes and checks the configuration file. The environment supplies what the file does not have; the
// file takes precedence because it can be replaced while the process runs. flatten converts the settings to names with
// dots, which is the form in which the decision module reads them.
func ParseNodeConfig(file []byte, env Env, flatten func(map[string]any) map[string]any) (*NodeConfig, error) {
	var doc configDocument
	if err := json.Unmarshal(file, &doc); err != nil {
		return nil, fmt.Errorf("the configuration is not JSON of the expected form: %w", err)
	}
	config := &NodeConfig{
		Name: firstNonEmpty(doc.Name, env(envName)), Listen: firstNonEmpty(doc.Listen, env(envListen)),
		Discovery: firstNonEmpty(doc.Discovery, env(envDiscovery)),
		Cores:     doc.Limits.Cores, MemoryBytes: int64(doc.Limits.Memory * bytesPerMB), Sockets: int(doc.Limits.Sockets), CachedList: doc.Known,
	}
	if string(config.CachedList) == "null" {
		config.CachedList = nil
	}
	if err := config.check(len(doc.Settings)); err != nil {
		return nil, err
	}
	seed, err := parseSeed(doc.Seed)
	if err != nil {
		return nil, err
	}
	config.Seed = seed
	config.Settings = flatten(doc.Settings)
	adjustSettings(config.Settings)
	if err := checkSettings(config.Settings); err != nil {
		return nil, err
	}
	return config, nil
}

func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

func (c *NodeConfig) check(settingsCount int) error {
	switch {
	case c.Listen == "":
		return errNoListenAddress
	case c.Discovery == "":
		return errNoDiscoveryAddress
	case settingsCount == 0:
		return errNoSettings
	case math.IsNaN(c.Cores) || c.Cores < 0 || c.MemoryBytes < 0 || c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets:
		return fmt.Errorf("limits out of range: %v cores, %v bytes, %d sockets (at least %d are needed)", c.Cores, c.MemoryBytes, c.Sockets, minSockets)
	}
	return nil
}

// parseSeed reads a seed in hexadecimal digits, as a string or as a bare number. The value has no meaning; it only has to
// differ between starts.
func parseSeed(raw json.RawMessage) (uint64, error) {
	digits := strings.Trim(string(raw), `"`)
	if digits == "" || digits == "null" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(digits, seedBase, 64)
	if err != nil {
		return 0, fmt.Errorf("the seed is not a hexadecimal number: %w", err)
	}
	return seed, nil
}

// adjustSettings sets what does not depend on the settings' author: on this platform the endpoint list is always polled.
func adjustSettings(values map[string]any) {
	values[valueListing] = "asked"
	if period, _ := values[valuePollPeriod].(float64); period <= 0 {
		delete(values, valuePollPeriod) // 0 stands for no limit, not for polling without a pause
	}
}

func checkSettings(values map[string]any) error {
	if n, _ := values["method.n"].(float64); n < 1 || n > maxMethods {
		return errMethodCount
	}
	if n, _ := values["proxies"].(float64); n < 1 || n > maxProxies {
		return errProxyCount
	}
	if n, _ := values["slices"].(float64); n > 0 {
		// The messages for slices of tables are not implemented, and without them drains would not be completed.
		return fmt.Errorf("the settings have %v slices, but only complete tables are supported", n)
	}
	return nil
}

const (
	// otherFiles is how many files the process has open beside connections: listener, event loops, logs.
	otherFiles = 20
	// extraConnections is how many more connections than the machine's limit the event loop allows, while the machine closes
	// some.
	extraConnections = 16
)

// MaxLoopConnections returns the limit on connections for the event loop; 0: no limit.
func (c *NodeConfig) MaxLoopConnections() int {
	if c.Sockets == 0 {
		return 0
	}
	return c.Sockets - otherFiles
}

// Defaults and bounds of the machine's limits.
const (
	defaultMaxProbes        = 8
	connectionsPerProbe     = 16
	defaultMaxResponseBytes = 8 << 20
	minResponseBytes        = 1 << 18
	memoryPerResponseByte   = 16
	handshakeTimeout        = 1 // seconds
)

// Bootstrap returns what the machine is started with.
func (c *NodeConfig) Bootstrap(now statemachine.Seconds) Bootstrap {
	boot := Bootstrap{
		Name: c.Name, Discovery: c.Discovery, CachedList: c.CachedList,
		Module:         choice.Config{Seed: c.Seed, Now: now, Settings: choice.DecodeSettings(c.Settings)},
		MaxConnections: math.MaxInt, MaxProbes: defaultMaxProbes, MaxResponseBytes: defaultMaxResponseBytes, HandshakeTimeout: handshakeTimeout,
	}
	if c.Sockets > 0 {
		boot.MaxConnections = c.Sockets - otherFiles - extraConnections
		boot.MaxProbes = max(1, min(boot.MaxProbes, boot.MaxConnections/connectionsPerProbe))
	}
	if c.MemoryBytes > 0 {
		boot.MaxResponseBytes = int(max(minResponseBytes, min(int64(boot.MaxResponseBytes), c.MemoryBytes/memoryPerResponseByte)))
	}
	return boot
}
