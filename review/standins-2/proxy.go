package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// proxy is a plain proxy. It does as its tables say, and keeps its tables and what it was told to shut out when its stream changes.
type proxy struct {
	world *world
	id    int
	zone  string
	rates []float64 // requests a second, by class

	mu        sync.Mutex
	running   bool
	ordered   bool                 // it holds an ordered table
	tables    []map[string]float64 // weights, by class
	shutOut   map[string]bool
	retry     []int // by class
	conn      net.Conn
	at        *coordinator // of the stream
	joined    bool
	joinedAt  time.Time
	sentTo    []time.Time // when messages were written to it on this stream
	preferred []*coordinator
	stop      chan struct{}
	usage     []counts // since the last report, by class
	bareSince []time.Time
	bareNoted []bool
}

// counts are those of a report.
type counts struct{ tries, failed int }

func newProxy(w *world, id int, zone string, rates []float64) *proxy {
	p := &proxy{world: w, id: id, zone: zone, rates: rates}
	p.forget()
	return p
}

// forget gives the proxy what it holds at its start: a standing table.
func (p *proxy) forget() {
	n := len(p.rates)
	p.ordered, p.shutOut, p.retry = false, map[string]bool{}, make([]int, n)
	p.tables, p.usage = make([]map[string]float64, n), make([]counts, n)
	p.bareSince, p.bareNoted = make([]time.Time, n), make([]bool, n)
	standing := p.world.standingTable(p.zone)
	for class := range p.tables {
		p.tables[class] = maps.Clone(standing)
	}
}

// start starts the proxy's process with nothing but a standing table.
func (p *proxy) start() {
	p.mu.Lock()
	p.forget()
	p.running, p.stop = true, make(chan struct{})
	stop := p.stop
	p.mu.Unlock()
	p.world.record.say("proxy %d started", p.id)
	go p.dialLoop(stop)
	go p.trafficLoop(stop)
}

// die ends the proxy's process.
func (p *proxy) die() {
	p.mu.Lock()
	if p.running {
		p.running = false
		close(p.stop)
	}
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.joined = false
	p.mu.Unlock()
	p.world.record.say("proxy %d died", p.id)
}

