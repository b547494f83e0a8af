package invariant

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"gingerfork/internal/trace"
)

// unboundTable is the table number of a method that has no table.
const unboundTable = -1

// proxyTable is one table of a proxy: the weight of each backend in it.
type proxyTable map[uint32]float64

// proxy is the state of a proxy as its records show it.
type proxy struct {
	coordinator     string             // name of the coordinator that the proxy is joined to; "": none
	joinTime        float64            // when the proxy joined its coordinator, or when a later partition from the coordinator ended
	tables          map[int]proxyTable // by table number
	tablesFrom      string             // name of the coordinator that sent the tables
	methodTable     []int              // table number of each method, or unboundTable
	excluded        map[uint32]bool    // backends that the coordinator took out of use
	lastPushApplied float64            // when the proxy last put a push into effect
	pushTimes       []float64          // when the pushes of the last Limits.MessageWindow seconds were sent to the proxy, oldest first
	pausedUntil     float64            // end of the last pause of the proxy's process
	partitions      map[string]int     // by coordinator's name: number of present partitions between the coordinator and the proxy

	noBackendSince   []float64 // by method: when the method lost its last usable backend; infinite while it has one
	noBackendCounted []bool    // by method: the present period without a backend was counted as a violation
}

func newProxy(methods int) *proxy {
	p := &proxy{
		tables: map[int]proxyTable{}, partitions: map[string]int{}, excluded: map[uint32]bool{},
		methodTable: make([]int, methods), noBackendSince: make([]float64, methods), noBackendCounted: make([]bool, methods),
	}
	for m := range p.methodTable {
		p.methodTable[m] = unboundTable
	}
	return p
}

// connectedTo returns the coordinator that the proxy is joined to and not partitioned from; "" if there is none.
func (p *proxy) connectedTo() string {
	if p.partitions[p.coordinator] > 0 {
		return ""
	}
	return p.coordinator
}

// updateNoBackendSince updates since when each method has no usable backend, after a change to the tables or exclusions.
func (p *proxy) updateNoBackendSince(now float64) {
	for m, table := range p.methodTable {
		switch {
		case p.usable(p.tables[table]):
			p.noBackendSince[m], p.noBackendCounted[m] = math.Inf(1), false
		case math.IsInf(p.noBackendSince[m], 1):
			p.noBackendSince[m] = now
		}
	}
}

// usable reports whether a table has a backend that is not excluded.
func (p *proxy) usable(table proxyTable) bool {
	for backend, weight := range table {
		if weight > 0 && !p.excluded[backend] {
			return true
		}
	}
	return false
}

// applyPush applies the table operations that a proxy put into effect. The trace has them, separated by semicolons, as "bind
// TABLE METHODS BACKEND:WEIGHT[!]... -BACKEND...", "line TABLE BACKEND:WEIGHT[!]", "clear TABLE", "level TABLE METHODS LEVEL
// TRIES", "withdraw BACKEND" and "readmit BACKEND". METHODS is a bit set, 0 for all methods. ! marks an entry whose backend is
// excluded, - a backend that is excluded without an entry.
func (c *checker) applyPush(record trace.Record) error {
	p := c.proxy(record.Party)
	c.checkAvailability(record.Party, p, record.Time)
	p.lastPushApplied = record.Time
	if record.Text != "" {
		for _, operation := range strings.Split(record.Text, ";") {
			if err := p.applyOperation(record.Coordinator, strings.Fields(operation)); err != nil {
				return fmt.Errorf("operation %q: %w", operation, err)
			}
		}
	}
	p.updateNoBackendSince(c.now)
	return nil
}

// parseNumber parses the word at an index as a number that is not negative; it returns false if there is none.
func parseNumber(words []string, index int) (int, bool) {
	if index >= len(words) {
		return 0, false
	}
	n, err := strconv.Atoi(words[index])
	return n, err == nil && n >= 0
}

func (p *proxy) applyOperation(coordinator string, words []string) error {
	number, ok := parseNumber(words, 1)
	if !ok {
		return fmt.Errorf("%w: no table or backend number", ErrBadOperation)
	}
	table, bound := p.tables[number]
	switch words[0] {
	case "withdraw":
		p.excluded[uint32(number)] = true
	case "readmit":
		delete(p.excluded, uint32(number))
	case "bind":
		return p.bind(coordinator, number, words)
	case "line":
		if bound && len(words) > 2 {
			return p.setEntry(table, words[2])
		}
	case "clear":
		clear(table)
	case "level":
	default:
		return fmt.Errorf("%w: unknown operation %s", ErrBadOperation, words[0])
	}
	return nil
}

// bind gives the proxy a new table for a set of methods and replaces its exclusions. The first bind operation of another
// coordinator than before removes all earlier tables, as table numbers are private to a coordinator.
func (p *proxy) bind(coordinator string, tableID int, words []string) error {
	if p.tablesFrom != coordinator {
		p.tablesFrom, p.tables = coordinator, map[int]proxyTable{}
		for m := range p.methodTable {
			p.methodTable[m] = unboundTable
		}
	}
	table := proxyTable{}
	p.tables[tableID] = table
	p.excluded = map[uint32]bool{}
	if len(words) < 3 {
		return fmt.Errorf("%w: no set of methods", ErrBadOperation)
	}
	methods, err := strconv.ParseUint(words[2], 10, 64)
	if err != nil {
		return fmt.Errorf("%w: methods: %w", ErrBadOperation, err)
	}
	for m := range p.methodTable {
		if methods == 0 || methods>>m&1 == 1 {
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

// setEntry sets a table entry, given as BACKEND:WEIGHT or BACKEND:WEIGHT!, or excludes a backend, given as -BACKEND. An entry of
// weight 0 is removed.
func (p *proxy) setEntry(table proxyTable, entry string) error {
	if excludedID, ok := strings.CutPrefix(entry, "-"); ok {
		backend, err := parseBackend(excludedID)
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
