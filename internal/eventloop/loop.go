// Package eventloop drives a machine on sockets and real time: gnet event loops read and write, one goroutine owns the
// machine and steps it with all that came since the last step, one goroutine accepts for each listening address, and
// one per dial that is under way. docs/coordinator.md tells why it is cut so.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
	"gingerfork/internal/trace"
)

// Bootstrap is what a loop is started with. Zero values are usable where it says so.
type Bootstrap struct {
	Machine    statemachine.Machine
	Listen     []string     // TCP addresses; the machine knows them as doors, by their place here
	Store      *store.Store // where records are kept; nil: nowhere. Close it after Wait
	Dir        string       // where files are saved; "": nowhere
	EventLoops int          // event loops; 0: one
	// MaxWriteBuffer bounds the bytes that wait for a peer that does not read; a connection past it is reset. 0: 4 MiB
	MaxWriteBuffer int
	// MaxPendingInput bounds the bytes that wait for the machine; past it nothing is read from any connection. 0: 64 MiB
	MaxPendingInput int
	// MaxConnections bounds the connections that stand at once, dialled ones too; past it none is accepted before one ends. The
	// machine ends those that it likes least: it must begin with that before. 0: unbounded
	MaxConnections     int
	DialTimeout        time.Duration // 0: 5 s
	Log                *slog.Logger  // nil: none
	Trace              func([]trace.Record)
	RewriteDialAddress func(addr string) string // where to dial instead; nil: there
	Clock              *Clock                   // nil: one of its own
}

// Clock tells the seconds since 1970 as of its making, and from then on runs with the monotonic clock: it never jumps.
type Clock struct {
	base  float64
	start time.Time
}

// NewClock makes a clock.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{float64(now.UnixNano()) / 1e9, now}
}

// Now is the time in seconds.
func (c *Clock) Now() statemachine.Seconds { return c.base + time.Since(c.start).Seconds() }

// ErrMachineFailed is what Wait returns when the machine failed.
var ErrMachineFailed = errors.New("the machine failed")

// Figures tell how the owner of the machine fares.
type Figures struct {
	Steps, Inputs      int
	LongestStep        time.Duration // that a step took
	BusyTime           time.Duration // all steps together
	SlowReadersClosed  int           // readers cut off for not reading
	ConnectionFailures int           // connections that could not be taken in
}

// Loop is a machine being driven.
type Loop struct {
	boot   Bootstrap
	client *gnet.Client
	ctx    context.Context
	cancel context.CancelFunc
	doors  []net.Listener
	work   sync.WaitGroup
	done   chan struct{}
	err    error

	mu      sync.Mutex
	room    *sync.Cond
	box     []mail
	held    int // bytes in box
	conns   int // that stand or are being dialled
	figures Figures
	nextIn  statemachine.Conn
	over    bool
	rouse   chan struct{}

	sendMu sync.Mutex
	sends  map[gnet.EventLoop][]doing // what each event loop is still to do, in order

	peers  map[statemachine.Conn]*peer // the owner's alone
	keeper *keeper                     // nil: nothing is kept
}

// peer is one connection. conn is set before its Opened is in the box.
type peer struct {
	id      statemachine.Conn
	door    int
	conn    gnet.Conn
	open    bool               // the owner's: its Opened was handed on
	dropped bool               // the owner's: the machine closed it
	giveUp  context.CancelFunc // the owner's: ends its dialling
	refused bool               // its event loop's: cut off
	closed  bool               // its event loop's: its descriptor may be another's by now
}

type mail struct {
	input statemachine.Input
	peer  *peer
	do    func()
}

