package invariant

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"gingerfork/internal/trace"
)

// noTable stands for the table of a method that is bound to none.
const noTable = -1

// proxyTable is one table of a proxy: the weight of each backend that it may use.
type proxyTable map[uint32]float64

// proxy is the state of a proxy as its records show it.
type proxy struct {
	coordinator string // the one that it joined; "" while it is not joined
	joinTime    float64
	tables      map[int]proxyTable
	tablesFrom  string // coordinator that bound the tables
	methodTable []int  // table of each method, or noTable
	excluded    map[uint32]bool
	lastApply   float64
	pushTimes   []float64
	pausedUntil float64
	partitions  map[string]int // partitions from each coordinator; a coordinator behind one cannot reach the proxy

	uncoveredSince   []float64 // by method; infinite while it has a usable backend
	violationCounted []bool    // by method: the present uncovered time was counted
}

func newProxy(methods int) *proxy {
	p := &proxy{
		tables: map[int]proxyTable{}, partitions: map[string]int{}, excluded: map[uint32]bool{},
		methodTable: make([]int, methods), uncoveredSince: make([]float64, methods), violationCounted: make([]bool, methods),
	}
	for m := range p.methodTable {
		p.methodTable[m] = noTable
	}
	return p
}

// connectedTo is the coordinator whose messages can reach the proxy, "" if none's can.
func (p *proxy) connectedTo() string {
	if p.partitions[p.coordinator] > 0 {
		return ""
	}
	return p.coordinator
}

// updateCoverage determines anew which methods have a usable backend.
func (p *proxy) updateCoverage(now float64) {
	for m, table := range p.methodTable {
		switch {
		case p.usable(p.tables[table]):
			p.uncoveredSince[m], p.violationCounted[m] = math.Inf(1), false
		case math.IsInf(p.uncoveredSince[m], 1):
			p.uncoveredSince[m] = now
		}
	}
}

// usable tells whether a table holds a backend that is not excluded.
func (p *proxy) usable(table proxyTable) bool {
	for backend, weight := range table {
		if weight > 0 && !p.excluded[backend] {
			return true
		}
	}
	return false
}

// applyPush follows the table operations that a proxy put into effect. They stand in the trace as "bind TABLE METHODS
// EP:W[!]... -EP...", "line TABLE EP:W[!]", "clear TABLE", "level TABLE METHODS LEVEL TRIES", "withdraw EP" and "readmit EP";
// ! and - stand for a backend that is excluded.
func (c *checker) applyPush(record trace.Record) error {
	p := c.proxy(record.Party)
	c.checkAvailability(record.Party, p, record.Time)
	p.lastApply = record.Time
	if record.Text != "" {
		for _, operation := range strings.Split(record.Text, ";") {
			if err := p.applyOperation(record.Coordinator, strings.Fields(operation)); err != nil {
				return fmt.Errorf("operation %q: %w", operation, err)
			}
		}
	}
	p.updateCoverage(c.now)
	return nil
}

// parseNumber reads a word as a number that is not negative; false where there is none.
func parseNumber(words []string, index int) (int, bool) {
	if index >= len(words) {
		return 0, false
	}
	n, err := strconv.Atoi(words[index])
	return n, err == nil && n >= 0
}

func (p *proxy) applyOperation(from string, words []string) error {
	number, ok := parseNumber(words, 1)
	if !ok {
		return fmt.Errorf("%w: it has no number", ErrBadOperation)
	}
	table, bound := p.tables[number]
	switch words[0] {
	case "withdraw":
		p.excluded[uint32(number)] = true
	case "readmit":
		delete(p.excluded, uint32(number))
	case "bind":
		return p.bind(from, number, words)
	case "line":
		if bound && len(words) > 2 {
			return p.setEntry(table, words[2])
		}
	case "clear":
		clear(table)
	case "level":
	default:
		return fmt.Errorf("%w: unknown", ErrBadOperation)
	}
	return nil
}

// bind gives the proxy a new table for some methods. The first one from another coordinator replaces all earlier tables.
func (p *proxy) bind(from string, tableID int, words []string) error {
	if p.tablesFrom != from {
		p.tablesFrom, p.tables = from, map[int]proxyTable{}
		for m := range p.methodTable {
			p.methodTable[m] = noTable
		}
	}
	table := proxyTable{}
	p.tables[tableID] = table
	p.excluded = map[uint32]bool{}
	if len(words) < 3 {
		return fmt.Errorf("%w: it has no methods", ErrBadOperation)
	}
	mask, err := strconv.ParseUint(words[2], 10, 64)
	if err != nil {
		return fmt.Errorf("%w: methods: %w", ErrBadOperation, err)
	}
	for m := range p.methodTable {
		if mask == 0 || mask>>m&1 == 1 {
			p.methodTable[m] = tableID
		}
	}
	for _, entry := range words[3:] {
		if err := p.setEntry(table, entry); err != nil {
			return err
		}
	}
	return nil
}

// setEntry sets a table entry, given as EP:W, EP:W! or -EP.
func (p *proxy) setEntry(table proxyTable, entry string) error {
	if removed, ok := strings.CutPrefix(entry, "-"); ok {
		backend, err := parseBackend(removed)
		if err == nil {
			p.excluded[backend] = true
		}
		return err
	}
	entry, excluded := strings.CutSuffix(entry, "!")
	id, weightText, _ := strings.Cut(entry, ":")
	backend, err := parseBackend(id)
	if err != nil {
		return err
	}
	weight, err := strconv.ParseFloat(weightText, 64)
	if err != nil {
		return fmt.Errorf("%w: weight: %w", ErrBadOperation, err)
	}
	if weight == 0 {
		delete(table, backend)
	} else {
		table[backend] = weight
	}
	if excluded {
		p.excluded[backend] = true
	} else {
		delete(p.excluded, backend)
	}
	return nil
}

func parseBackend(word string) (uint32, error) {
	n, err := strconv.ParseUint(word, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%w: backend: %w", ErrBadOperation, err)
	}
	return uint32(n), nil
}
