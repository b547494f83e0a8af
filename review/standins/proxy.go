package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// channel carries what a coordinator orders to its proxies: one message after the other at the pace of the settings, each of
// which then takes the time of the settings.
type channel struct {
	mu      sync.Mutex
	freeAt  time.Time
	pace    float64 // lines a second
	delay   time.Duration
	header  int
	waiting int
}

// enter queues a message of a number of lines and returns when it arrives.
func (c *channel) enter(lines int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.freeAt.Before(now) {
		c.freeAt = now
	}
	c.freeAt = c.freeAt.Add(time.Duration(float64(lines+c.header) / c.pace * float64(time.Second)))
	return c.freeAt.Add(c.delay)
}

// table is what a proxy holds for one class.
type table struct {
	lines map[string]float64
	level float64
	retry int
}

// proxy is a stand-in for a proxy. It does as its tables say.
type proxy struct {
	world    *world
	number   int
	zone     string
	weight   float64
	classes  []string
	usualHow int
	channels map[string]*channel // by coordinator

	mu       sync.Mutex
	fresh    bool
	tables   map[string]*table
	outs     map[string]bool
	conn     net.Conn
	node     string  // the coordinator that it is joined to
	joinedAt float64 // when it wrote its joining
	silent   bool    // cut off from its coordinator: nothing passes, nothing is closed
	arrival  time.Time
	messages int
	resets   int
	tableAt  float64 // when the first whole table of this stream was applied
	sentAt   float64 // when the last message that was applied had been sent

	attempts map[string]*tally // since the last report, by backend
	requests map[string]int    // since the last report, by class
	random   *rand.Rand
}

type tally struct{ tries, failed int }

// newProxy returns a proxy with a standing table.
func newProxy(w *world, number int, zone string, weight float64, classes []string, standing []string) *proxy {
	p := &proxy{
		world: w, number: number, zone: zone, weight: weight, classes: classes, fresh: true, tables: map[string]*table{}, outs: map[string]bool{},
		attempts: map[string]*tally{}, requests: map[string]int{}, random: rand.New(rand.NewPCG(7, uint64(number))), channels: map[string]*channel{},
	}
	for _, class := range classes {
		p.tables[class] = &table{lines: map[string]float64{}, level: 1}
		for _, name := range standing {
			p.tables[class].lines[name] = 1
		}
	}
	return p
}

// join opens a stream. It reports whether the joining could be written.
func (p *proxy) join(n *node) bool {
	conn, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := 0
	if p.fresh {
		fresh = 1
	}
	if _, err := fmt.Fprintf(conn, "attach proxy=%d zone=%s weight=%.1f fresh=%d\r\n", p.number, p.zone, p.weight, fresh); err != nil {
		conn.Close()
		return false
	}
	p.conn, p.node, p.joinedAt, p.silent, p.tableAt = conn, n.name, p.world.now(), false, 0
	go p.read(conn, n)
	return true
}

// leave ends the stream from the proxy's side.
func (p *proxy) leave() {
	p.mu.Lock()
	conn := p.conn
	p.conn, p.node = nil, ""
	p.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// abandon gives up a stream that is cut off: the connection stays open and silent.
func (p *proxy) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn, p.node = nil, ""
}

// read reads the orders on a stream. What arrives while the proxy is cut off is lost.
func (p *proxy) read(conn net.Conn, n *node) {
	reader := bufio.NewReaderSize(conn, 1<<20)
	var parts []map[string]string
	lines := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			p.streamEnded(conn, n)
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 || words[0] != "assign" {
			if len(words) > 0 && words[0] == "reject" {
				p.world.log("proxy %d is rejected by %s: %s", p.number, n.name, strings.TrimSpace(line))
			}
			continue
		}
		part := map[string]string{}
		for _, word := range words[1:] {
			name, value, _ := strings.Cut(word, "=")
			part[name] = value
		}
		parts = append(parts, part)
		lines += linesOf(part)
		if part["more"] == "1" {
			continue
		}
		message := parts
		entered := time.Now()
		arrives := p.channels[n.name].enter(lines)
		p.mu.Lock()
		p.messages++
		if arrives.Before(p.arrival) {
			arrives = p.arrival
		}
		p.arrival = arrives
		p.mu.Unlock()
		time.AfterFunc(time.Until(arrives), func() { p.apply(conn, message, entered) })
		parts, lines = nil, 0
	}
}

