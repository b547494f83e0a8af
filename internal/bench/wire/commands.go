package wire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"

	"gingerfork/choice"
)

const (
	microsecondsPerSecond      = 1e6
	microsecondsPerMillisecond = 1e3
)

// Reply holds the commands of one instance in answer to a batch.
type Reply struct {
	Coordinator string // name of the instance
	Commands    []choice.Command
}

// InstanceFailed is the command that reports that an instance of the decision module has failed; Text says why.
type InstanceFailed struct{ Text string }

// The bodies of the commands on the wire. Their fields are written in the order in which they are declared, which is the
// alphabetical order of their names on the wire.
type (
	setTableEntry struct {
		Backend     choice.BackendID `json:"Backend"`
		Coordinator string           `json:"CoordinatorId"`
		Weight      float64          `json:"Heft"`
		Table       choice.TableID   `json:"RouteTable"`
	}
	clearTable struct {
		Coordinator string         `json:"CoordinatorId"`
		Table       choice.TableID `json:"RouteTable"`
	}
	bindTable struct {
		Coordinator string         `json:"CoordinatorId"`
		Methods     uint64         `json:"Only"`
		Table       choice.TableID `json:"RouteTable"`
		Proxy       choice.ProxyID `json:"Sidecar"`
	}
	setExclusion struct {
		Backend     choice.BackendID `json:"Backend"`
		Coordinator string           `json:"CoordinatorId"`
		Excluded    bool             `json:"Flag"`
	}
	setAdmission struct {
		Level       float64            `json:"Allowance"`
		Coordinator string             `json:"CoordinatorId"`
		Retry       choice.RetryPolicy `json:"How"`
		Methods     uint64             `json:"Only"`
		Table       choice.TableID     `json:"RouteTable"`
	}
	setNonce struct {
		Coordinator string       `json:"CoordinatorId"`
		Nonce       choice.Nonce `json:"Epoch"`
		All         bool         `json:"Flag"`
	}
	watchEndpoints struct {
		Coordinator string `json:"CoordinatorId"`
		On          bool   `json:"Flag"`
	}
	fetchEndpoints struct {
		Coordinator string `json:"CoordinatorId"`
	}
	probeBackend struct {
		Backend     choice.BackendID `json:"Backend"`
		Coordinator string           `json:"CoordinatorId"`
	}
	setTimer struct {
		At          float64        `json:"AlarmTimeMs"`
		Coordinator string         `json:"CoordinatorId"`
		Timer       choice.TimerID `json:"Token"`
	}
	sendToPeer struct {
		To          choice.PeerID `json:"Addressee"`
		Coordinator string        `json:"CoordinatorId"`
		Data        string        `json:"Octets"` // hexadecimal
	}
	logMessage struct {
		Coordinator string `json:"CoordinatorId"`
		Text        string `json:"Msg"`
	}
)

// Encode encodes the reply to one batch as a line, with its newline.
func Encode(replies []Reply) ([]byte, error) {
	message := struct {
		Commands []map[string]any `json:"orders"`
	}{Commands: []map[string]any{}}
	for _, reply := range replies {
		for _, command := range reply.Commands {
			if _, unsupported := command.(choice.NotifyExclusions); unsupported {
				continue // the simulator has no command that notifies a single proxy
			}
			name, body := encodeCommand(reply.Coordinator, command)
			if name == "" {
				return nil, fmt.Errorf("no wire form for a command of type %T", command)
			}
			message.Commands = append(message.Commands, map[string]any{name: body})
		}
	}
	line, err := json.Marshal(message)
	return append(line, '\n'), err
}

// encodeCommand returns the name of a command on the wire and its body. The name is empty for a command that has no wire form.
func encodeCommand(coordinator string, command choice.Command) (name string, body any) {
	switch command := command.(type) {
	case choice.SetTableEntry:
		return "SetWeight", setTableEntry{Coordinator: coordinator, Table: command.Table, Backend: command.Backend, Weight: command.Weight}
	case choice.ClearTable:
		return "Truncate", clearTable{Coordinator: coordinator, Table: command.Table}
	case choice.BindTable:
		return "HandTable", bindTable{Coordinator: coordinator, Methods: command.Methods, Proxy: command.Proxy, Table: command.Table}
	case choice.SetExclusion:
		return "Suspend", setExclusion{Coordinator: coordinator, Excluded: command.Excluded, Backend: command.Backend}
	case choice.SetAdmission:
		return "GateClass", setAdmission{Coordinator: coordinator, Table: command.Table, Methods: command.Methods, Level: command.Level, Retry: command.Retry}
	case choice.SetNonce:
		return "Seal", setNonce{Coordinator: coordinator, Nonce: command.Nonce, All: command.All}
	case choice.WatchEndpoints:
		return "Follow", watchEndpoints{Coordinator: coordinator, On: command.On}
	case choice.FetchEndpoints:
		return "ListAll", fetchEndpoints{Coordinator: coordinator}
	case choice.ProbeBackend:
		return "Sample", probeBackend{Coordinator: coordinator, Backend: command.Backend}
	default:
		return encodeLocalCommand(coordinator, command)
	}
}

// encodeLocalCommand encodes the commands that concern neither proxies nor backends.
func encodeLocalCommand(coordinator string, command choice.Command) (name string, body any) {
	switch c := command.(type) {
	case choice.SetTimer:
		return "After", setTimer{Coordinator: coordinator, Timer: c.Timer, At: timerMilliseconds(c.At)}
	case choice.SendToPeer:
		return "Publish", sendToPeer{Coordinator: coordinator, To: c.To, Data: hex.EncodeToString(c.Data)}
	case choice.LogMessage:
		return "Print", logMessage{Coordinator: coordinator, Text: c.Text}
	case InstanceFailed:
		return "Die", logMessage{Coordinator: coordinator, Text: c.Text}
	default:
		return "", nil
	}
}

// timerMilliseconds converts the time of a timer to milliseconds. It rounds up to a microsecond, because a timer that fired a
// little too early would be set again for the same time.
func timerMilliseconds(at choice.Seconds) float64 {
	return math.Ceil(at*microsecondsPerSecond) / microsecondsPerMillisecond
}
