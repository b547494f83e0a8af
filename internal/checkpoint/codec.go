package checkpoint

import (
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"

	"gingerfork/choice"
)

// Keys of the stored records. Their names and formats are fixed: files of earlier versions are read with them.
const (
	listVersionKey = "list"
	endpointPrefix = "server/"
	drainPrefix    = "drain/"
	proxyPrefix    = "proxy/"
	noncesKey      = "marks"
	settingsKey    = "settings"
)

// Errors that Decode wraps.
var (
	// ErrUnknownRecord is returned for a key that no version of this program wrote.
	ErrUnknownRecord = errors.New("unknown record")
	// ErrMissingListVersion is returned for endpoints without the version of the list that they belong to.
	ErrMissingListVersion = errors.New("endpoints without the list's version")
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Entry       choice.Endpoint
	Incarnation uint64 // changes with each start of the backend's process
	Addr        string
}

// Drain records that the endpoint list took a backend out of service.
type Drain struct {
	RecordedAt  choice.Seconds // when the coordinator received it
	Incarnation uint64         // of the process that it applies to
	Removed     bool           // the backend left the list
}

// Proxy has the nonces from which follows what a proxy may hold: all up to Acknowledged, and perhaps what is in flight.
type Proxy struct {
	Acknowledged, InFlight uint64
}

// State is what the previous run persisted.
type State struct {
	HasEndpointList bool // an endpoint list was recorded at all
	ListVersion     uint64
	Endpoints       map[choice.BackendID]Endpoint
	Drains          map[choice.BackendID]Drain
	Proxies         map[string]Proxy
	NonceLimit      uint64 // all nonces below may have been used
	Settings        string
}

func backendKey(prefix string, backend choice.BackendID) string {
	return fmt.Sprintf("%s%010d", prefix, backend)
}

// parseBackendKey returns the backend in a key that begins with prefix.
func parseBackendKey(prefix, key string) (choice.BackendID, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, prefix), 10, 32)
	return choice.BackendID(n), err
}

// formatFloat writes a number so that it reads back exactly.
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

// Decode reads the records of a store. One record that can't be read fails the whole: the coordinator must not start from
// a part of its state.
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

func scan(text, format string, fields ...any) error {
	_, err := fmt.Sscanf(text, format, fields...)
	return err
}
