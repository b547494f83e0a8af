package coordinator

import (
	"slices"
	"strings"
	"unicode"

	"gingerfork/internal/proto"
)

// maxNameBytes is the maximum length of the name and of the zone in a hello.
const maxNameBytes = 64

// sendHello starts the handshake on a connection that this coordinator dialed. On a connection to a backend it also sends the
// probe.
func (m *Machine) sendHello(step *stepContext, session *session) {
	hello := proto.Hello{Version: proto.Version, Name: m.bootstrap.Name, Zone: m.bootstrap.Zone}
	switch session.role {
	case roleEndpointList:
		hello.Role = proto.RoleWatcher
		step.send(session, hello)
	case roleProbe:
		hello.Role = proto.RoleClient
		step.effects.Write(session.conn, proto.Append(proto.Append(nil, hello), proto.Probe{ID: 1}))
	case rolePeer:
		hello.Role = proto.RolePeer
		step.send(session, hello)
	case roleHandshaking, roleProxy:
		// These sessions are accepted, not dialed: the other side sends the hello.
	}
}

// handleHello completes the handshake on a connection that was accepted.
func (m *Machine) handleHello(step *stepContext, session *session, hello proto.Hello) error {
	if hello.Version != proto.Version {
		return &protocolVersionError{version: hello.Version}
	}
	if !validName(hello.Name) || hello.Zone != "" && !validName(hello.Zone) {
		return errInvalidName
	}
	session.name = hello.Name
	session.reader.HandshakeDone()
	switch hello.Role {
	case proto.RoleProxy:
		if !m.knownZone(hello.Zone) {
			return &unknownZoneError{zone: hello.Zone}
		}
		session.role = roleProxy
		step.send(session, m.welcome())
		step.effects.Log(logInfo, "proxy joined",
			"proxy", hello.Name, "zone", hello.Zone, "rate_rps", hello.Rate, "tables_from", hello.TablesOf)
		step.raise(proxyJoined{streamID(session.conn), hello})
		return nil
	case proto.RolePeer:
		session.role = rolePeer
		session.established = true
		step.send(session, m.welcome())
		return nil
	}
	return &unsupportedRoleError{role: hello.Role}
}

// welcome returns the reply to a hello that is accepted.
func (m *Machine) welcome() proto.Welcome {
	settings := &m.bootstrap.ModuleConfig.Settings
	welcome := proto.Welcome{Version: proto.Version, Name: m.bootstrap.Name, ReportPeriod: settings.ReportPeriod.Or(1)}
	for _, method := range settings.Methods {
		welcome.Methods = append(welcome.Methods, method.Name)
	}
	return welcome
}

// knownZone returns whether the settings have the zone. If they have no zones, any zone is known.
func (m *Machine) knownZone(zone string) bool {
	zones := m.bootstrap.ModuleConfig.Settings.Zones
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// validName returns whether a name can be written to logs, traces and terminals.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) })
}
