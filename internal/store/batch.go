package store

import (
	"encoding/binary"
	"errors"

	"github.com/tidwall/btree"
)

// Operation codes in the payload of a frame (see frame.go), part of the format of segments and snapshots.
const (
	opPut         = 1
	opDelete      = 2
	opSnapshotEnd = 3 // in the last frame of a snapshot, followed by the number of the snapshot's keys
	opCloseMarker = 4 // in the log, written by Close: all preceding batches are durable
)

// noSnapshotEnd is what decodePayload returns instead of a number of keys for a payload without an opSnapshotEnd.
const noSnapshotEnd = -1

// errInvalidPayload is a possible cause of a CorruptionError.
var errInvalidPayload = errors.New("invalid frame payload")

// Batch is a list of changes that is written atomically. The zero Batch is empty.
type Batch struct {
	payload []byte // the changes, encoded as in the payload of a frame in the log
	changes int    // number of changes in payload
}

// Put sets the value of a key. The value is copied.
func (b *Batch) Put(key string, value []byte) {
	b.payload = append(b.payload, opPut)
	b.payload = binary.AppendUvarint(b.payload, uint64(len(key)))
	b.payload = append(b.payload, key...)
	b.payload = binary.AppendUvarint(b.payload, uint64(len(value)))
	b.payload = append(b.payload, value...)
	b.changes++
}

// Delete removes a key. Deleting a key that does not exist is not an error.
func (b *Batch) Delete(key string) {
	b.payload = append(b.payload, opDelete)
	b.payload = binary.AppendUvarint(b.payload, uint64(len(key)))
	b.payload = append(b.payload, key...)
	b.changes++
}

// Append appends the changes of another batch to this one.
func (b *Batch) Append(other *Batch) {
	b.payload = append(b.payload, other.payload...)
	b.changes += other.changes
}

// Len returns the number of changes.
func (b *Batch) Len() int { return b.changes }

// Size returns the size of the payload in bytes.
func (b *Batch) Size() int { return len(b.payload) }

// Reset makes the batch empty.
func (b *Batch) Reset() { b.payload, b.changes = b.payload[:0], 0 }

// Each calls do for each change in order; a nil value means that the key is deleted.
func (b *Batch) Each(do func(key string, value []byte)) {
	_, _ = decodePayload(b.payload, do) // the payload was built by the methods above, so it is valid
}

// apply applies the changes to an index.
func (b *Batch) apply(index *btree.Map[string, []byte]) {
	_, _ = applyPayload(index, b.payload) // valid, as in Each
}

// applyPayload applies the changes of a payload to an index. It returns the results of decodePayload.
func applyPayload(index *btree.Map[string, []byte], payload []byte) (snapshotKeys int, err error) {
	return decodePayload(payload, func(key string, value []byte) {
		if value == nil {
			index.Delete(key)
		} else {
			index.Set(key, value)
		}
	})
}

// decodePayload calls visit for each change of a payload; a nil value means that the key is deleted. It returns the number
// of keys stated by an opSnapshotEnd, or noSnapshotEnd. The error is nil or errInvalidPayload.
func decodePayload(payload []byte, visit func(key string, value []byte)) (snapshotKeys int, err error) {
	snapshotKeys = noSnapshotEnd
	decoder := payloadDecoder{rest: payload}
	for len(decoder.rest) > 0 && decoder.err == nil {
		switch decoder.kind() {
		case opPut:
			key, value := decoder.bytes(), decoder.bytes()
			if decoder.err == nil {
				visit(string(key), append(make([]byte, 0, len(value)), value...))
			}
		case opDelete:
			if key := decoder.bytes(); decoder.err == nil {
				visit(string(key), nil)
			}
		case opSnapshotEnd:
			if keys := decoder.uvarint(); decoder.err == nil {
				snapshotKeys = int(keys)
			}
		case opCloseMarker:
		default:
			decoder.err = errInvalidPayload
		}
	}
	return snapshotKeys, decoder.err
}

// payloadDecoder reads the operation codes, lengths, keys and values of a payload. After the first error uvarint returns 0
// and bytes returns nil.
type payloadDecoder struct {
	rest []byte // the part of the payload that is not decoded yet
	err  error  // errInvalidPayload or nil
}

// kind reads an operation code. The payload must not be at its end.
func (d *payloadDecoder) kind() byte {
	kind := d.rest[0]
	d.rest = d.rest[1:]
	return kind
}

func (d *payloadDecoder) uvarint() uint64 {
	value, size := binary.Uvarint(d.rest)
	if size <= 0 || d.err != nil {
		d.err = errInvalidPayload
		return 0
	}
	d.rest = d.rest[size:]
	return value
}

// bytes reads a length and that many bytes.
func (d *payloadDecoder) bytes() []byte {
	length := d.uvarint()
	if length > uint64(len(d.rest)) || d.err != nil {
		d.err = errInvalidPayload
		return nil
	}
	value := d.rest[:length]
	d.rest = d.rest[length:]
	return value
}
