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

// The file format, which docs/store.md explains. All numbers are little endian.
//
//	file:  header, frames
//	header: magic 8 | store 8 | number 8 | last batch 8 | crc 4 | ones 4
//	frame:  magic 4 | header crc 4 | length 4 | payload crc 4 | sequence 8 | durable 8 | payload, ones to a multiple of 8
//
// No part of a header that may be in a sector of its own is all zeros. This tells a sector that was never written from one
// that was corrupted on the disk.
const (
	fileHeaderSize  = 40 // bytes
	frameHeaderSize = 32 // bytes
	frameAlignment  = 8  // bytes; frames begin at multiples of it
	paddingByte     = 0xff
	// MaxPayloadBytes bounds the payload of a batch.
	MaxPayloadBytes = 64 << 20
)

// Offsets of the fields of a file header.
const (
	fileStoreIDOffset  = 8
	fileNumberOffset   = 16
	fileSequenceOffset = 24
	fileChecksumOffset = 32
	filePaddingOffset  = 36
)

// Offsets of the fields of a frame header.
const (
	frameHeaderChecksumOffset  = 4
	frameLengthOffset          = 8
	framePayloadChecksumOffset = 12
	frameSequenceOffset        = 16
	frameDurableOffset         = 24
)

var (
	segmentMagic    = [8]byte{'g', 'f', 's', 'e', 'g', 0, 0, '1'}
	snapshotMagic   = [8]byte{'g', 'f', 's', 'n', 'a', 'p', 0, '1'}
	frameMagic      = [4]byte{'g', 'f', 'r', '1'}
	filePadding     = []byte{paddingByte, paddingByte, paddingByte, paddingByte}
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
	littleEndian    = binary.LittleEndian
)

// errTorn is returned where a sector or more was never written. That is no corruption unless it was known to be durable.
var errTorn = errors.New("it was not written to its end")

// Causes of a CorruptionError.
var (
	errFileHeaderChecksum  = errors.New("the checksum of the file's header does not match")
	errNotStoreFile        = errors.New("it is no file of a store")
	errFrameHeaderChecksum = errors.New("the checksum of a frame's header does not match")
	errFrameChecksum       = errors.New("the checksum of a frame does not match")
	errFrameTooLarge       = errors.New("a frame is too large")
)

func checksum(parts ...[]byte) (sum uint32) {
	for _, part := range parts {
		sum = crc32.Update(sum, castagnoliTable, part)
	}
	return sum
}

// fileHeader is the header of a segment or snapshot.
type fileHeader struct {
	snapshot     bool
	storeID      uint64
	number       uint64
	lastSequence uint64 // the last batch that a snapshot includes; 0 in a segment
}

func (h fileHeader) append(data []byte) []byte {
	magic := segmentMagic
	if h.snapshot {
		magic = snapshotMagic
	}
	start := len(data)
	data = append(data, magic[:]...)
	data = littleEndian.AppendUint64(data, h.storeID)
	data = littleEndian.AppendUint64(data, h.number)
	data = littleEndian.AppendUint64(data, h.lastSequence)
	data = littleEndian.AppendUint32(data, checksum(data[start:]))
	return append(data, filePadding...)
}

// readFileHeader reads the header of a segment or snapshot. The error is errTorn, ErrNewerFormat or a cause of corruption.
func readFileHeader(data []byte) (header fileHeader, err error) {
	if len(data) < fileHeaderSize || hasZeroSector(data, 0, fileHeaderSize) {
		return header, errTorn
	}
	sum := littleEndian.Uint32(data[fileChecksumOffset:])
	padding := data[filePaddingOffset:fileHeaderSize]
	if sum != checksum(data[:fileChecksumOffset]) || !bytes.Equal(padding, filePadding) {
		return header, errFileHeaderChecksum
	}
	magic := [8]byte(data)
	withoutVersion := magic[:len(magic)-1]
	switch {
	case magic == segmentMagic:
	case magic == snapshotMagic:
		header.snapshot = true
	case bytes.HasPrefix(segmentMagic[:], withoutVersion), bytes.HasPrefix(snapshotMagic[:], withoutVersion):
		return header, ErrNewerFormat
	default:
		return header, errNotStoreFile
	}
	header.storeID = littleEndian.Uint64(data[fileStoreIDOffset:])
	header.number = littleEndian.Uint64(data[fileNumberOffset:])
	header.lastSequence = littleEndian.Uint64(data[fileSequenceOffset:])
	return header, nil
}