// dialLoop keeps a stream to a coordinator.
func (p *proxy) dialLoop(stop chan struct{}) {
	for {
		for _, candidate := range p.preferred {
			if candidate.isReady() && p.runStream(candidate, stop) {
				break
			}
		}
		wait := p.world.redialMin + time.Duration(rand.Float64()*float64(p.world.redialMax-p.world.redialMin))
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// runStream joins a coordinator and follows its orders until the stream ends. It reports whether it joined.
func (p *proxy) runStream(at *coordinator, stop chan struct{}) bool {
	conn, err := net.DialTimeout("tcp", at.listen, time.Second)
	if err != nil {
		return false
	}
	p.mu.Lock()
	if !p.running {
		p.mu.Unlock()
		_ = conn.Close()
		return false
	}
	fresh := 0
	if !p.ordered {
		fresh = 1
	}
	weight := 0.0
	for _, rate := range p.rates {
		weight += rate
	}
	p.conn, p.at, p.joined, p.joinedAt, p.sentTo = conn, at, true, time.Now(), nil
	shutOut := slices.Sorted(maps.Keys(p.shutOut))
	p.mu.Unlock()
	line := fmt.Sprintf("attach proxy=%d zone=%s weight=%.1f fresh=%d\r\n", p.id, p.zone, weight, fresh)
	p.world.record.say("proxy %d -> %s: %s (shut out: %s)", p.id, at.name, strings.TrimSpace(line), strings.Join(shutOut, ","))
	if _, err := conn.Write([]byte(line)); err != nil {
		_ = conn.Close()
		return false
	}
	arrivals := make(chan delivery, 4096)
	go p.applyLoop(conn, arrivals)
	p.readLoop(conn, at, arrivals)
	close(arrivals)
	_ = conn.Close()
	p.mu.Lock()
	if p.conn == conn {
		p.joined, p.conn = false, nil
	}
	p.mu.Unlock()
	p.world.record.say("proxy %d: stream to %s ended", p.id, at.name)
	return true
}

// delivery is a message on its way from the channel.
type delivery struct {
	entered, arrives time.Time
	parts            []string
}

// readLoop reads messages and puts each into the channel once its last byte has arrived.
func (p *proxy) readLoop(conn net.Conn, at *coordinator, arrivals chan delivery) {
	reader := bufio.NewReaderSize(conn, 1<<20)
	var parts []string
	lines := 0
	for {
		text, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		text = strings.TrimRight(text, "\r\n")
		parts = append(parts, text)
		fields := fieldsOf(text)
		lines += countLines(fields)
		if fields["more"] == "1" {
			continue
		}
		now := time.Now()
		p.mu.Lock()
		p.sentTo = append(p.sentTo, now)
		p.world.checkMessages(p)
		p.mu.Unlock()
		p.world.record.say("%s -> proxy %d: %s", at.name, p.id, strings.Join(parts, " | "))
		arrivals <- delivery{now, at.enterChannel(lines + p.world.headLines), parts}
		parts, lines = nil, 0
	}
}

// fieldsOf returns the words of the form name=value.
func fieldsOf(text string) map[string]string {
	fields := map[string]string{}
	for _, word := range strings.Fields(text)[1:] {
		name, value, _ := strings.Cut(word, "=")
		fields[name] = value
	}
	return fields
}

// countLines counts a part in lines: every line, backend shut out or let back, level, mark and whole.
func countLines(fields map[string]string) (lines int) {
	for _, name := range []string{"lines", "out", "back"} {
		if fields[name] != "" {
			lines += strings.Count(fields[name], ",") + 1
		}
	}
	for _, name := range []string{"level", "ticket", "whole"} {
		if _, there := fields[name]; there {
			lines++
		}
	}
	return lines
}

// applyLoop applies messages when they arrive, in order, and answers their marks.
func (p *proxy) applyLoop(conn net.Conn, arrivals chan delivery) {
	for message := range arrivals {
		if wait := time.Until(message.arrives); wait > 0 {
			time.Sleep(wait)
		}
		p.mu.Lock()
		if p.conn != conn {
			p.mu.Unlock()
			continue // what travels is lost when the stream breaks
		}
		answer := ""
		for _, part := range message.parts {
			if mark := p.apply(fieldsOf(part)); mark != "" {
				took := float64(time.Since(message.entered).Microseconds()) / 1000
				answer = fmt.Sprintf("done proxy=%d mark=%s took_ms=%.1f\r\n", p.id, mark, took)
			}
		}
		p.mu.Unlock()
		if answer != "" {
			p.world.record.say("proxy %d: %s", p.id, strings.TrimSpace(answer))
			_, _ = conn.Write([]byte(answer))
		}
	}
}

// apply applies one part and returns its mark.
func (p *proxy) apply(fields map[string]string) (mark string) {
	for class := range p.tables {
		name := p.world.classes[class]
		if wanted, there := fields["classes"]; there && !slices.Contains(strings.Split(wanted, "+"), name) {
			continue
		}
		if fields["whole"] == "1" {
			p.tables[class], p.ordered, p.retry[class] = map[string]float64{}, true, 0
		}
		for _, line := range splitList(fields["lines"]) {
			server, text, _ := strings.Cut(line, ":")
			weight, _ := strconv.ParseFloat(text, 64)
			p.ordered = true
			if weight <= 0 {
				delete(p.tables[class], server)
			} else {
				p.tables[class][server] = weight
			}
		}
		if text, there := fields["retry"]; there {
			p.retry[class], _ = strconv.Atoi(text)
		}
	}
	for _, server := range splitList(fields["out"]) {
		p.shutOut[server] = true
	}
	for _, server := range splitList(fields["back"]) {
		delete(p.shutOut, server)
	}
	return fields["ticket"]
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// pick draws a server of a class by weight, or returns nil if there is no line to pick.
func (p *proxy) pick(class int) *server {
	total := 0.0
	for name, weight := range p.tables[class] {
		if !p.shutOut[name] {
			total += weight
		}
	}
	draw := rand.Float64() * total
	var last *server
	for name, weight := range p.tables[class] {
		if p.shutOut[name] {
			continue
		}
		last = p.world.server(name)
		if draw -= weight; draw <= 0 {
			break
		}
	}
	return last
}

// trafficLoop sends the proxy's requests.
func (p *proxy) trafficLoop(stop chan struct{}) {
	const turn = 20 * time.Millisecond
	ticker := time.NewTicker(turn)
	defer ticker.Stop()
	credit := make([]float64, len(p.rates))
	for class := range credit {
		credit[class] = rand.Float64()
	}
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for class, rate := range p.rates {
			for credit[class] += rate * turn.Seconds(); credit[class] >= 1; credit[class]-- {
				p.request(class)
			}
		}
	}
}

// request sends one request of a class.
func (p *proxy) request(class int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage[class].tries++
	target := p.pick(class)
	if target == nil {
		p.world.count(p, class, nil, false)
		return
	}
	p.world.checkDrain(p, target)
	p.world.checkCold(p, target)
	ok := target.serve()
	if !ok {
		p.usage[class].failed++
	}
	p.world.count(p, class, target, ok)
}

// report sends the proxy's usage on its stream.
func (p *proxy) report() {
	p.mu.Lock()
	conn, joined := p.conn, p.joined
	usage := p.usage
	p.usage = make([]counts, len(p.rates))
	p.mu.Unlock()
	if !joined || conn == nil {
		return
	}
	for class, seen := range usage {
		if seen.tries > 0 {
			_, _ = fmt.Fprintf(conn, "client_stats proxy=%d class=%s tries=%d failed=%d span_ms=%.1f\r\n",
				p.id, p.world.classes[class], seen.tries, seen.failed, p.world.period.Seconds()*1000)
		}
	}
}

// checkBare notes a class that has had no line to pick for too long. The world's lock is not held.
func (p *proxy) checkBare() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for class := range p.tables {
		bare := p.running && p.joined && p.pick(class) == nil && p.world.warmListed(p, class)
		if !bare {
			p.bareSince[class], p.bareNoted[class] = time.Time{}, false
			continue
		}
		if p.bareSince[class].IsZero() {
			p.bareSince[class] = now
		}
		lasted := now.Sub(p.bareSince[class])
		if lasted > p.world.unservedMax+rulesSlack && !p.bareNoted[class] {
			p.bareNoted[class] = true
			p.world.judge("lost", "proxy %d has had no line to pick for class %s for %.1f s (at most %.1f s) while %s lists a warm open server; "+
				"its table: %v, shut out: %v", p.id, p.world.classes[class], lasted.Seconds(), p.world.unservedMax.Seconds(), p.at.name,
				slices.Sorted(maps.Keys(p.tables[class])), slices.Sorted(maps.Keys(p.shutOut)))
		}
	}
}
