package wire

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// TableEntry is the weight of one backend in a table.
type TableEntry struct {
	Backend string
	Weight  float64
}

// Admission is the admission level and the retry policy of some of a table's methods.
type Admission struct {
	Level       float64 // share of the RPCs admitted, or RPCs per second; the setting level_kind says which
	RetryPolicy int     // the platform's number for the policy, the same as in choice.RetryPolicy
}

// Part is a part of a push. All parts of a push take effect at once.
type Part struct {
	Methods  []string // the methods that the part concerns; none stands for all methods
	Complete bool     // the entries replace the whole table of the methods
	Entries  []TableEntry
	// Admission is nil if the part does not change the methods' admission.
	Admission *Admission
	Exclude   []string // names of backends that must not be used
	Restore   []string // names of excluded backends that may be used again
	// Nonce is the number that the proxy must return in its Acknowledgement; nil: none is wanted.
	Nonce *int
}

// maxReasonBytes is the limit on the length of the reason that a rejected peer is sent.
const maxReasonBytes = 200

// AppendHeartbeatReply appends the reply to a Heartbeat.
func AppendHeartbeatReply(dst []byte) []byte { return append(dst, "hb_ok\r\n"...) }

// AppendReject appends the message that says why a connection is rejected. Characters of the reason that a field can't have
// are replaced by underscores.
func AppendReject(dst []byte, reason string) []byte {
	dst = append(dst, "reject why="...)
	for i := range min(len(reason), maxReasonBytes) {
		c := reason[i]
		if c <= ' ' || c > '~' || c == '=' {
			c = '_'
		}
		dst = append(dst, c)
	}
	return append(dst, "\r\n"...)
}

// AppendPush appends a push, whose parts are lines. A part that would exceed MaxMessageBytes is split, and its lists continue
// in further parts. If there are more than MaxPartsPerMessage parts, they form several messages, the last of which has the
// nonce.
func AppendPush(dst []byte, parts []Part) []byte {
	return appendPushWithLimits(dst, parts, MaxMessageBytes, MaxPartsPerMessage)
}

// appendPushWithLimits is AppendPush with given limits on the size and the number of parts.
func appendPushWithLimits(dst []byte, parts []Part, maxBytes, maxParts int) []byte {
	fitting := make([]Part, 0, len(parts))
	for _, part := range parts {
		fitting = append(fitting, splitPart(part, maxBytes)...)
	}
	for i, part := range fitting {
		more := i+1 < len(fitting) && (i+1)%maxParts != 0
		dst = appendPart(dst, part, more)
	}
	return dst
}

// Upper bounds for the encoded size of what is written.
const (
	maxFixedPartBytes = 256 // of a part without its lists, in bytes
	maxWeightBytes    = 26  // of a weight with its separators, in bytes
)

// partSplitter distributes the lists of a part over several parts that do not exceed a size limit.
type partSplitter struct {
	methods  []string
	capacity int    // limit on used
	used     int    // upper bound for the encoded size of the lists of current, in bytes
	current  Part   // the part that list elements are added to
	filled   []Part // the complete parts before current
}

// splitPart splits a part into parts of at most maxBytes each. Complete is set in the first of them; Admission and Nonce
// are set in the last.
func splitPart(part Part, maxBytes int) []Part {
	methodBytes := 0
	for _, method := range part.Methods {
		methodBytes += len(method) + 1
	}
	splitter := &partSplitter{
		methods:  part.Methods,
		capacity: max(1, maxBytes-maxFixedPartBytes-methodBytes),
		current:  Part{Methods: part.Methods, Complete: part.Complete},
	}
	for _, entry := range part.Entries {
		splitter.reserve(len(entry.Backend) + maxWeightBytes)
		splitter.current.Entries = append(splitter.current.Entries, entry)
	}
	for _, backend := range part.Exclude {
		splitter.reserve(len(backend) + 1)
		splitter.current.Exclude = append(splitter.current.Exclude, backend)
	}
	for _, backend := range part.Restore {
		splitter.reserve(len(backend) + 1)
		splitter.current.Restore = append(splitter.current.Restore, backend)
	}
	last := splitter.current
	last.Admission, last.Nonce = part.Admission, part.Nonce
	return append(splitter.filled, last)
}

// reserve makes space for a list element of the given size, beginning another part if the current one has too little space.
func (s *partSplitter) reserve(size int) {
	if s.used > 0 && s.used+size > s.capacity {
		s.filled = append(s.filled, s.current)
		s.current, s.used = Part{Methods: s.methods}, 0
	}
	s.used += size
}

// appendPart appends one part as a line. more says that further parts of the same message follow.
func appendPart(dst []byte, part Part, more bool) []byte {
	dst = append(dst, kindPush...)
	if len(part.Methods) > 0 {
		dst = append(dst, " classes="...)
		dst = append(dst, strings.Join(part.Methods, "+")...)
	}
	if part.Complete {
		dst = append(dst, " whole=1"...)
	}
	dst = appendEntries(dst, part.Entries)
	if part.Admission != nil {
		dst = appendNumber(append(dst, " level="...), part.Admission.Level)
		dst = strconv.AppendInt(append(dst, " retry="...), int64(part.Admission.RetryPolicy), 10)
	}
	dst = appendNames(dst, " out=", part.Exclude)
	dst = appendNames(dst, " back=", part.Restore)
	if part.Nonce != nil {
		dst = strconv.AppendInt(append(dst, " ticket="...), int64(*part.Nonce), 10)
	}
	if more {
		dst = append(dst, " more=1"...)
	}
	return append(dst, "\r\n"...)
}

// appendEntries appends the field with the entries of a table, and nothing if there are none.
func appendEntries(dst []byte, entries []TableEntry) []byte {
	for i, entry := range entries {
		dst = appendSeparator(dst, i, " lines=")
		dst = append(dst, entry.Backend...)
		dst = append(dst, ':')
		dst = appendNumber(dst, entry.Weight)
	}
	return dst
}

// appendNames appends a field with a list of names, and nothing if there are none.
func appendNames(dst []byte, field string, names []string) []byte {
	for i, name := range names {
		dst = appendSeparator(dst, i, field)
		dst = append(dst, name...)
	}
	return dst
}

// appendSeparator appends what precedes the list element with the given index: the field's name or a comma.
func appendSeparator(dst []byte, index int, field string) []byte {
	if index == 0 {
		return append(dst, field...)
	}
	return append(dst, ',')
}

// Range and precision of encoded numbers.
const (
	maxEncodedNumber = 1e9
	encodedDecimals  = 6 // digits after the decimal point
	minEncodedNumber = "0.000001"
)

// appendNumber appends a number without an exponent, since not every receiver can read one. Values that are not finite or
// out of range are replaced by the nearest limit, NaN by 0. A positive number is never written as 0, which would mean that a
// backend gets no requests.
func appendNumber(dst []byte, value float64) []byte {
	if math.IsNaN(value) || value <= 0 {
		return append(dst, '0')
	}
	text := strconv.AppendFloat(nil, min(value, maxEncodedNumber), 'f', encodedDecimals, 64)
	text = bytes.TrimRight(bytes.TrimRight(text, "0"), ".")
	if len(text) == 0 || string(text) == "0" {
		return append(dst, minEncodedNumber...)
	}
	return append(dst, text...)
}
