package haproxy

import (
	"math"
	"slices"
	"strings"
)

// maxWeight is the highest weight of a server (manual, 5.2 weight).
const maxWeight = 256

// applyOptions applies and reports the options of a server or default-server line. The first option is the word with index begin.
func (m *importer) applyOptions(server *Server, line Line, begin int) {
	for i := begin; i < len(line.Tokens); {
		word := line.Word(i)
		option, known := serverOptions[word]
		if !known && isNegatedOption(word) {
			m.negateOption(server, line.part(i, i+1))
			i++
			continue
		}
		if !known {
			m.note(line.part(i, len(line.Tokens)), Dropped, "unknown server option %s: what follows it can't be told apart", word)
			return
		}
		end := i + 1 + option.valueCount
		if end > len(line.Tokens) {
			m.fault(line.part(i, i+1).Position, ErrSyntax, "%s needs a value", word)
			m.note(line.part(i, len(line.Tokens)), Dropped, "its value is missing")
			return
		}
		if err := server.setOption(word, line.Word(i+1)); err != nil {
			m.fault(line.part(i, i+1).Position, ErrValue, "%s: %w", word, err)
		}
		m.note(line.part(i, end), option.class, "%s", option.reason)
		i = end
	}
}

// negation is the prefix that turns an option of a server line off.
const negation = "no-"

// isNegatedOption reports whether a word is a known option with the negation prefix.
func isNegatedOption(word string) bool {
	option, negated := strings.CutPrefix(word, negation)
	_, known := serverOptions[option]
	return negated && known
}

// negateOption applies an option such as no-backup. The line consists of that word only.
func (m *importer) negateOption(server *Server, line Line) {
	class := Dropped
	switch strings.TrimPrefix(line.Word(0), negation) {
	case "backup":
		server.Backup, class = false, Carried
	case "disabled":
		server.Disabled, class = false, Carried
	}
	m.note(line, class, "turned off")
}

// setOption sets an option of the server, or checks its value if the option is not carried over. The value is ignored for options
// without one.
func (s *Server) setOption(name, value string) (err error) {
	switch name {
	case "weight":
		var weight int
		if weight, err = parseInteger(value, 0, maxWeight); err == nil {
			s.Weight = weight // An invalid weight is not applied, so that it causes no second fault.
		}
	case "backup":
		s.Backup = true
	case "disabled":
		s.Disabled = true
	case "enabled":
		s.Disabled = false
	case "slowstart":
		s.SlowStart, err = parseDuration(value)
	case "id":
		s.ID, err = parseInteger(value, 1, math.MaxInt32)
	case "track":
		s.Track = value
	default:
		err = checkOption(name, value)
	}
	return err
}

// checkOption checks the value of an option that is not carried over.
func checkOption(name, value string) (err error) {
	switch name {
	case "inter", "fastinter", "downinter":
		_, err = parseDuration(value)
	case "maxconn", "minconn", "maxqueue", "fall", "rise":
		_, err = parseInteger(value, 0, math.MaxInt32)
	case "port":
		_, err = parseInteger(value, 1, maxPort)
	case "addr":
		_, err = parseAddress(value)
	case "init-state":
		if !slices.Contains([]string{"up", "down", "fully-up", "fully-down"}, value) {
			err = classify(ErrValue, "%q is none of up, down, fully-up, fully-down", value)
		}
	}
	return err
}
