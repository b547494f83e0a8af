package proto

import "pgregory.net/rapid"

// Generators of the parts of messages.
var (
	anyText     = rapid.StringMatching(`[a-z0-9.:é-]{0,30}`)
	anyNumber   = rapid.Float64Range(0, 1e12)
	anyInteger  = rapid.Uint64()
	anyFlag     = rapid.Bool()
	anyNonce    = rapid.Uint64Range(0, MaxNonce)
	anyBackend  = rapid.Uint32()
	anyStatus   = rapid.Map(rapid.IntRange(0, int(statusCount)-1), func(n int) Status { return Status(n) })
	anyPeerData = rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, MaxString), func(data []byte) string { return string(data) })

	anyTableEntry = rapid.Custom(func(t *rapid.T) TableEntry {
		return TableEntry{anyBackend.Draw(t, "backend"), anyNumber.Draw(t, "weight"), anyFlag.Draw(t, "excluded"), anyText.Draw(t, "addr")}
	})
	anyAdmission = rapid.Custom(func(t *rapid.T) Admission {
		return Admission{anyInteger.Draw(t, "methods"), anyNumber.Draw(t, "level"), rapid.Uint64Range(0, maxRetryPolicy).Draw(t, "retry")}
	})
	anyUsageReport = rapid.Custom(func(t *rapid.T) UsageReport {
		return UsageReport{Method: anyInteger.Draw(t, "method"), RPCs: 5, Failures: 2}
	})
	anyAttemptReport = rapid.Custom(func(t *rapid.T) AttemptReport {
		return AttemptReport{anyBackend.Draw(t, "backend"), 7, rapid.Uint64Range(0, 7).Draw(t, "failures"), anyNumber.Draw(t, "latency")}
	})
	anyEndpoint = rapid.Custom(func(trial *rapid.T) Endpoint {
		return Endpoint{
			Backend:        anyBackend.Draw(trial, "backend"),
			State:          BackendState(rapid.IntRange(0, int(backendStateCount)-1).Draw(trial, "state")),
			Kind:           anyText.Draw(trial, "kind"),
			Zone:           anyText.Draw(trial, "zone"),
			Cell:           3,
			Weight:         anyNumber.Draw(trial, "weight"),
			StartedLongAgo: anyFlag.Draw(trial, "started long ago"),
			Incarnation:    anyInteger.Draw(trial, "incarnation"),
			Age:            anyNumber.Draw(trial, "age"),
			Addr:           anyText.Draw(trial, "addr"),
		}
	})
)

var anyTableOp = rapid.Custom(func(trial *rapid.T) TableOp {
	table := anyInteger.Draw(trial, "table")
	kind := OpKind(rapid.IntRange(0, int(opKindCount)-1).Draw(trial, "kind"))
	switch kind {
	case OpBind:
		return TableOp{
			Kind: kind, Table: table, Methods: anyInteger.Draw(trial, "methods"),
			Entries: drawList(trial, anyTableEntry), Admissions: drawList(trial, anyAdmission), Backends: drawList(trial, anyBackend),
		}
	case OpSetEntry:
		return TableOp{Kind: kind, Table: table, Entries: []TableEntry{anyTableEntry.Draw(trial, "entry")}}
	case OpClear:
		return TableOp{Kind: kind, Table: table}
	case OpAdmission:
		return TableOp{Kind: kind, Table: table, Admissions: []Admission{anyAdmission.Draw(trial, "admission")}}
	default:
		return TableOp{Kind: kind, Backends: []BackendID{anyBackend.Draw(trial, "backend")}}
	}
})

