package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

	"gingerfork/internal/disk"
)

// The format, as docs/store.md explains it. All numbers are little endian.
//
//	file:  head, frames
//	head:  magic 8 | store 8 | number 8 | upto 8 | crc 4 | ones 4
//	frame: magic 4 | head crc 4 | length 4 | payload crc 4 | sequence 8 | durable 8 | payload, ones to a multiple of 8
//
// No part of a head that may stand in a sector of its own is all zeros, so that a sector that never got to the disk can be
// told from one that was spoilt there.
const (
	headSize  = 40
	frameSize = 32
	// MostFrame bounds a batch, in bytes of its payload.
	MaxPayloadBytes = 64 << 20
)

var (
	segMagic   = [8]byte{'g', 'f', 's', 'e', 'g', 0, 0, '1'}
	snapMagic  = [8]byte{'g', 'f', 's', 'n', 'a', 'p', 0, '1'}
	frameMagic = [4]byte{'g', 'f', 'r', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	le         = binary.LittleEndian
)

func crc(parts ...[]byte) (c uint32) {
	for _, p := range parts {
		c = crc32.Update(c, castagnoli, p)
	}
	return c
}

// fileHead is the head of a segment or snapshot. upto is the last batch that a snapshot has; a
// segment has 0 there.
type fileHead struct {
	snap   bool
	id     uint64
	number uint64
	upto   uint64
}

func (h fileHead) append(b []byte) []byte {
	magic := segMagic
	if h.snap {
		magic = snapMagic
	}
	at := len(b)
	b = append(b, magic[:]...)
	b = le.AppendUint64(le.AppendUint64(le.AppendUint64(b, h.id), h.number), h.upto)
	b = le.AppendUint32(b, crc(b[at:]))
	return append(b, 0xff, 0xff, 0xff, 0xff)
}

// errNewer: the files were written by a later program.
var errNewer = errors.New("it has a newer format than this program reads")

// torn says that a sector or more never got to the disk; it is no damage unless what stood there was acknowledged.
var errTorn = errors.New("it was not written to its end")

func readHead(data []byte) (h fileHead, err error) {
	if len(data) < headSize || hole(data, 0, headSize) {
		return h, errTorn
	}
	if !bytes.Equal(le.AppendUint32(nil, crc(data[:32])), data[32:36]) || !bytes.Equal(data[36:40], []byte{0xff, 0xff, 0xff, 0xff}) {
		return h, errors.New("the checksum of its head does not match")
	}
	switch m := [8]byte(data[:8]); {
	case m == segMagic:
	case m == snapMagic:
		h.snap = true
	case bytes.HasPrefix(data, segMagic[:7]), bytes.HasPrefix(data, snapMagic[:7]):
		return h, errNewer
	default:
		return h, errors.New("it is no file of a store")
	}
	h.id, h.number, h.upto = le.Uint64(data[8:]), le.Uint64(data[16:]), le.Uint64(data[24:])
	return h, nil
}

// hole tells whether some sector's part of data between two places is all zeros, as it is where a sector never got to
// the disk.
func hole(data []byte, from, to int) bool {
	for at := from; at < to; {
		end := min((at/disk.SectorSize+1)*disk.SectorSize, to)
		if !slices.ContainsFunc(data[at:end], func(b byte) bool { return b != 0 }) {
			return true
		}
		at = end
	}
	return false
}

func padded(n int) int { return (n + 7) &^ 7 }

// appendFrame adds a frame to b. durable is the sequence up to which all is known to be durable at this time: proof, for
// whoever reads it, that an earlier frame that is torn is not one that was never acknowledged.
func appendFrame(b []byte, h fileHead, seq, durable uint64, payload []byte) []byte {
	at := len(b)
	b = append(b, frameMagic[:]...)
	b = append(b, 0, 0, 0, 0)
	b = le.AppendUint32(b, uint32(len(payload)))
	b = le.AppendUint32(b, crc(payload))
	b = le.AppendUint64(b, seq)
	b = le.AppendUint64(b, durable+1)
	le.PutUint32(b[at+4:], headCRC(h, b[at:at+frameSize]))
	b = append(b, payload...)
	for range padded(len(payload)) - len(payload) {
		b = append(b, 0xff)
	}
	return b
}

// headCRC binds a frame to its file: one of another file, left where it stood, is none of this.
func headCRC(h fileHead, head []byte) uint32 {
	var of [16]byte
	le.PutUint64(of[:], h.id)
	le.PutUint64(of[8:], h.number)
	return crc(of[:], head[:4], head[8:frameSize])
}

// frame is one batch as it stands in a file.
type frame struct {
	at, size     int
	seq, durable uint64
	payload      []byte
}

// readFrame reads the frame at a place. errTorn: it, or some of it, never got to the disk. Any other error is damage.
func readFrame(h fileHead, data []byte, at int) (f frame, err error) {
	if len(data)-at < frameSize {
		return f, errTorn
	}
	head := data[at : at+frameSize]
	if [4]byte(head[:4]) != frameMagic || le.Uint32(head[4:]) != headCRC(h, head) {
		if hole(data, at, at+frameSize) {
			return f, errTorn
		}
		return f, errors.New("the checksum of a frame's head does not match")
	}
	length := int(le.Uint32(head[8:]))
	if length > MaxPayloadBytes {
		return f, fmt.Errorf("a frame of %d bytes, %d at most", length, MaxPayloadBytes)
	}
	f = frame{at: at, size: frameSize + padded(length), seq: le.Uint64(head[16:]), durable: le.Uint64(head[24:]) - 1}
	if len(data)-at < f.size {
		return f, errTorn
	}
	f.payload = data[at+frameSize : at+frameSize+length]
	pad := data[at+frameSize+length : at+f.size]
	if crc(f.payload) != le.Uint32(head[12:]) || slices.ContainsFunc(pad, func(b byte) bool { return b != 0xff }) {
		if hole(data, at, at+f.size) {
			return f, errTorn
		}
		return f, errors.New("the checksum of a frame does not match")
	}
	return f, nil
}

// later goes through the frames that stand whole behind a place, wherever they begin.
func later(h fileHead, data []byte, at int) (all []frame) {
	for at = padded(at); at+frameSize <= len(data); {
		if [4]byte(data[at:at+4]) == frameMagic {
			if f, err := readFrame(h, data, at); err == nil {
				all = append(all, f)
				at += f.size
				continue
			}
		}
		at += 8
	}
	return all
}

// kinds of what a batch does.
const (
	opPut    = 1
	opDelete = 2
	opEnd    = 3 // of a snapshot, with the number of its keys
	opClosed = 4 // all before it is durable
)

// Batch is what is written as a whole or not at all.
type Batch struct {
	payload []byte
	n       int
}

// Put sets a key. The value is copied.
func (b *Batch) Put(key string, value []byte) {
	b.payload = binary.AppendUvarint(append(b.payload, opPut), uint64(len(key)))
	b.payload = binary.AppendUvarint(append(b.payload, key...), uint64(len(value)))
	b.payload = append(b.payload, value...)
	b.n++
}

// Delete removes a key; one that is not there is no fault.
func (b *Batch) Delete(key string) {
	b.payload = binary.AppendUvarint(append(b.payload, opDelete), uint64(len(key)))
	b.payload = append(b.payload, key...)
	b.n++
}

// Add adds another's changes behind its own.
func (b *Batch) Append(o *Batch) {
	b.payload = append(b.payload, o.payload...)
	b.n += o.n
}

// Len is how many changes are in it.
func (b *Batch) Len() int { return b.n }

// Size is what it takes in bytes.
func (b *Batch) Size() int { return len(b.payload) }

// Reset empties it.
func (b *Batch) Reset() { b.payload, b.n = b.payload[:0], 0 }

// Each goes through its changes in order; a nil value is a removal.
func (b *Batch) Each(do func(key string, value []byte)) { _, _ = eachOp(b.payload, do) }

// eachOp goes through a payload; end is the number of keys that an end mark tells, -1 if there is none.
func eachOp(p []byte, do func(key string, value []byte)) (end int, err error) {
	bad := errors.New("a frame whose content makes no sense")
	word := func() ([]byte, bool) {
		n, size := binary.Uvarint(p)
		if size <= 0 || n > uint64(len(p)-size) {
			return nil, false
		}
		w := p[size : size+int(n)]
		p = p[size+int(n):]
		return w, true
	}
	for end = -1; len(p) > 0; {
		kind := p[0]
		p = p[1:]
		switch kind {
		case opEnd:
			n, size := binary.Uvarint(p)
			if size <= 0 {
				return end, bad
			}
			end, p = int(n), p[size:]
			continue
		case opClosed:
			continue
		case opPut, opDelete:
		default:
			return end, bad
		}
		key, ok := word()
		if !ok {
			return end, bad
		}
		if kind == opDelete {
			do(string(key), nil)
			continue
		}
		value, ok := word()
		if !ok {
			return end, bad
		}
		do(string(key), append(make([]byte, 0, len(value)), value...))
	}
	return end, nil
}
