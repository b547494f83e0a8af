package checkpoint

import (
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"

	"gingerfork/choice"
)

// Keys of the stored records. The keys and the formats of the values must not change, since the coordinator must be able to
// read stores that earlier versions wrote.
const (
	listVersionKey = "list"
	endpointPrefix = "server/"
	drainPrefix    = "drain/"
	proxyPrefix    = "proxy/"
	noncesKey      = "marks" // the high-water mark of the nonces
	settingsKey    = "settings"
)

// Errors that Decode wraps.
var (
	// ErrUnknownRecord is returned for a key that no version of this program wrote.
	ErrUnknownRecord = errors.New("unknown record")
	// ErrMissingListVersion is returned for endpoints without a record of the endpoint list's version.
	ErrMissingListVersion = errors.New("endpoints without the list's version")
)

// Endpoint is an entry of the endpoint list with the backend's address.
type Endpoint struct {
	Entry       choice.Endpoint // what the decision module knows
	Incarnation uint64          // changes with each start of the backend's process
	Addr        string
}

// Drain records that the endpoint list took a backend out of service.
type Drain struct {
	RecordedAt  choice.Seconds // when the coordinator learned of the drain
	Incarnation uint64         // incarnation of the backend's process that is drained; 0 if unknown
	Removed     bool           // the backend left the list
}

// Proxy records which pushes a proxy has received: all up to the nonce Acknowledged, and perhaps those up to InFlight, the
// last nonce that it was sent.
type Proxy struct {
	Acknowledged, InFlight uint64
}

// State is what the previous run persisted.
type State struct {
	HasEndpointList bool   // an endpoint list was persisted, possibly an empty one
	ListVersion     uint64 // version of the persisted endpoint list
	Endpoints       map[choice.BackendID]Endpoint
	Drains          map[choice.BackendID]Drain
	Proxies         map[string]Proxy // by the proxy's name
	NonceLimit      uint64           // every nonce below this may have been used
	Settings        string           // text of the settings that were in force
}

func backendKey(prefix string, backend choice.BackendID) string {
	return fmt.Sprintf("%s%010d", prefix, backend)
}

// parseBackendKey returns the backend number in a key that begins with prefix.
func parseBackendKey(prefix, key string) (choice.BackendID, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, prefix), 10, 32)
	return choice.BackendID(n), err
}

// formatFloat formats a number so that parsing the text yields the identical value.
func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (e Endpoint) encode() []byte {
	entry := e.Entry
	return fmt.Appendf(nil, "%d %q %q %d %s %s %d %q", entry.State, entry.Kind, entry.Zone, entry.Cell,
		formatFloat(entry.Weight), formatFloat(entry.StartedAt), e.Incarnation, e.Addr)
}

func (d Drain) encode() []byte {
	return fmt.Appendf(nil, "%s %d %t", formatFloat(d.RecordedAt), d.Incarnation, d.Removed)
}

func (p Proxy) encode() []byte { return fmt.Appendf(nil, "%d %d", p.Acknowledged, p.InFlight) }

// Decode decodes the records of a store. It fails if any record cannot be decoded, because the coordinator must not start
// with only a part of its state.
func Decode(records iter.Seq2[string, []byte]) (*State, error) {
	state := &State{
		Endpoints: map[choice.BackendID]Endpoint{},
		Drains:    map[choice.BackendID]Drain{},
		Proxies:   map[string]Proxy{},
	}
	for key, value := range records {
		if err := state.decodeRecord(key, string(value)); err != nil {
			return nil, fmt.Errorf("record %q, %q: %w", key, value, err)
		}
	}
	if !state.HasEndpointList && len(state.Endpoints) > 0 {
		return nil, fmt.Errorf("%d %w", len(state.Endpoints), ErrMissingListVersion)
	}
	return state, nil
}

func (s *State) decodeRecord(key, value string) error {
	switch {
	case key == listVersionKey:
		s.HasEndpointList = true
		return scan(value, "%d", &s.ListVersion)
	case key == noncesKey:
		return scan(value, "%d", &s.NonceLimit)
	case key == settingsKey:
		s.Settings = value
		return nil
	case strings.HasPrefix(key, endpointPrefix):
		return s.decodeEndpoint(key, value)
	case strings.HasPrefix(key, drainPrefix):
		return s.decodeDrain(key, value)
	case strings.HasPrefix(key, proxyPrefix):
		var proxy Proxy
		err := scan(value, "%d %d", &proxy.Acknowledged, &proxy.InFlight)
		s.Proxies[strings.TrimPrefix(key, proxyPrefix)] = proxy
		return err
	default:
		return ErrUnknownRecord
	}
}

func (s *State) decodeEndpoint(key, value string) error {
	backend, err := parseBackendKey(endpointPrefix, key)
	if err != nil {
		return err
	}
	endpoint := Endpoint{Entry: choice.Endpoint{Backend: backend}}
	entry := &endpoint.Entry
	var zone string
	err = scan(value, "%d %q %q %d %g %g %d %q", &entry.State, &entry.Kind, &zone, &entry.Cell, &entry.Weight,
		&entry.StartedAt, &endpoint.Incarnation, &endpoint.Addr)
	entry.Zone = choice.Zone(zone)
	s.Endpoints[backend] = endpoint
	return err
}

func (s *State) decodeDrain(key, value string) error {
	backend, err := parseBackendKey(drainPrefix, key)
	if err != nil {
		return err
	}
	var drain Drain
	err = scan(value, "%g %d %t", &drain.RecordedAt, &drain.Incarnation, &drain.Removed)
	s.Drains[backend] = drain
	return err
}

// scan parses text like fmt.Sscanf.
func scan(text, format string, fields ...any) error {
	_, err := fmt.Sscanf(text, format, fields...)
	return err
}
