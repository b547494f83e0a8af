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

// The format of segments and snapshots, which docs/store.md explains. Sizes are in bytes; all numbers are little endian.
//
//	file:   file header, frames
//	header: magic 8 | store ID 8 | file number 8 | last batch 8 | CRC 4 | 0xff padding 4
//	frame:  magic 4 | header CRC 4 | payload length 4 | payload CRC 4 | sequence 8 | durable+1 8 |
//	        payload, padded with 0xff to a multiple of 8
//
// The layout ensures that no part of a header that may lie in a sector of its own is all zeros. This distinguishes a sector
// that was never written from one that was corrupted on the disk.
const (
	fileHeaderSize  = 40   // bytes
	frameHeaderSize = 32   // bytes
	frameAlignment  = 8    // bytes; every frame starts at a multiple of it
	paddingByte     = 0xff // fills a file header, and a frame up to the next multiple of frameAlignment
	// MaxPayloadBytes limits the size of the payload of a batch, in bytes.
	MaxPayloadBytes = 64 << 20
)

// Offsets of the fields of a file header, in bytes from its start.
const (
	fileStoreIDOffset  = 8
	fileNumberOffset   = 16
	fileSequenceOffset = 24
	fileChecksumOffset = 32
	filePaddingOffset  = 36
)

// Offsets of the fields of a frame header, in bytes from its start.
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

// errTorn is returned for data of which one or more sectors were never written. That is corruption only if the data was
// known to be durable.
var errTorn = errors.New("incomplete write")

// Possible causes of a CorruptionError.
var (
	errFileHeaderChecksum  = errors.New("file header checksum mismatch")
	errNotStoreFile        = errors.New("not a store file")
	errFrameHeaderChecksum = errors.New("frame header checksum mismatch")
	errFrameChecksum       = errors.New("frame payload checksum mismatch")
	errFrameTooLarge       = errors.New("frame too large")
)

// checksum returns the CRC-32C of the concatenated parts.
func checksum(parts ...[]byte) (sum uint32) {
	for _, part := range parts {
		sum = crc32.Update(sum, castagnoliTable, part)
	}
	return sum
}

// fileHeader is the header of a segment or snapshot.
type fileHeader struct {
	snapshot     bool // the file is a snapshot, not a segment
	storeID      uint64
	number       uint64 // of the file, as in its name
	lastSequence uint64 // sequence number of the last batch that a snapshot includes; 0 in a segment
}

// append appends the encoded header to data.
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

// readFileHeader reads the header of a segment or snapshot. The error is errTorn, ErrNewerFormat or a cause for a
// CorruptionError.
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

// hasZeroSector reports whether any sector is all zeros in its part between two offsets, as it is if the sector was never
// written.
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

// alignUp rounds a number of bytes up to a multiple of frameAlignment.
func alignUp(n int) int { return (n + frameAlignment - 1) &^ (frameAlignment - 1) }

// frame is one batch as read from a file.
type frame struct {
	size     int    // bytes, including header and padding
	sequence uint64 // in the log the sequence number of the batch; in a snapshot the number of the frame, from 1
	// durable is the sequence number of the last batch that was known to be durable when the frame was written. It proves
	// whether an earlier frame that is torn was acknowledged.
	durable uint64
	payload []byte
}

// isCloseMarker reports whether the frame is a close marker, which states that all batches before it are durable.
func (f frame) isCloseMarker() bool {
	return len(f.payload) == 1 && f.payload[0] == opCloseMarker && f.durable+1 == f.sequence
}

// appendFrame appends the encoding of a frame to data, for the file with the given header. The header of the frame stores
// durable+1, which is never 0.
func appendFrame(data []byte, header fileHeader, sequence, durable uint64, payload []byte) []byte {
	start := len(data)
	data = append(data, frameMagic[:]...)
	data = append(data, 0, 0, 0, 0) // checksum of the frame header, set below
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

// frameHeaderChecksum returns the checksum of a frame header. It covers the store's ID and the file's number, so that a
// leftover frame of another file on the same sectors is not mistaken for a frame of this file.
func frameHeaderChecksum(header fileHeader, frameHeader []byte) uint32 {
	var file [16]byte
	littleEndian.PutUint64(file[:], header.storeID)
	littleEndian.PutUint64(file[8:], header.number)
	return checksum(file[:], frameHeader[:frameHeaderChecksumOffset], frameHeader[frameLengthOffset:])
}

// readFrame reads the frame at an offset. The error is errTorn if a part of the frame was never written, else a cause for a
// CorruptionError.
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
		return frame{}, fmt.Errorf("%w: %d bytes, the limit is %d", errFrameTooLarge, length, MaxPayloadBytes)
	}
	size := frameHeaderSize + alignUp(length)
	if len(data)-offset < size {
		return frame{}, errTorn
	}
	payload := data[offset+frameHeaderSize : offset+frameHeaderSize+length]
	padding := data[offset+frameHeaderSize+length : offset+size]
	isNotPadding := func(b byte) bool { return b != paddingByte }
	sum = littleEndian.Uint32(frameHeader[framePayloadChecksumOffset:])
	if checksum(payload) != sum || slices.ContainsFunc(padding, isNotPadding) {
		return frame{}, tornOrCause(errFrameChecksum, data, offset, offset+size)
	}
	return frame{
		size:     size,
		sequence: littleEndian.Uint64(frameHeader[frameSequenceOffset:]),
		durable:  littleEndian.Uint64(frameHeader[frameDurableOffset:]) - 1,
		payload:  payload,
	}, nil
}

// tornOrCause returns errTorn if a sector between two offsets was never written, else cause.
func tornOrCause(cause error, data []byte, from, to int) error {
	if hasZeroSector(data, from, to) {
		return errTorn
	}
	return cause
}

// intactFrames returns all intact frames after an offset, skipping unreadable data between them.
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