// Start listens and begins to step the machine. Stop it with Stop or by ending ctx; then Wait.
func Start(ctx context.Context, boot Bootstrap) (*Loop, error) {
	boot.MaxWriteBuffer, boot.MaxPendingInput = orElse(boot.MaxWriteBuffer, 4<<20), orElse(boot.MaxPendingInput, 64<<20)
	boot.DialTimeout, boot.EventLoops = orElse(boot.DialTimeout, 5*time.Second), orElse(boot.EventLoops, 1)
	if boot.Log == nil {
		boot.Log = slog.New(slog.DiscardHandler)
	}
	if boot.Clock == nil {
		boot.Clock = NewClock()
	}
	l := &Loop{boot: boot, done: make(chan struct{}), rouse: make(chan struct{}, 1), sends: map[gnet.EventLoop][]doing{}, peers: map[statemachine.Conn]*peer{}}
	l.room = sync.NewCond(&l.mu)
	for _, addr := range boot.Listen {
		door, err := net.Listen("tcp", addr)
		if err != nil {
			l.shutDoors()
			return nil, fmt.Errorf("listen on %s: %w", addr, err)
		}
		l.doors = append(l.doors, door)
	}
	var err error
	l.client, err = gnet.NewClient(&handler{l: l}, gnet.WithNumEventLoop(boot.EventLoops), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogLevel(logging.FatalLevel), gnet.WithLogger(quiet{}))
	if err == nil {
		err = l.client.Start()
	}
	if err != nil {
		l.shutDoors()
		return nil, fmt.Errorf("start the event loops: %w", err)
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	for i, door := range l.doors {
		l.work.Add(1)
		go l.accept(i, door)
	}
	if boot.Store != nil {
		l.keeper = newKeeper(boot.Store, l.ctx.Done(), func(i statemachine.Input) { l.post(mail{input: i}) })
		go l.keeper.run() // end waits for it
	}
	go l.own()
	return l, nil
}

func orElse[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (l *Loop) shutDoors() {
	for _, d := range l.doors {
		d.Close()
	}
}

// Addrs are the addresses listened on, in the order of Bootstrap.Listen.
func (l *Loop) Addrs() (all []string) {
	for _, d := range l.doors {
		all = append(all, d.Addr().String())
	}
	return all
}

// SendCommand hands the machine an operator's or a script's word.
func (l *Loop) SendCommand(text string) {
	l.post(mail{input: statemachine.Input{Kind: statemachine.OperatorCommand, Text: text}})
}

// RunBetweenSteps has something done by the machine's owner, between two steps: what the machine is told that way must not
// reach it from another goroutine.
func (l *Loop) RunBetweenSteps(do func()) { l.post(mail{do: do}) }

// Figures gives the counts since the start.
func (l *Loop) Figures() Figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.figures
}

// Stop ends the loop; all connections are closed.
func (l *Loop) Stop() { l.cancel() }

// Wait returns when the loop has ended and all that it started is gone.
func (l *Loop) Wait() error {
	<-l.done
	return l.err
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// accept takes connections in. Running out of descriptors must not end that (gnet's own acceptor would end the whole
// engine): it waits for one to be given back.
func (l *Loop) accept(door int, from net.Listener) {
	defer l.work.Done()
	wait := time.Millisecond
	for {
		c, err := from.Accept()
		switch {
		case l.ctx.Err() != nil:
			if err == nil {
				c.Close()
			}
			return
		case err != nil:
			l.refuse("accept", err)
			select {
			case <-l.ctx.Done():
				return
			case <-time.After(wait):
			}
			wait = min(2*wait, 250*time.Millisecond)
			continue
		}
		wait = time.Millisecond
		l.mu.Lock()
		for l.boot.MaxConnections > 0 && l.conns >= l.boot.MaxConnections && !l.over {
			l.room.Wait()
		}
		l.conns++
		l.nextIn++
		p := &peer{id: l.nextIn, door: door}
		l.mu.Unlock()
		if _, err = l.client.EnrollContext(c, p); err != nil {
			l.less()
			l.refuse("enroll", err)
		}
	}
}

// less counts a connection that ended.
func (l *Loop) less() {
	l.mu.Lock()
	l.conns--
	l.room.Broadcast()
	l.mu.Unlock()
}

func (l *Loop) refuse(what string, err error) {
	l.mu.Lock()
	l.figures.ConnectionFailures++
	n := l.figures.ConnectionFailures
	l.mu.Unlock()
	if n&(n-1) == 0 {
		l.boot.Log.Warn("a connection could not be taken in", "at", what, "cause", err, "times", n)
	}
}

func (l *Loop) dial(ctx context.Context, p *peer, addr string) {
	defer l.work.Done()
	defer p.giveUp()
	if l.boot.RewriteDialAddress != nil {
		addr = l.boot.RewriteDialAddress(addr)
	}
	d := net.Dialer{Timeout: l.boot.DialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err == nil {
		_, err = l.client.EnrollContext(c, p)
	}
	if err != nil {
		l.less()
		why := "can't be reached"
		if errors.Is(err, syscall.ECONNREFUSED) {
			why = "refused"
		} else if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
			why = "no answer"
		}
		l.post(mail{input: statemachine.Input{Kind: statemachine.ConnClosed, Conn: p.id, Text: why, LocalFailure: short(err)}, peer: p})
	}
}

// short tells whether it was we who ran short of something: that says nothing of who was dialled.
func short(err error) bool {
	for _, of := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, of) {
			return true
		}
	}
	return false
}

