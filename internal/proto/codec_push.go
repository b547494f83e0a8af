package proto

// Smallest sizes of the encoded items of a push's lists, in bytes.
const (
	minTableOpSize    = 2
	minTableEntrySize = 11
	minAdmissionSize  = 10
	minBackendSize    = 1
)

func (m Push) appendFields(buf []byte) []byte {
	buf = appendInteger(buf, m.Sequence)
	buf = appendInteger(buf, m.QueuedEntries)
	buf = appendFlag(buf, m.HasNonce)
	buf = appendInteger(buf, m.Nonce)
	return appendList(buf, m.Ops, appendTableOp)
}

func decodePush(d *decoder) Message {
	return Push{
		Sequence:      d.integer(),
		QueuedEntries: d.integer(),
		HasNonce:      d.flag(),
		Nonce:         d.nonce(),
		Ops:           decodeList(d, minTableOpSize, decodeTableOp),
	}
}

func appendTableOp(buf []byte, operation TableOp) []byte {
	buf = append(buf, byte(operation.Kind))
	switch operation.Kind {
	case OpBind:
		return appendBind(buf, operation)
	case OpSetEntry:
		buf = appendInteger(buf, operation.Table)
		return appendTableEntry(buf, operation.Entries[0])
	case OpClear:
		return appendInteger(buf, operation.Table)
	case OpAdmission:
		buf = appendInteger(buf, operation.Table)
		return appendAdmission(buf, operation.Admissions[0])
	default: // OpExclude, OpRestore
		return appendInteger(buf, operation.Backends[0])
	}
}

func appendBind(buf []byte, op TableOp) []byte {
	buf = appendInteger(buf, op.Table)
	buf = appendInteger(buf, op.Methods)
	buf = appendList(buf, op.Entries, appendTableEntry)
	buf = appendList(buf, op.Admissions, appendAdmission)
	return appendList(buf, op.Backends, appendInteger[BackendID])
}

func decodeTableOp(fields *decoder) TableOp {
	kind := decodeEnum(fields, opKindCount, "operation")
	switch kind {
	case OpBind:
		return decodeBind(fields)
	case OpSetEntry:
		return TableOp{Kind: kind, Table: fields.integer(), Entries: []TableEntry{decodeTableEntry(fields)}}
	case OpClear:
		return TableOp{Kind: kind, Table: fields.integer()}
	case OpAdmission:
		return TableOp{Kind: kind, Table: fields.integer(), Admissions: []Admission{decodeAdmission(fields)}}
	default: // OpExclude, OpRestore
		return TableOp{Kind: kind, Backends: []BackendID{fields.backend()}}
	}
}

func decodeBind(fields *decoder) TableOp {
	return TableOp{
		Kind:       OpBind,
		Table:      fields.integer(),
		Methods:    fields.integer(),
		Entries:    decodeList(fields, minTableEntrySize, decodeTableEntry),
		Admissions: decodeList(fields, minAdmissionSize, decodeAdmission),
		Backends:   decodeList(fields, minBackendSize, (*decoder).backend),
	}
}

func appendTableEntry(buf []byte, entry TableEntry) []byte {
	buf = appendInteger(buf, entry.Backend)
	buf = appendNumber(buf, entry.Weight)
	buf = appendFlag(buf, entry.Excluded)
	return appendText(buf, entry.Addr)
}

func decodeTableEntry(d *decoder) TableEntry {
	return TableEntry{Backend: d.backend(), Weight: d.number(), Excluded: d.flag(), Addr: d.text()}
}

func appendAdmission(buf []byte, admission Admission) []byte {
	buf = appendInteger(buf, admission.Methods)
	buf = appendNumber(buf, admission.Level)
	return appendInteger(buf, admission.Retry)
}

func decodeAdmission(d *decoder) Admission {
	return Admission{
		Methods: d.integer(),
		Level:   d.number(),
		Retry:   d.boundedInteger(maxRetryPolicy, "tries"),
	}
}
