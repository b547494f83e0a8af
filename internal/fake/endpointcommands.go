package fake

import (
	"strconv"
	"strings"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// commandArguments are the arguments of a scenario's command. Those that are missing or malformed count as empty and 0.
type commandArguments []string

func (c commandArguments) text(index int) string {
	if index < len(c) {
		return c[index]
	}
	return ""
}

func (c commandArguments) number(index int) float64 {
	value, _ := strconv.ParseFloat(c.text(index), 64) // 0 if malformed, see the type
	return value
}

func (c commandArguments) backend(index int) proto.BackendID {
	return proto.BackendID(c.number(index))
}

var backendStateByName = map[string]proto.BackendState{
	"open":     proto.BackendOpen,
	"draining": proto.BackendDraining,
	"gone":     proto.BackendGone,
}

// handleCommand carries out a scenario's command:
//
//	state EP open|draining|gone   restart EP [ADDR]   add EP ZONE KIND CELL WEIGHT ADDR   weight EP W
//	late SECONDS   fail on|off   stale on|off   show all|none|EP…   break
//
// Commands for backends that the list never had change nothing.
func (s *EndpointService) handleCommand(now statemachine.Seconds, text string) {
	command, rest, _ := strings.Cut(text, " ")
	arguments := commandArguments(strings.Fields(rest))
	switch command {
	case "state", "weight", "restart", "add":
		s.changeEndpoint(now, command, arguments)
	case "late":
		s.faults.delay = arguments.number(0)
	case "fail":
		s.faults.failing = arguments.text(0) == "on"
		if s.faults.failing {
			s.abortWatchers()
		}
	case "stale":
		s.faults.stale = arguments.text(0) == "on"
		if !s.faults.stale {
			s.notifyAll(now)
		}
	case "show":
		s.setVisible(now, arguments)
	case "break":
		s.abortWatchers()
	default:
		logUnknownCommand(s.out, text)
	}
}

// changeEndpoint carries out the commands that change one endpoint.
func (s *EndpointService) changeEndpoint(now statemachine.Seconds, command string, arguments commandArguments) {
	backend := arguments.backend(0)
	endpoint, known := s.listed[backend]
	switch command {
	case "state":
		endpoint.State = backendStateByName[arguments.text(1)]
	case "weight":
		endpoint.Weight = arguments.number(1)
	case "restart":
		endpoint, known = s.everListed[backend]
		endpoint.State = proto.BackendOpen
		endpoint.StartedAt = now
		endpoint.Incarnation++
		if addr := arguments.text(1); addr != "" {
			endpoint.Addr = addr
		}
	case "add":
		cell, _ := strconv.ParseUint(arguments.text(3), 10, 64) // 0 if malformed, see commandArguments
		endpoint = Endpoint{
			Backend: backend, State: proto.BackendOpen, Zone: arguments.text(1), Kind: arguments.text(2), Cell: cell,
			Weight: arguments.number(4), Addr: arguments.text(5), StartedAt: now, Incarnation: s.version + 1,
		}
		known = true
	}
	if known {
		s.change(now, endpoint)
	}
}

// setVisible makes the service show all backends, none or only those given, and sends the watchers full lists.
func (s *EndpointService) setVisible(now statemachine.Seconds, arguments commandArguments) {
	s.faults.visible = nil
	if arguments.text(0) != "all" {
		s.faults.visible = map[proto.BackendID]bool{}
		for i := range arguments {
			s.faults.visible[arguments.backend(i)] = true
		}
	}
	s.version++
	for _, client := range s.watchers {
		client.sentVersion = 0
	}
	s.recordFullList(now)
	s.notifyAll(now)
}