// post puts mail into the owner's box. Where too much waits, the event loop that brings it is held until there is room:
// then the kernel's buffers fill and the senders feel it.
func (l *Loop) post(m mail) {
	l.mu.Lock()
	for l.held > l.boot.MaxPendingInput && len(m.input.Data) > 0 && !l.over {
		l.room.Wait()
	}
	l.box = append(l.box, m)
	l.held += len(m.input.Data)
	l.mu.Unlock()
	select {
	case l.rouse <- struct{}{}:
	default:
	}
}

// own is the goroutine that owns the machine.
func (l *Loop) own() {
	out := &statemachine.Effects{}
	out.Reset()
	timer := time.NewTimer(0)
	var inputs []statemachine.Input
	var box []mail
	for l.ctx.Err() == nil {
		l.mu.Lock()
		box, l.box = l.box, box[:0]
		l.held = 0
		l.room.Broadcast()
		l.mu.Unlock()
		now := l.boot.Clock.Now()
		inputs = l.sort(box, inputs[:0])
		clear(box)
		if len(inputs) > 0 || len(box) > 0 || now >= out.WakeAt || out.WakeAt == statemachine.Never {
			out.Reset()
			begin := time.Now()
			l.boot.Machine.Step(now, inputs, out)
			took := time.Since(begin)
			l.mu.Lock()
			l.figures.Steps++
			l.figures.Inputs += len(inputs)
			l.figures.BusyTime += took
			l.figures.LongestStep = max(l.figures.LongestStep, took)
			l.mu.Unlock()
			if out.Failure != "" {
				l.boot.Log.Error("the machine failed", "cause", out.Failure)
				l.err = fmt.Errorf("%w: %s", ErrMachineFailed, out.Failure)
				break
			}
			if err := l.carry(out); err != nil {
				l.boot.Log.Error("a file could not be saved", "cause", err)
			}
			if out.Stop {
				break
			}
		}
		wait := time.Duration(min(max(out.WakeAt-l.boot.Clock.Now(), 0), 3600) * 1e9)
		timer.Reset(wait)
		select {
		case <-l.rouse:
		case <-timer.C:
		case <-l.ctx.Done():
		}
	}
	timer.Stop()
	l.end()
}

func (l *Loop) end() {
	l.cancel()
	l.shutDoors()
	l.mu.Lock()
	l.over = true
	l.room.Broadcast()
	l.mu.Unlock()
	l.work.Wait()
	if l.keeper != nil {
		<-l.keeper.closed
	}
	if err := l.client.Stop(); err != nil && l.err == nil {
		l.err = fmt.Errorf("stop the event loops: %w", err)
	}
	close(l.done)
}

// sort turns mail into what the machine is to hear: nothing of connections that it has closed.
func (l *Loop) sort(box []mail, inputs []statemachine.Input) []statemachine.Input {
	for _, m := range box {
		p := m.peer
		if m.do != nil {
			m.do()
			continue
		}
		if p == nil {
			inputs = append(inputs, m.input)
			continue
		}
		switch m.input.Kind {
		case statemachine.ConnOpened:
			if p.dropped {
				l.shut(p, false)
				continue
			}
			p.open = true
			l.peers[p.id] = p
		case statemachine.ConnClosed:
			delete(l.peers, p.id)
		}
		if !p.dropped {
			inputs = append(inputs, m.input)
		}
	}
	return inputs
}

// shut closes a connection on its own event loop.
func (l *Loop) shut(p *peer, reset bool) {
	kind := statemachine.ActionClose
	if reset {
		kind = statemachine.ActionAbort
	}
	_ = l.send(doing{peer: p, kind: kind})
}

// send has a connection's event loop do something. The order is kept by a queue of ours: of what is handed to gnet, what
// comes while much waits may be done after what comes later.
func (l *Loop) send(d doing) error {
	on := d.peer.conn.EventLoop()
	l.sendMu.Lock()
	before := len(l.sends[on])
	l.sends[on] = append(l.sends[on], d)
	l.sendMu.Unlock()
	if before > 0 {
		return nil // whoever put the first in has it done
	}
	return on.Execute(l.ctx, gnet.RunnableFunc(func(context.Context) error {
		l.sendMu.Lock()
		todo := l.sends[on]
		l.sends[on] = nil
		l.sendMu.Unlock()
		l.do(todo)
		return nil
	}))
}

