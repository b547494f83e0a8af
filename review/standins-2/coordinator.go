package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// knowledge is what a coordinator was told of a server, and since when.
type knowledge struct {
	entry  host
	since  time.Time
	closed time.Time // when it was first told that the server drains or, where that counts, is gone; zero: it is active
}

// coordinator is one real coordinator, a process that the deploy file's run starts, with its channel to the proxies.
type coordinator struct {
	world     *world
	name      string
	listen    string
	discovery string
	road      *relay // to discovery
	index     int
	zone      string

	mu          sync.Mutex
	process     *exec.Cmd
	exited      chan struct{}
	stopping    bool
	ready       bool
	firstAnswer time.Time            // when discovery first answered it since its start
	told        map[string]knowledge // by server
	lastSeq     int
	freeAt      time.Time // when the last line will have left the channel
	waiting     []queued
}

// queued is a message that waits in the channel until it leaves.
type queued struct {
	leaves time.Time
	lines  int
}

func (c *coordinator) onTold(document listDocument, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstAnswer.IsZero() {
		c.firstAnswer = now
	}
	c.lastSeq = document.Seq
	listed := map[string]bool{}
	for _, entry := range document.Hosts {
		listed[entry.Host] = true
		c.learn(entry, now)
	}
	if document.Whole {
		for name, former := range c.told {
			if !listed[name] && former.entry.Health != "left" {
				former.entry.Health = "left"
				c.learn(former.entry, now)
			}
		}
	}
}

// learn notes what the coordinator was told of a server.
func (c *coordinator) learn(entry host, now time.Time) {
	former, known := c.told[entry.Host]
	if known && former.entry.Health == entry.Health && former.entry.BornMs == entry.BornMs {
		if now.Before(former.since) { // what was lost at first has arrived before it would have counted as told
			former.since = now
			if !former.closed.IsZero() {
				former.closed = now
			}
			c.told[entry.Host] = former
		}
		return
	}
	news := knowledge{entry: entry, since: now}
	binds := entry.Health == "leaving" || entry.Health == "left" && !c.world.onlyDraining
	switch {
	case entry.Health != "active" && !former.closed.IsZero():
		news.closed = former.closed
	case binds:
		news.closed = now
	}
	c.told[entry.Host] = news
}

// knows returns what the coordinator was told of a server.
func (c *coordinator) knows(name string) knowledge {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told[name]
}

// known returns the list as the coordinator had it last.
func (c *coordinator) known() listDocument {
	c.mu.Lock()
	defer c.mu.Unlock()
	document := listDocument{Seq: c.lastSeq, Whole: true, Hosts: []host{}}
	for _, former := range c.told {
		if former.entry.Health != "left" {
			document.Hosts = append(document.Hosts, former.entry)
		}
	}
	return document
}

// configPath is the place of the configuration file.
func (c *coordinator) configPath() string { return filepath.Join(c.world.folder, c.name+".json") }

func (c *coordinator) writeConfig(known listDocument) error {
	settings := c.world.settings(c)
	config := map[string]any{
		"name": c.name, "listen": c.listen, "discovery": c.discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings,
	}
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.configPath(), data, 0o600)
}

// start starts the process with the list that it is to have had last, and returns once it answers a heartbeat.
func (c *coordinator) start(known listDocument) error {
	if err := c.writeConfig(known); err != nil {
		return err
	}
	command := exec.Command("/bin/sh", "-c", c.world.runLine)
	command.Dir = c.world.root
	command.Env = append(os.Environ(), "NODE_NAME="+c.name, "NODE_LISTEN="+c.listen, "NODE_DISCOVERY="+c.discovery,
		"NODE_CONFIG="+c.configPath(), "TMPDIR="+c.world.folder)
	log, err := os.OpenFile(filepath.Join(c.world.folder, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = log, log
	c.mu.Lock()
	c.told, c.firstAnswer, c.lastSeq = map[string]knowledge{}, time.Time{}, known.Seq
	for _, entry := range known.Hosts {
		c.told[entry.Host] = knowledge{entry: entry}
	}
	c.waiting, c.freeAt = nil, time.Time{}
	c.stopping = false
	c.mu.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	c.mu.Lock()
	c.process, c.exited = command, exited
	c.mu.Unlock()
	c.world.record.say("coordinator %s started", c.name)
	go func() {
		err := command.Wait()
		_ = log.Close()
		c.mu.Lock()
		c.ready = false
		unexpected := !c.stopping
		c.mu.Unlock()
		close(exited)
		if unexpected {
			c.world.record.broke("coordinator %s ended by itself: %v", c.name, err)
		}
	}()
	return c.awaitReady()
}

// awaitReady waits for the answer to a heartbeat.
func (c *coordinator) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", c.listen, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write([]byte("hb\r\n"))
		line, err := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if err == nil && strings.HasPrefix(line, "hb_ok") {
			c.mu.Lock()
			c.ready = true
			c.mu.Unlock()
			c.world.record.say("coordinator %s answers the heartbeat", c.name)
			return nil
		}
	}
	return fmt.Errorf("coordinator %s was not ready in time", c.name)
}

// stop ends the process with a signal and waits for its end.
func (c *coordinator) stop(signal syscall.Signal) {
	c.mu.Lock()
	process, exited := c.process, c.exited
	c.stopping, c.ready = true, false
	c.mu.Unlock()
	if process == nil {
		return
	}
	c.world.record.say("coordinator %s gets signal %v", c.name, signal)
	_ = process.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(2 * time.Second):
		_ = process.Process.Kill()
		<-exited
	}
}

// isReady reports whether the coordinator may be used.
func (c *coordinator) isReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// enterChannel puts a message of some lines into the channel and returns when it arrives at its proxy.
func (c *coordinator) enterChannel(lines int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.waiting) > 0 && !c.waiting[0].leaves.After(now) {
		c.waiting = c.waiting[1:]
	}
	if c.freeAt.Before(now) {
		c.freeAt = now
	}
	c.freeAt = c.freeAt.Add(time.Duration(float64(lines) / c.world.linesPerS * float64(time.Second)))
	c.waiting = append(c.waiting, queued{c.freeAt, lines})
	total := 0
	for _, message := range c.waiting {
		total += message.lines
	}
	c.world.checkWaiting(c, total)
	transit := time.Duration(float64(c.world.pushDelay) * (0.5 + rand.Float64())) // at most 1.5 times the mean, below the worst
	return c.freeAt.Add(transit)
}