// hasZeroSector reports whether the part of some sector between two offsets is all zeros, as it is where the sector was
// never written.
func hasZeroSector(data []byte, from, to int) bool {
	for offset := from; offset < to; {
		end := min((offset/disk.SectorSize+1)*disk.SectorSize, to)
		if !slices.ContainsFunc(data[offset:end], func(b byte) bool { return b != 0 }) {
			return true
		}
		offset = end
	}
	return false
}

// alignUp rounds a number of bytes up to the alignment of frames.
func alignUp(n int) int { return (n + frameAlignment - 1) &^ (frameAlignment - 1) }

// frame is one batch in a file.
type frame struct {
	size     int // bytes, padding included
	sequence uint64
	// durable is the last batch that was known to be durable when the frame was written. It proves to a reader whether an
	// earlier frame that is torn was acknowledged.
	durable uint64
	payload []byte
}

// isCloseMarker reports whether the frame says that all before it is durable.
func (f frame) isCloseMarker() bool {
	return len(f.payload) == 1 && f.payload[0] == opCloseMarker && f.durable+1 == f.sequence
}

// appendFrame appends a frame for the file with this header to data.
func appendFrame(data []byte, header fileHeader, sequence, durable uint64, payload []byte) []byte {
	start := len(data)
	data = append(data, frameMagic[:]...)
	data = append(data, 0, 0, 0, 0) // the header's checksum, set below
	data = littleEndian.AppendUint32(data, uint32(len(payload)))
	data = littleEndian.AppendUint32(data, checksum(payload))
	data = littleEndian.AppendUint64(data, sequence)
	data = littleEndian.AppendUint64(data, durable+1)
	sum := frameHeaderChecksum(header, data[start:start+frameHeaderSize])
	littleEndian.PutUint32(data[start+frameHeaderChecksumOffset:], sum)
	data = append(data, payload...)
	for range alignUp(len(payload)) - len(payload) {
		data = append(data, paddingByte)
	}
	return data
}

// frameHeaderChecksum includes the store's ID and the file's number, so that no frame of another file, left on the same
// sectors, is taken for one of this file.
func frameHeaderChecksum(header fileHeader, frameHeader []byte) uint32 {
	var file [16]byte
	littleEndian.PutUint64(file[:], header.storeID)
	littleEndian.PutUint64(file[8:], header.number)
	return checksum(file[:], frameHeader[:frameHeaderChecksumOffset], frameHeader[frameLengthOffset:])
}

// readFrame reads the frame at an offset. The error is errTorn if a part was never written, else a cause of corruption.
func readFrame(header fileHeader, data []byte, offset int) (frame, error) {
	if len(data)-offset < frameHeaderSize {
		return frame{}, errTorn
	}
	frameHeader := data[offset : offset+frameHeaderSize]
	sum := littleEndian.Uint32(frameHeader[frameHeaderChecksumOffset:])
	if [4]byte(frameHeader) != frameMagic || sum != frameHeaderChecksum(header, frameHeader) {
		return frame{}, tornOrCause(errFrameHeaderChecksum, data, offset, offset+frameHeaderSize)
	}
	length := int(littleEndian.Uint32(frameHeader[frameLengthOffset:]))
	if length > MaxPayloadBytes {
		return frame{}, fmt.Errorf("%w: %d bytes, %d at most", errFrameTooLarge, length, MaxPayloadBytes)
	}
	size := frameHeaderSize + alignUp(length)
	if len(data)-offset < size {
		return frame{}, errTorn
	}
	payload := data[offset+frameHeaderSize : offset+frameHeaderSize+length]
	padding := data[offset+frameHeaderSize+length : offset+size]
	isOther := func(b byte) bool { return b != paddingByte }
	sum = littleEndian.Uint32(frameHeader[framePayloadChecksumOffset:])
	if checksum(payload) != sum || slices.ContainsFunc(padding, isOther) {
		return frame{}, tornOrCause(errFrameChecksum, data, offset, offset+size)
	}
	return frame{
		size:     size,
		sequence: littleEndian.Uint64(frameHeader[frameSequenceOffset:]),
		durable:  littleEndian.Uint64(frameHeader[frameDurableOffset:]) - 1,
		payload:  payload,
	}, nil
}

// tornOrCause returns errTorn if a sector between two offsets was never written, else the cause.
func tornOrCause(cause error, data []byte, from, to int) error {
	if hasZeroSector(data, from, to) {
		return errTorn
	}
	return cause
}

// intactFrames returns the frames after an offset that can be read, whatever is between them.
func intactFrames(header fileHeader, data []byte, offset int) (frames []frame) {
	offset = alignUp(offset)
	for offset+frameHeaderSize <= len(data) {
		found, err := readFrame(header, data, offset)
		if err != nil {
			offset += frameAlignment
			continue
		}
		frames = append(frames, found)
		offset += found.size
	}
	return frames
}
