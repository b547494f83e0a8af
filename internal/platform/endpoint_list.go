package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// hostDocument is a backend in discovery's format.
type hostDocument struct {
	Host   string
	Dial   string
	Site   string
	Class  string
	Block  wholeNumber
	Health string
	Share  *float64
	BornMs float64 `json:"born_ms"`
}

// Values of hostDocument.Health.
const (
	healthActive  = "active"
	healthLeaving = "leaving"
	healthLeft    = "left"
)

// listDocument is an endpoint list in discovery's format: the whole list, or what has changed since an earlier version.
type listDocument struct {
	Seq   *wholeNumber
	Whole bool
	Hosts *[]hostDocument
}

// Limits on what discovery may send.
const (
	maxNameBytes     = 128
	maxShare         = 1e6
	maxBornMs        = 1e15
	maxExactIntegers = 1 << 53 // up to this size a float64 represents every integer
)

var errIncompleteList = errors.New("endpoint list without version or hosts")

// wholeNumber is an integer in any JSON notation. encoding/json rejects 41.0 for Go's integers, although to JSON it is the
// same number as 41, and one such number would make the whole list unusable.
type wholeNumber int64

// UnmarshalJSON implements json.Unmarshaler.
func (w *wholeNumber) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	if n, err := strconv.ParseInt(string(data), 10, 64); err == nil {
		*w = wholeNumber(n)
		return nil
	}
	value, err := strconv.ParseFloat(string(data), 64)
	if err != nil || value != math.Trunc(value) || math.Abs(value) > maxExactIntegers {
		return fmt.Errorf("%.32s is not a whole number", data)
	}
	*w = wholeNumber(value)
	return nil
}

// parseEndpointList decodes and checks a list.
func parseEndpointList(data []byte) (*listDocument, error) {
	list := &listDocument{}
	if err := json.Unmarshal(data, list); err != nil {
		return nil, fmt.Errorf("decode endpoint list: %w", err)
	}
	if list.Seq == nil || list.Hosts == nil {
		return nil, errIncompleteList
	}
	seen := make(map[string]bool, len(*list.Hosts))
	for i := range *list.Hosts {
		host := &(*list.Hosts)[i]
		if err := host.check(); err != nil {
			return nil, err
		}
		if seen[host.Host] {
			return nil, fmt.Errorf("endpoint list has %s twice", host.Host)
		}
		seen[host.Host] = true
	}
	return list, nil
}

func (h *hostDocument) check() error {
	switch {
	case !validName(h.Host):
		return fmt.Errorf("endpoint list has a host with the invalid name %.64q", h.Host)
	case h.Health != healthActive && h.Health != healthLeaving && h.Health != healthLeft:
		return fmt.Errorf("endpoint list has host %s with the unknown health %.32q", h.Host, h.Health)
	case h.Share != nil && (math.IsNaN(*h.Share) || *h.Share < 0 || *h.Share > maxShare):
		return fmt.Errorf("endpoint list has host %s with share %v, which is out of range", h.Host, *h.Share)
	case math.IsNaN(h.BornMs) || h.BornMs < 0 || h.BornMs > maxBornMs:
		return fmt.Errorf("endpoint list has host %s with born_ms %v, which is out of range", h.Host, h.BornMs)
	}
	return nil
}

// validName returns whether a name can be used in pushes, in which names stand between other characters.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if c := name[i]; c <= ' ' || c > '~' || c == ',' || c == ':' || c == '=' || c == '+' {
			return false
		}
	}
	return true
}