// drawMessage has, for each message type, a generator of its messages.
var drawMessage = map[MessageType]func(t *rapid.T) Message{
	typeHello: func(t *rapid.T) Message {
		return Hello{
			Version:     anyInteger.Draw(t, "version"),
			Role:        Role(rapid.IntRange(0, int(roleCount)-1).Draw(t, "role")),
			Name:        anyText.Draw(t, "name"),
			Zone:        anyText.Draw(t, "zone"),
			Rate:        anyNumber.Draw(t, "rate"),
			HasNoTables: anyFlag.Draw(t, "fresh"),
			TablesOf:    anyText.Draw(t, "tables of"),
			Nonce:       anyNonce.Draw(t, "nonce"),
		}
	},
	typeWelcome: func(t *rapid.T) Message {
		return Welcome{anyInteger.Draw(t, "version"), anyText.Draw(t, "name"), anyNumber.Draw(t, "period"), drawList(t, anyText)}
	},
	typeReject: func(t *rapid.T) Message { return Reject{anyText.Draw(t, "reason")} },
	typePush: func(t *rapid.T) Message {
		return Push{
			Sequence:      anyInteger.Draw(t, "sequence"),
			QueuedEntries: anyInteger.Draw(t, "queued"),
			HasNonce:      anyFlag.Draw(t, "has nonce"),
			Nonce:         anyNonce.Draw(t, "nonce"),
			Ops:           drawList(t, anyTableOp),
		}
	},
	typeAcknowledgement: func(t *rapid.T) Message { return Acknowledgement{anyNonce.Draw(t, "nonce")} },
	typeReports: func(t *rapid.T) Message {
		return Reports{anyNumber.Draw(t, "span"), drawList(t, anyUsageReport), drawList(t, anyAttemptReport)}
	},
	typeWatchEndpoints: func(t *rapid.T) Message {
		return WatchEndpoints{anyFlag.Draw(t, "on"), anyInteger.Draw(t, "since")}
	},
	typeFetchEndpoints: func(*rapid.T) Message { return FetchEndpoints{} },
	typeEndpointUpdate: func(t *rapid.T) Message {
		return EndpointUpdate{
			Kind:        UpdateKind(rapid.IntRange(0, int(updateKindCount)-1).Draw(t, "kind")),
			BaseVersion: anyInteger.Draw(t, "base"),
			Version:     anyInteger.Draw(t, "version"),
			Reason:      anyText.Draw(t, "reason"),
			Endpoints:   drawList(t, anyEndpoint),
		}
	},
	typeRPC: func(t *rapid.T) Message {
		return RPC{
			ID:             anyInteger.Draw(t, "id"),
			Method:         anyInteger.Draw(t, "method"),
			IdempotencyKey: anyInteger.Draw(t, "idempotency key"),
			CacheKey:       anyInteger.Draw(t, "cache key"),
			TimeLeft:       anyNumber.Draw(t, "time left"),
		}
	},
	typeReply: func(t *rapid.T) Message {
		return Reply{anyInteger.Draw(t, "id"), anyStatus.Draw(t, "status"), anyFlag.Draw(t, "has load"), anyNumber.Draw(t, "load")}
	},
	typeProbe: func(t *rapid.T) Message { return Probe{anyInteger.Draw(t, "id")} },
	typeProbeReply: func(t *rapid.T) Message {
		return ProbeReply{anyInteger.Draw(t, "id"), anyStatus.Draw(t, "status")}
	},
	typePeerMessage: func(t *rapid.T) Message {
		return PeerMessage{anyInteger.Draw(t, "from"), anyPeerData.Draw(t, "data")}
	},
	typeReportsReceived: func(*rapid.T) Message { return ReportsReceived{} },
}

var anyMessage = rapid.Custom(func(t *rapid.T) Message {
	messageType := MessageType(rapid.IntRange(int(typeHello), int(typeReportsReceived)).Draw(t, "type"))
	return drawMessage[messageType](t)
})

// drawList draws a short list; an empty one is nil, as a decoder returns it.
func drawList[T any](t *rapid.T, items *rapid.Generator[T]) []T {
	list := rapid.SliceOfN(items, 0, 5).Draw(t, "list")
	if len(list) == 0 {
		return nil
	}
	return list
}
