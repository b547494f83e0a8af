package trace

import "strconv"

// timeDecimals is the number of decimals of a record's time, which is written to the microsecond.
const timeDecimals = 6

// Record is one event of a run. Its Kind determines which of the other fields it uses, and for what.
type Record struct {
	Time        float64 // seconds, on the clock of the run
	Kind        string
	Party       string // name of the process that the record is about
	Coordinator string // name
	Zone        string
	Backend     uint32
	RPCID       uint64
	Method      int // index of the method in the settings
	Nonce       int // number of a push, which the proxy repeats in its acknowledgement
	Count       int64
	Value       float64
	Text        string
}

// Keys of the fields, in the order in which a line has them.
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
	textKey        = "text" // key of the field Text: the value is quoted and may contain spaces, so the field is always the last
)

// Append appends the record as one line with its newline. Fields with the zero value are left out.
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
