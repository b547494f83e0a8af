package emulator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// logWarning has the value of statemachine.LogWarning.
const logWarning = 2

// Backend connects a Model to the wire protocol: it decodes the messages of clients and encodes the model's replies. It
// implements statemachine.Machine.
type Backend struct {
	config        Config
	model         *Model                              // nil before the first step
	readers       map[statemachine.Conn]*proto.Reader // readers of the open connections
	out           *statemachine.Effects               // effects of the current step
	nextSampleAt  Seconds
	maxTimerDelay Seconds // how late a timer was handled at most, since the last sample in the trace
}

// NewBackend returns a backend whose emulated process starts at the first step.
func NewBackend(config Config) *Backend {
	return &Backend{config: config, readers: map[statemachine.Conn]*proto.Reader{}}
}

// Step implements statemachine.Machine.
func (b *Backend) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	b.out = out
	if b.model == nil {
		b.model = NewModel(b.config, now)
		if b.config.StartsCold {
			capacity := b.config.Capacity([]float64{1})
			out.Record(trace.Record{Time: now, Kind: trace.BackendStarted, Backend: b.config.Backend, Value: capacity})
		}
	}
	b.maxTimerDelay = max(b.maxTimerDelay, now-b.model.NextTimer())
	b.advance(now)
	for _, input := range inputs {
		b.handleInput(input)
		b.advance(now)
	}
	if at := b.model.NextTimer(); !math.IsInf(at, 1) {
		out.WakeBy(at)
	}
	if b.config.SampleInterval > 0 {
		if now >= b.nextSampleAt {
			b.nextSampleAt = now + b.config.SampleInterval
			b.recordSample(now)
		}
		out.WakeBy(b.nextSampleAt)
	}
}

func (b *Backend) handleInput(input statemachine.Input) {
	switch input.Kind {
	case statemachine.ConnOpened:
		b.readers[input.Conn] = &proto.Reader{}
		b.model.Connect(ConnID(input.Conn), "") // the client's Hello names its coordinator
	case statemachine.ConnClosed:
		delete(b.readers, input.Conn)
		b.model.Disconnect(ConnID(input.Conn))
	case statemachine.OperatorCommand:
		if err := b.model.command(input.Text); err != nil {
			logRejectedCommand(b.out, input.Text, err)
		}
	case statemachine.ConnData:
		if reader := b.readers[input.Conn]; reader != nil {
			reader.Feed(input.Data)
			b.readMessages(input.Conn, reader)
		}
	}
}

func logRejectedCommand(out *statemachine.Effects, text string, err error) {
	out.Log(logWarning, "command rejected", "command", text, "error", err.Error())
}

// recordSample writes trace records of the backend's state and of the longest delay of its timers since the last sample.
func (b *Backend) recordSample(now statemachine.Seconds) {
	_, queued, coreUsage := b.model.Load()
	b.out.Record(trace.Record{
		Time: now, Kind: trace.BackendSampled, Backend: b.config.Backend, Value: b.model.Capacity(now, 0), Count: int64(queued),
		Text: strconv.FormatFloat(coreUsage, 'g', 3, 64),
	})
	b.out.Record(trace.Record{Time: now, Kind: trace.ScheduleDelay, Backend: b.config.Backend, Value: max(0, b.maxTimerDelay)})
	b.maxTimerDelay = 0
}

// readMessages handles the complete messages that a connection has received. Invalid data closes the connection.
func (b *Backend) readMessages(conn statemachine.Conn, reader *proto.Reader) {
	connID := ConnID(conn)
	for b.readers[conn] == reader {
		message, err := reader.Next()
		if err != nil {
			b.out.Write(conn, proto.Append(nil, proto.Reject{Reason: err.Error()}))
			b.out.Close(conn)
			delete(b.readers, conn)
			b.model.Disconnect(connID)
			return
		}
		switch message := message.(type) {
		case nil:
			return
		case proto.Hello:
			reader.HandshakeDone()
			b.model.SetCoordinator(connID, message.TablesOf)
			name := fmt.Sprint("server-", b.config.Backend)
			b.out.Write(conn, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: name}))
		case proto.Probe:
			b.model.Probe(connID, message.ID)
		case proto.RPC:
			b.model.Submit(connID, RPC{
				ID: message.ID, Method: int(message.Method), IdempotencyKey: message.IdempotencyKey, CacheKey: message.CacheKey,
				TimeLeft: message.TimeLeft,
			})
		}
	}
}

// Capacity returns how many RPCs of a method per second the backend can execute at present; 0 before the first step. It
// serves observers of the backend's true state, such as the scenario player.
func (b *Backend) Capacity(now statemachine.Seconds, method int) float64 {
	if b.model == nil {
		return 0
	}
	return b.model.Capacity(now, method)
}

// Load returns what Model.Load returns, or zeros before the first step. It serves observers of the backend's true state, such
// as the scenario player.
func (b *Backend) Load() (inFlight, queued int, coreUsage float64) {
	if b.model == nil {
		return 0, 0, 0
	}
	return b.model.Load()
}

// advance advances the model to now and applies its effects.
func (b *Backend) advance(now statemachine.Seconds) {
	for _, effect := range b.model.Advance(now) {
		b.apply(now, effect)
	}
}

func (b *Backend) apply(now statemachine.Seconds, effect Effect) {
	switch effect := effect.(type) {
	case Reply:
		b.write(effect.Conn, proto.Reply{
			ID: effect.ID, Status: proto.Status(effect.Status), HasLoad: effect.Load >= 0, Load: max(0, effect.Load),
		})
	case ProbeReply:
		b.write(effect.Conn, proto.ProbeReply{ID: effect.ID, Status: proto.Status(effect.Status)})
	case Executed:
		b.recordExecution(now, effect.RPC)
	case OverloadApproached:
		b.out.Record(trace.Record{Time: now, Kind: trace.LoadOffered, Backend: b.config.Backend, Value: effect.Ratio, Count: int64(effect.RPCs)})
	case Collapsed:
		b.out.Record(trace.Record{Time: now, Kind: trace.BackendCollapsed, Backend: b.config.Backend})
		for _, conn := range slices.Sorted(maps.Keys(b.readers)) {
			b.out.Abort(conn)
		}
		clear(b.readers)
	case ConnRejected:
		b.out.Abort(statemachine.Conn(effect.Conn))
		delete(b.readers, statemachine.Conn(effect.Conn))
	}
}

func (b *Backend) recordExecution(now statemachine.Seconds, rpc RPC) {
	record := trace.Record{Time: now, Kind: trace.EffectExecuted, Backend: b.config.Backend, RPCID: rpc.ID, Method: rpc.Method}
	if rpc.IdempotencyKey != 0 {
		record.Text = strconv.FormatUint(rpc.IdempotencyKey, 10)
	}
	b.out.Record(record)
}

func (b *Backend) write(connID ConnID, message proto.Message) {
	conn := statemachine.Conn(connID)
	if b.readers[conn] != nil {
		b.out.Write(conn, proto.Append(nil, message))
	}
}
