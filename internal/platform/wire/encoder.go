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

// Admission is the admission level of a table's methods and the number that the platform has for their retry policy.
type Admission struct {
	Level       float64
	RetryPolicy int
}

// Part is a part of a push. All parts of a push take effect at once.
type Part struct {
	Methods  []string // that the part concerns; none stands for all methods
	Complete bool     // the entries replace the whole table of the methods
	Entries  []TableEntry
	// Admission is nil if the part does not change it.
	Admission *Admission
	Exclude   []string // backends
	Restore   []string // backends
	// Nonce is nil if no acknowledgement is wanted.
	Nonce *int
}

// maxReasonBytes is the limit on the reason of a rejection.
const maxReasonBytes = 200

// AppendHeartbeatReply appends the reply to a Heartbeat.
func AppendHeartbeatReply(dst []byte) []byte { return append(dst, "hb_ok\r\n"...) }

// AppendReject appends the message that says why a connection is refused. Characters of the reason that can't be part of
// a field are replaced.
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

// AppendPush appends a push. The lists of a part that exceeds MaxMessageBytes continue in further parts. If there are
// more parts than MaxPartsPerMessage, they are sent as several messages, the last of which has the nonce.
func AppendPush(dst []byte, parts []Part) []byte {
	return appendPushWithin(dst, parts, MaxMessageBytes, MaxPartsPerMessage)
}

func appendPushWithin(dst []byte, parts []Part, maxBytes, maxParts int) []byte {
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

// Upper bounds for the size of what is written.
const (
	fixedPartBytes = 256 // of a part without its lists
	weightBytes    = 26  // of a weight with its separators
)

// partSplitter distributes the lists of a part over parts that fit into a size.
type partSplitter struct {
	methods []string
	space   int // bytes for the lists of one part
	used    int // bytes in current
	current Part
	full    []Part
}

// splitPart returns parts of at most maxBytes that together say the same as the given one.
func splitPart(part Part, maxBytes int) []Part {
	methodBytes := 0
	for _, method := range part.Methods {
		methodBytes += len(method) + 1
	}
	splitter := &partSplitter{
		methods: part.Methods,
		space:   max(1, maxBytes-fixedPartBytes-methodBytes),
		current: Part{Methods: part.Methods, Complete: part.Complete},
	}
	for _, entry := range part.Entries {
		splitter.reserve(len(entry.Backend) + weightBytes)
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
	return append(splitter.full, last)
}

// reserve makes space for a list element and begins another part if the current one has not enough.
func (s *partSplitter) reserve(size int) {
	if s.used > 0 && s.used+size > s.space {
		s.full = append(s.full, s.current)
		s.current, s.used = Part{Methods: s.methods}, 0
	}
	s.used += size
}

// appendPart appends one part; more says that further parts of the same message follow.
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

func appendEntries(dst []byte, entries []TableEntry) []byte {
	for i, entry := range entries {
		dst = appendSeparator(dst, i, " lines=")
		dst = append(dst, entry.Backend...)
		dst = append(dst, ':')
		dst = appendNumber(dst, entry.Weight)
	}
	return dst
}

func appendNames(dst []byte, field string, names []string) []byte {
	for i, name := range names {
		dst = appendSeparator(dst, i, field)
		dst = append(dst, name...)
	}
	return dst
}

// appendSeparator appends what comes before the list element of the given index.
func appendSeparator(dst []byte, index int, field string) []byte {
	if index == 0 {
		return append(dst, field...)
	}
	return append(dst, ',')
}

// Range and precision of the numbers that are written.
const (
	maxWritten      = 1e9
	writtenDecimals = 6
	minWritten      = "0.000001"
)

// appendNumber appends a number without an exponent, which not every receiver can read. Values that are not finite or out
// of range are replaced by the nearest limit, NaN by 0. A positive number is never written as 0, which would mean that a
// backend gets nothing.
func appendNumber(dst []byte, value float64) []byte {
	if math.IsNaN(value) || value <= 0 {
		return append(dst, '0')
	}
	text := strconv.AppendFloat(nil, min(value, maxWritten), 'f', writtenDecimals, 64)
	text = bytes.TrimRight(bytes.TrimRight(text, "0"), ".")
	if len(text) == 0 || string(text) == "0" {
		return append(dst, minWritten...)
	}
	return append(dst, text...)
}