// linesOf counts the lines of a part as the platform does.
func linesOf(part map[string]string) (lines int) {
	for _, name := range []string{"lines", "out", "back"} {
		if part[name] != "" {
			lines += strings.Count(part[name], ",") + 1
		}
	}
	for _, name := range []string{"level", "ticket", "whole"} {
		if part[name] != "" {
			lines++
		}
	}
	return lines
}

func (p *proxy) streamEnded(conn net.Conn, n *node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	p.conn = nil
	p.resets++
}

// apply carries out a message, and answers its mark.
func (p *proxy) apply(conn net.Conn, message []map[string]string, entered time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn || p.silent {
		return
	}
	for _, part := range message {
		p.applyPart(part)
	}
	p.sentAt = entered.Sub(p.world.start).Seconds()
	if mark := message[len(message)-1]["ticket"]; mark != "" {
		fmt.Fprintf(conn, "done proxy=%d mark=%s took_ms=%.1f\r\n", p.number, mark, float64(time.Since(entered).Microseconds())/1000)
	}
}

func (p *proxy) applyPart(part map[string]string) {
	classes := p.classes
	if part["classes"] != "" {
		classes = strings.Split(part["classes"], "+")
	}
	for _, class := range classes {
		held := p.tables[class]
		if part["whole"] == "1" {
			held.lines, held.level, held.retry = map[string]float64{}, 1, p.usualHow
			p.fresh = false
			if p.tableAt == 0 {
				p.tableAt = p.world.now()
			}
		}
		for _, pair := range splitList(part["lines"]) {
			name, text, _ := strings.Cut(pair, ":")
			weight, _ := strconv.ParseFloat(text, 64)
			if held.lines[name] = weight; weight <= 0 {
				delete(held.lines, name)
			}
		}
		if part["level"] != "" {
			held.level, _ = strconv.ParseFloat(part["level"], 64)
			held.retry, _ = strconv.Atoi(part["retry"])
		}
	}
	for _, name := range splitList(part["out"]) {
		p.outs[name] = true
	}
	for _, name := range splitList(part["back"]) {
		delete(p.outs, name)
	}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// pick picks a line of the class's table by weight, without those that are shut out or in the given list. It returns "" if
// there is none.
func (p *proxy) pick(class string, without ...string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	total := 0.0
	for name, weight := range p.tables[class].lines {
		if !p.outs[name] && !slices.Contains(without, name) {
			names = append(names, name)
			total += weight
		}
	}
	slices.Sort(names)
	place := p.random.Float64() * total
	for _, name := range names {
		if place -= p.tables[class].lines[name]; place <= 0 {
			return name
		}
	}
	return ""
}

// count counts a try for the next report.
func (p *proxy) count(class, name string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if class != "" {
		p.requests[class]++
	}
	if name == "" {
		return
	}
	if p.attempts[name] == nil {
		p.attempts[name] = &tally{}
	}
	p.attempts[name].tries++
	if failed {
		p.attempts[name].failed++
	}
}

// collector forwards the reports of a zone to one coordinator.
type collector struct {
	zone    string
	node    *node
	proxies []*proxy
	members func() []*proxy // if set, the proxies at present
	silent  bool
	conn    net.Conn
}

func (c *collector) run(w *world, period time.Duration, meanMs float64) {
	for range time.Tick(period) {
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", c.node.listen, time.Second)
			if err != nil {
				continue
			}
			fmt.Fprintf(conn, "telemetry zone=%s\r\n", c.zone)
			c.conn = conn
		}
		var text strings.Builder
		total := map[string]*tally{}
		proxies := c.proxies
		if c.members != nil {
			proxies = c.members()
		}
		for _, p := range proxies {
			p.mu.Lock()
			if p.node == c.node.name {
				for name, one := range p.attempts {
					if total[name] == nil {
						total[name] = &tally{}
					}
					total[name].tries += one.tries
					total[name].failed += one.failed
				}
				for class, requests := range p.requests {
					fmt.Fprintf(&text, "client_stats proxy=%d class=%s tries=%d failed=0 span_ms=%d\r\n", p.number, class, requests, period.Milliseconds())
				}
				p.attempts, p.requests = map[string]*tally{}, map[string]int{}
			}
			p.mu.Unlock()
		}
		for name, one := range total {
			mean := meanMs
			if one.tries == one.failed {
				mean = 0
			}
			fmt.Fprintf(&text, "upstream_stats zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=%d\r\n",
				c.zone, name, one.tries, one.failed, mean, period.Milliseconds())
		}
		if c.silent {
			continue
		}
		if _, err := c.conn.Write([]byte(text.String())); err != nil {
			c.conn.Close()
			c.conn = nil
		}
	}
}
