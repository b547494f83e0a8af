package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// hostDocument is a backend in discovery's JSON format, whose field names it has.
type hostDocument struct {
	Host   string      // name of the backend
	Dial   string      // address of the backend; empty if it has not changed
	Site   string      // zone of the backend
	Class  string      // kind of machine that the backend runs on
	Block  wholeNumber // number of the group of backends that may fail together
	Health string      // one of healthActive, healthLeaving and healthLeft
	Share  *float64    // weight; nil stands for defaultWeight
	BornMs float64     `json:"born_ms"` // start of the backend's process, in milliseconds since the Unix epoch
}

// Values of hostDocument.Health.
const (
	healthActive  = "active"
	healthLeaving = "leaving" // the backend is draining: it must get no new requests
	healthLeft    = "left"    // the backend was removed from the endpoint list
)

// listDocument is an endpoint list in discovery's JSON format: the full list, or the changes since an earlier version. Pointers
// tell a missing field, which makes the list invalid, from a zero value.
type listDocument struct {
	Seq   *wholeNumber    // version of the list
	Whole bool            // this is the full list, not the changes
	Hosts *[]hostDocument // all backends, or those that have changed since the earlier version
}

// Limits on the values that are accepted from discovery.
const (
	maxNameBytes    = 128
	maxShare        = 1e6     // of hostDocument.Share
	maxBornMs       = 1e15    // of hostDocument.BornMs
	maxExactInteger = 1 << 53 // a float64 represents every integer up to this one
)

var errIncompleteList = errors.New("endpoint list has no version (seq) or no hosts")

// wholeNumber is an integer that may have any JSON notation. encoding/json does not decode 41.0 into Go's integer types,
// although in JSON it is the same number as 41, and one such number would make the whole list unusable.
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
	if err != nil || value != math.Trunc(value) || math.Abs(value) > maxExactInteger {
		return fmt.Errorf("%.32s is not a whole number", data)
	}
	*w = wholeNumber(value)
	return nil
}

// parseEndpointList decodes a list and checks its values.
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
		if err := host.validate(); err != nil {
			return nil, err
		}
		if seen[host.Host] {
			return nil, fmt.Errorf("endpoint list version %d lists host %s twice", *list.Seq, host.Host)
		}
		seen[host.Host] = true
	}
	return list, nil
}

// validate returns an error if a value is unknown or out of range.
func (h *hostDocument) validate() error {
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

// validName returns whether a name can be sent in pushes, in which the characters ",:=+" and spaces separate values.
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
