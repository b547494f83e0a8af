package endpointfile

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// storedFormat is the number of the JSON format of a stored list that Encode writes and Decode accepts.
const storedFormat = 1

// storedList is the stored form of a list. Its JSON keys are part of the stored format.
type storedList struct {
	Format    int
	Version   uint64
	Endpoints []Endpoint `json:"Entries"`
	Rejected  string     `json:"Held"`
}

// Encode returns the state of the list in the stored format.
func (l *List) Encode() ([]byte, error) {
	data, err := json.Marshal(storedList{Format: storedFormat, Version: l.version, Endpoints: l.Endpoints(), Rejected: l.rejectedFingerprint})
	if err != nil {
		return nil, fmt.Errorf("encode the endpoint list: %w", err)
	}
	return data, nil
}

// Decode returns the list that Encode has encoded. Its error wraps ErrFormat, ErrCorrupt or an error of the JSON decoder.
func Decode(settings Settings, data []byte) (*List, error) {
	var stored storedList
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decode the endpoint list: %w", err)
	}
	if stored.Format != storedFormat {
		return nil, fmt.Errorf("decode the endpoint list: %w %d, expected %d", ErrFormat, stored.Format, storedFormat)
	}
	list := New(settings)
	list.version, list.rejectedFingerprint = stored.Version, stored.Rejected
	for _, endpoint := range stored.Endpoints {
		if list.endpoints[endpoint.ID] != nil || endpoint.State > Draining || !validWeight(endpoint.Weight) {
			return nil, fmt.Errorf("decode the endpoint list: %w %d", ErrCorrupt, endpoint.ID)
		}
		list.endpoints[endpoint.ID] = &endpoint
	}
	return list, nil
}

// fingerprint returns a text that identifies the content of a file regardless of the order of its backends. Since it is stored,
// its form, the output of fmt.Sprint for a []Backend, is part of the stored format, and so is the order of Backend's fields.
func fingerprint(backends []Backend) string {
	sorted := slices.Clone(backends)
	slices.SortFunc(sorted, func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	return fmt.Sprint(sorted)
}