// doing is what an event loop is to do with one connection.
type doing struct {
	peer  *peer
	kind  statemachine.ActionKind
	bytes []byte
}

// carry does what a step wants done; writes and closes go to each event loop in order.
func (l *Loop) carry(out *statemachine.Effects) error {
	for _, a := range out.Actions {
		if a.Kind == statemachine.ActionDial {
			p := &peer{id: a.Conn}
			ctx, giveUp := context.WithCancel(l.ctx)
			p.giveUp = giveUp
			l.peers[a.Conn] = p
			l.mu.Lock()
			l.conns++
			l.mu.Unlock()
			l.work.Add(1)
			go l.dial(ctx, p, a.Addr)
			continue
		}
		p := l.peers[a.Conn]
		if p == nil || p.dropped {
			continue
		}
		if a.Kind != statemachine.ActionWrite {
			p.dropped = true
			delete(l.peers, a.Conn)
		}
		if !p.open {
			if p.dropped {
				p.giveUp() // a descriptor less for one that is not wanted any more; should it stand already, it is closed at once
			}
			continue
		}
		if err := l.send(doing{p, a.Kind, a.Data}); err != nil && l.ctx.Err() == nil {
			return fmt.Errorf("hand writes to an event loop: %w", err)
		}
	}
	for _, n := range out.LogEntries {
		l.boot.Log.Log(l.ctx, []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}[n.Level], n.Message, n.Attributes...)
	}
	if out.Batch > 0 && l.keeper != nil {
		l.keeper.keep(out.Mutations, out.Batch)
	}
	if l.boot.Trace != nil && len(out.Trace) > 0 {
		l.boot.Trace(out.Trace)
	}
	for name, data := range out.Files {
		if l.boot.Dir != "" {
			if err := replaceFile(filepath.Join(l.boot.Dir, name), data); err != nil {
				return err
			}
		}
	}
	return nil
}

// do runs on the event loop that the connections belong to.
func (l *Loop) do(todo []doing) {
	for _, d := range todo {
		c := d.peer.conn
		// It may have ended since this was decided, and gnet writes to a descriptor whoever has it by now.
		if d.peer.closed {
			continue
		}
		switch d.kind {
		case statemachine.ActionWrite:
			if d.peer.refused {
				continue
			}
			if c.OutboundBuffered()+len(d.bytes) > l.boot.MaxWriteBuffer {
				// It holds up only itself, and not for ever.
				d.peer.refused = true
				l.mu.Lock()
				l.figures.SlowReadersClosed++
				l.mu.Unlock()
				_ = c.SetLinger(0)
				_ = c.Close()
				continue
			}
			_, _ = c.Write(d.bytes) // a failed write closes the connection, and OnClose tells
		case statemachine.ActionAbort:
			_ = c.SetLinger(0)
			_ = c.Close()
		default:
			_ = c.Close()
		}
	}
}

// replaceFile writes a file whole or not at all: to one beside it, synced, then renamed over it.
func replaceFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return nil
}

// handler is what gnet calls, on its event loops.
type handler struct {
	gnet.BuiltinEventEngine
	l *Loop
}

func (h *handler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	p, ok := c.Context().(*peer)
	if !ok {
		return nil, gnet.Close
	}
	p.conn = c
	h.l.post(mail{input: statemachine.Input{Kind: statemachine.ConnOpened, Conn: p.id, Listener: p.door}, peer: p})
	return nil, gnet.None
}

func (h *handler) OnTraffic(c gnet.Conn) gnet.Action {
	p, ok := c.Context().(*peer)
	if !ok {
		return gnet.Close
	}
	b, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if len(b) > 0 {
		h.l.post(mail{input: statemachine.Input{Kind: statemachine.ConnData, Conn: p.id, Data: append([]byte(nil), b...)}, peer: p})
	}
	return gnet.None
}

func (h *handler) OnClose(c gnet.Conn, err error) gnet.Action {
	if p, ok := c.Context().(*peer); ok {
		p.closed = true
		h.l.less()
		why := "closed by the other side"
		if p.refused {
			why = "it did not read what was sent"
		} else if err != nil && errors.Is(err, syscall.ECONNRESET) {
			why = "reset by the other side"
		}
		h.l.post(mail{input: statemachine.Input{Kind: statemachine.ConnClosed, Conn: p.id, Text: why}, peer: p})
	}
	return gnet.None
}

// quiet keeps gnet's own log off our output: what matters of it reaches us as errors.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}
