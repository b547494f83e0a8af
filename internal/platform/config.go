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
	Name, Listen, Discovery string          // Name of the coordinator; Listen is its own address, Discovery that of the service
	Seed                    uint64          // of the decision module's random numbers
	Cores                   float64         // processor cores that the process may use; 0: no limit
	MemoryBytes             int64           // memory that the process may use, in bytes; 0: no limit
	Sockets                 int             // file descriptors that the process may have open at once; 0: no limit
	CachedList              json.RawMessage // the last known endpoint list in discovery's format; nil if there is none
	Settings                map[string]any  // settings of the decision module, by names such as method.0.name
}

// Env returns the value of the named environment variable, or "" if it is not set.
type Env func(name string) string

// EnvConfigFile names the environment variable that holds the path of the configuration file.
const EnvConfigFile = "NODE_CONFIG"

// Environment variables that are used if the configuration file lacks the value.
const (
	envName      = "NODE_NAME"
	envListen    = "NODE_LISTEN"
	envDiscovery = "NODE_DISCOVERY"
)

// Limits, units and setting names of the configuration.
const (
	minSockets             = 64 // smallest valid value of NodeConfig.Sockets other than 0
	maxMethods             = 63 // sets of methods are bit masks in a uint64
	bytesPerMB             = 1 << 20
	hexadecimalBase        = 16
	settingListing         = "listing"    // name of the setting: how endpoint lists are obtained
	settingMaxPollInterval = "ask_within" // name of the setting: the longest time between two requests to discovery, in seconds
)

// Errors of ParseNodeConfig.
var (
	errNoListenAddress    = errors.New("no address to listen on: neither the configuration nor " + envListen + " has one")
	errNoDiscoveryAddress = errors.New("no address of discovery: neither the configuration nor " + envDiscovery + " has one")
	errNoSettings         = errors.New("the configuration has no settings")
)

// configDocument is the JSON document in the configuration file.
type configDocument struct {
	Name, Listen, Discovery string
	Seed                    json.RawMessage
	Limits                  struct {
		Cores   float64
		Memory  float64 `json:"memory_mb"`
		Sockets wholeNumber
	}
	Known    json.RawMessage // the last known endpoint list in discovery's format
	Settings map[string]any
}

// ParseNodeConfig decodes and checks the content of the configuration file. The environment supplies name and addresses
// that the file lacks; the file takes precedence because it can be replaced while the process runs. flatten converts the
// nested settings to a flat map whose names have dots ("method.0.name"), which the decision module reads.
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
	if err := config.validate(len(doc.Settings)); err != nil {
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

// validate checks addresses and resource limits. settingsCount is the number of top-level settings in the file.
func (c *NodeConfig) validate(settingsCount int) error {
	switch {
	case c.Listen == "":
		return errNoListenAddress
	case c.Discovery == "":
		return errNoDiscoveryAddress
	case settingsCount == 0:
		return errNoSettings
	case math.IsNaN(c.Cores) || c.Cores < 0 || c.MemoryBytes < 0 || c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets:
		return fmt.Errorf("resource limits out of range: %v cores, %v bytes of memory, %d sockets (at least %d sockets are needed)", c.Cores, c.MemoryBytes, c.Sockets, minSockets)
	}
	return nil
}

// parseSeed reads a random seed in hexadecimal digits, written as a JSON string or as a bare number. Without a seed it
// returns 0. The value has no meaning; it only has to differ between starts.
func parseSeed(raw json.RawMessage) (uint64, error) {
	digits := strings.Trim(string(raw), `"`)
	if digits == "" || digits == "null" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(digits, hexadecimalBase, 64)
	if err != nil {
		return 0, fmt.Errorf("the seed is not a hexadecimal number: %w", err)
	}
	return seed, nil
}

// adjustSettings overrides settings that the platform determines: here the endpoint list is always polled.
func adjustSettings(values map[string]any) {
	values[settingListing] = "asked"
	if period, _ := values[settingMaxPollInterval].(float64); period <= 0 {
		delete(values, settingMaxPollInterval) // 0 means no limit on the interval, not polling without a pause
	}
}

// checkSettings checks the numbers of methods and proxies, and that the settings have no slices.
func checkSettings(values map[string]any) error {
	if n, _ := values["method.n"].(float64); n < 1 || n > maxMethods {
		return fmt.Errorf("the settings have %v methods; from 1 to %d are supported", n, maxMethods)
	}
	if n, _ := values["proxies"].(float64); n < 1 || n > maxProxies {
		return fmt.Errorf("the settings set the number of proxies to %v; from 1 to %d are supported", n, maxProxies)
	}
	if n, _ := values["slices"].(float64); n > 0 {
		// The messages for slices of tables are not implemented, and without them drains of backends would not complete.
		return fmt.Errorf("the settings have %v slices, but only complete tables are supported", n)
	}
	return nil
}

const (
	// reservedFileDescriptors is the number of file descriptors that the process needs beside those of connections: for the
	// listener, event loops and logs.
	reservedFileDescriptors = 20
	// closingConnectionHeadroom is by how much the event loop's connection limit exceeds that of the Machine, so that new
	// connections are still accepted while the Machine closes others to make room for them.
	closingConnectionHeadroom = 16
)

// MaxLoopConnections returns the limit on the event loop's open connections; 0 means no limit.
func (c *NodeConfig) MaxLoopConnections() int {
	if c.Sockets == 0 {
		return 0
	}
	return c.Sockets - reservedFileDescriptors
}

// Defaults and bounds of the limits in Bootstrap.
const (
	defaultMaxProbes        = 8  // probes in flight
	connectionsPerProbe     = 16 // Bootstrap.MaxConnections divided by this number limits Bootstrap.MaxProbes
	defaultMaxResponseBytes = 8 << 20
	minResponseBytes        = 1 << 18 // lower bound of Bootstrap.MaxResponseBytes, whatever the memory limit
	memoryPerResponseByte   = 16      // the longest response of discovery is 1/16 of the memory limit
	defaultMaxRetainedBytes = 16 << 20
	memoryPerRetainedByte   = 16 // incomplete messages take 1/16 of the memory limit
	handshakeTimeout        = 1  // seconds
)

// Bootstrap returns what a Machine is started with at the time now, with its limits derived from the resource limits.
func (c *NodeConfig) Bootstrap(now statemachine.Seconds) Bootstrap {
	boot := Bootstrap{
		Name: c.Name, Discovery: c.Discovery, CachedList: c.CachedList,
		Module:         choice.Config{Seed: c.Seed, Now: now, Settings: choice.DecodeSettings(c.Settings)},
		MaxConnections: math.MaxInt, MaxProbes: defaultMaxProbes, MaxResponseBytes: defaultMaxResponseBytes, HandshakeTimeout: handshakeTimeout,
		MaxRetainedBytes: defaultMaxRetainedBytes,
	}
	if c.Sockets > 0 {
		boot.MaxConnections = c.Sockets - reservedFileDescriptors - closingConnectionHeadroom
		boot.MaxProbes = max(1, min(boot.MaxProbes, boot.MaxConnections/connectionsPerProbe))
	}
	if c.MemoryBytes > 0 {
		boot.MaxRetainedBytes = int(min(int64(boot.MaxRetainedBytes), c.MemoryBytes/memoryPerRetainedByte))
		boot.MaxResponseBytes = int(max(minResponseBytes, min(int64(boot.MaxResponseBytes), c.MemoryBytes/memoryPerResponseByte)))
	}
	return boot
}
