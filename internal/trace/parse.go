package trace

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Sizes of the buffer for one line, in bytes.
const (
	initialLineBuffer = 1 << 16
	maxLineSize       = 1 << 24
)

// ErrUnknownField is wrapped by the error for a key that belongs to no field of a Record.
var ErrUnknownField = errors.New("unknown field")

// Read reads a whole trace. If a line cannot be parsed, it returns the records before that line and an error with its number.
func Read(in io.Reader) (records []Record, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, initialLineBuffer), maxLineSize)
	for number := 1; scanner.Scan(); number++ {
		record, err := Parse(scanner.Text())
		if err != nil {
			return records, fmt.Errorf("trace line %d: %w", number, err)
		}
		records = append(records, record)
	}
	return records, scanner.Err()
}

// Parse parses one line, with or without its trailing newline.
func Parse(line string) (Record, error) {
	var record Record
	var err error
	timeText, rest, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
	if record.Time, err = strconv.ParseFloat(timeText, 64); err != nil {
		return record, fmt.Errorf("time %q: %w", timeText, err)
	}
	record.Kind, rest, _ = strings.Cut(rest, " ")
	for rest != "" {
		key, value, _ := strings.Cut(rest, "=")
		if key == textKey {
			rest = ""
		} else {
			value, rest, _ = strings.Cut(value, " ")
		}
		if err := record.parseField(key, value); err != nil {
			return record, err
		}
	}
	return record, nil
}

func (r *Record) parseField(key, value string) (err error) {
	switch key {
	case partyKey:
		r.Party = value
	case coordinatorKey:
		r.Coordinator = value
	case zoneKey:
		r.Zone = value
	case backendKey:
		var backend int64
		backend, err = strconv.ParseInt(value, 10, 64)
		r.Backend = uint32(backend)
	case rpcIDKey:
		r.RPCID, err = strconv.ParseUint(value, 10, 64)
	case methodKey:
		r.Method, err = strconv.Atoi(value)
	case nonceKey:
		r.Nonce, err = strconv.Atoi(value)
	case countKey:
		r.Count, err = strconv.ParseInt(value, 10, 64)
	case valueKey:
		r.Value, err = strconv.ParseFloat(value, 64)
	case textKey:
		r.Text, err = strconv.Unquote(value)
	default:
		return fmt.Errorf("%w %q", ErrUnknownField, key)
	}
	if err != nil {
		return fmt.Errorf("field %s: %w", key, err)
	}
	return nil
}
