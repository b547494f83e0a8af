package proto

import "fmt"

// Message types, as in the type byte of a frame.
const (
	typeHello MessageType = iota + 1
	typeWelcome
	typeReject
	typePush
	typeAcknowledgement
	typeReports
	typeWatchEndpoints
	typeFetchEndpoints
	typeEndpointUpdate
	typeRPC
	typeReply
	typeProbe
	typeProbeReply
	typePeerMessage
	typeReportsReceived
)

func (Hello) messageType() MessageType           { return typeHello }
func (Welcome) messageType() MessageType         { return typeWelcome }
func (Reject) messageType() MessageType          { return typeReject }
func (Push) messageType() MessageType            { return typePush }
func (Acknowledgement) messageType() MessageType { return typeAcknowledgement }
func (Reports) messageType() MessageType         { return typeReports }
func (WatchEndpoints) messageType() MessageType  { return typeWatchEndpoints }
func (FetchEndpoints) messageType() MessageType  { return typeFetchEndpoints }
func (EndpointUpdate) messageType() MessageType  { return typeEndpointUpdate }
func (RPC) messageType() MessageType             { return typeRPC }
func (Reply) messageType() MessageType           { return typeReply }
func (Probe) messageType() MessageType           { return typeProbe }
func (ProbeReply) messageType() MessageType      { return typeProbeReply }
func (PeerMessage) messageType() MessageType     { return typePeerMessage }
func (ReportsReceived) messageType() MessageType { return typeReportsReceived }

// codecs holds, for each message type, its decoder and its name in the reason of a Reject. The names are part of the wire
// protocol: they are those of its first version and do not change when a Go type is renamed.
var codecs = map[MessageType]struct {
	wireName string
	decode   func(*decoder) Message
}{
	typeHello:           {"proto.Hello", decodeHello},
	typeWelcome:         {"proto.Welcome", decodeWelcome},
	typeReject:          {"proto.Refuse", decodeReject},
	typePush:            {"proto.Push", decodePush},
	typeAcknowledgement: {"proto.Answer", decodeAcknowledgement},
	typeReports:         {"proto.Sums", decodeReports},
	typeWatchEndpoints:  {"proto.Watch", decodeWatchEndpoints},
	typeFetchEndpoints:  {"proto.Fetch", decodeFetchEndpoints},
	typeEndpointUpdate:  {"proto.List", decodeEndpointUpdate},
	typeRPC:             {"proto.RPC", decodeRPC},
	typeReply:           {"proto.Reply", decodeReply},
	typeProbe:           {"proto.Probe", decodeProbe},
	typeProbeReply:      {"proto.ProbeReply", decodeProbeReply},
	typePeerMessage:     {"proto.PeerNote", decodePeerMessage},
	typeReportsReceived: {"proto.Heard", decodeReportsReceived},
}

// WireName returns the name of the message's type for the reason of a Reject.
func WireName(m Message) string { return codecs[m.messageType()].wireName }

// decodeMessage decodes the fields of a message, which must take up all bytes of fields.
func decodeMessage(messageType MessageType, fields []byte) (Message, error) {
	codec, ok := codecs[messageType]
	if !ok {
		return nil, &unknownTypeError{messageType: messageType}
	}
	d := &decoder{unread: fields}
	m := codec.decode(d)
	if d.err == nil && len(d.unread) > 0 {
		d.err = &trailingBytesError{count: len(d.unread)}
	}
	if d.err != nil {
		return nil, fmt.Errorf("%s: %w", codec.wireName, d.err)
	}
	return m, nil
}

func (m Hello) appendFields(buf []byte) []byte {
	buf = appendInteger(buf, m.Version)
	buf = appendInteger(buf, m.Role)
	buf = appendText(buf, m.Name)
	buf = appendText(buf, m.Zone)
	buf = appendNumber(buf, m.Rate)
	buf = appendFlag(buf, m.HasNoTables)
	buf = appendText(buf, m.TablesOf)
	return appendInteger(buf, m.Nonce)
}

func decodeHello(d *decoder) Message {
	return Hello{
		Version:     d.integer(),
		Role:        decodeEnum(d, roleCount, "role"),
		Name:        d.text(),
		Zone:        d.text(),
		Rate:        d.number(),
		HasNoTables: d.flag(),
		TablesOf:    d.text(),
		Nonce:       d.nonce(),
	}
}

func (m Welcome) appendFields(buf []byte) []byte {
	buf = appendInteger(buf, m.Version)
	buf = appendText(buf, m.Name)
	buf = appendNumber(buf, m.ReportPeriod)
	return appendList(buf, m.Methods, appendText)
}

func decodeWelcome(d *decoder) Message {
	const minNameSize = 1
	return Welcome{
		Version:      d.integer(),
		Name:         d.text(),
		ReportPeriod: d.number(),
		Methods:      decodeList(d, minNameSize, (*decoder).text),
	}
}

func (m Reject) appendFields(buf []byte) []byte { return appendText(buf, m.Reason) }

func decodeReject(d *decoder) Message { return Reject{Reason: d.text()} }

func (m Acknowledgement) appendFields(buf []byte) []byte { return appendInteger(buf, m.Nonce) }

func decodeAcknowledgement(d *decoder) Message { return Acknowledgement{Nonce: d.nonce()} }

func (m RPC) appendFields(buf []byte) []byte {
	buf = appendInteger(buf, m.ID)
	buf = appendInteger(buf, m.Method)
	buf = appendInteger(buf, m.IdempotencyKey)
	buf = appendInteger(buf, m.CacheKey)
	return appendNumber(buf, m.TimeLeft)
}

func decodeRPC(d *decoder) Message {
	return RPC{
		ID:             d.integer(),
		Method:         d.integer(),
		IdempotencyKey: d.integer(),
		CacheKey:       d.integer(),
		TimeLeft:       d.number(),
	}
}

func (m Reply) appendFields(buf []byte) []byte {
	buf = appendInteger(buf, m.ID)
	buf = append(buf, byte(m.Status))
	buf = appendFlag(buf, m.HasLoad)
	return appendNumber(buf, m.Load)
}

func decodeReply(d *decoder) Message {
	return Reply{
		ID:      d.integer(),
		Status:  decodeEnum(d, statusCount, "status"),
		HasLoad: d.flag(),
		Load:    d.number(),
	}
}

func (m Probe) appendFields(buf []byte) []byte { return appendInteger(buf, m.ID) }

func decodeProbe(d *decoder) Message { return Probe{ID: d.integer()} }

func (m ProbeReply) appendFields(buf []byte) []byte {
	buf = appendInteger(buf, m.ID)
	return append(buf, byte(m.Status))
}

func decodeProbeReply(d *decoder) Message {
	return ProbeReply{ID: d.integer(), Status: decodeEnum(d, statusCount, "status")}
}

func (m PeerMessage) appendFields(buf []byte) []byte {
	buf = appendInteger(buf, m.From)
	buf = appendInteger(buf, len(m.Data))
	return append(buf, m.Data...)
}

func decodePeerMessage(d *decoder) Message { return PeerMessage{From: d.integer(), Data: d.bytes()} }
