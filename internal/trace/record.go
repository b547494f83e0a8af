package trace

import "strconv"

// timeDecimals is how many decimals the time of a record has: microseconds.
const timeDecimals = 6

// Record is one event of a run. Which fields it uses depends on its Kind.
type Record struct {
	Time        float64 // in seconds
	Kind        string
	Party       string
	Coordinator string
	Zone        string
	Backend     uint32
	RPCID       uint64
	Method      int
	Nonce       int
	Count       int64
	Value       float64
	Text        string
}

// Keys of the fields in a line, in their order.
const (
	partyKey       = "who"
	coordinatorKey = "of"
	zoneKey        = "zone"
	backendKey     = "ep"
	rpcIDKey       = "rpc"
	methodKey      = "method"
	nonceKey       = "mark"
	countKey       = "n"
	valueKey       = "x"
	textKey        = "text" // quoted, and always the last
)

// Append adds the line of the record, with its newline. Fields that are zero are left out.
func (r Record) Append(line []byte) []byte {
	line = strconv.AppendFloat(line, r.Time, 'f', timeDecimals, 64)
	line = append(line, ' ')
	line = append(line, r.Kind...)
	line = appendName(line, partyKey, r.Party)
	line = appendName(line, coordinatorKey, r.Coordinator)
	line = appendName(line, zoneKey, r.Zone)
	line = appendInteger(line, backendKey, int64(r.Backend))
	if r.RPCID != 0 {
		line = appendKey(line, rpcIDKey)
		line = strconv.AppendUint(line, r.RPCID, 10)
	}
	line = appendInteger(line, methodKey, int64(r.Method))
	line = appendInteger(line, nonceKey, int64(r.Nonce))
	line = appendInteger(line, countKey, r.Count)
	if r.Value != 0 {
		line = appendKey(line, valueKey)
		line = strconv.AppendFloat(line, r.Value, 'g', -1, 64)
	}
	if r.Text != "" {
		line = appendKey(line, textKey)
		line = strconv.AppendQuote(line, r.Text)
	}
	return append(line, '\n')
}

func appendKey(line []byte, key string) []byte {
	line = append(line, ' ')
	line = append(line, key...)
	return append(line, '=')
}

func appendName(line []byte, key, name string) []byte {
	if name == "" {
		return line
	}
	line = appendKey(line, key)
	return append(line, name...)
}

func appendInteger(line []byte, key string, value int64) []byte {
	if value == 0 {
		return line
	}
	line = appendKey(line, key)
	return strconv.AppendInt(line, value, 10)
}
