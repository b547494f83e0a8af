package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

// ErrNewerFormat is returned for a store that was written by a later version of this program.
var ErrNewerFormat = errors.New("the file format is newer than this program supports")

// Possible causes of a CorruptionError.
var (
	errFileMissing      = errors.New("file is missing")
	errWrongFile        = errors.New("the header belongs to another file")
	errUnexpectedBatch  = errors.New("unexpected batch")
	errSnapshotLength   = errors.New("wrong snapshot length")
	errDurableBatchTorn = errors.New("a durable batch is torn")
)

// CorruptionError is returned if batches that were acknowledged as durable, or may have been, can't be read.
type CorruptionError struct {
	File        string
	Offset      int64 // of the damage in the file, in bytes
	Cause       error
	Recoverable string // summary of what a repair would keep
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %v; a repair would keep %s", e.File, e.Offset, e.Cause, e.Recoverable)
}

// Unwrap returns Cause.
func (e *CorruptionError) Unwrap() error { return e.Cause }

// Recovery reports what was found when a store was opened.
type Recovery struct {
	SnapshotFrames int // number of frames read from the snapshot
	LogFrames      int // number of frames read from the segments after the snapshot: batches and close markers
	Keys           int
	LastSequence   uint64   // sequence number of the last batch in the store
	LogBytes       int64    // size in bytes of the segments that were read
	TornBytes      int64    // size in bytes of the torn, never acknowledged tail of the log
	TornFile       string   // segment in which the torn tail begins; "": none
	RemovedFiles   []string // files that were no longer needed
}

// recovery reads the store in a folder without changing anything there.
type recovery struct {
	folder disk.Folder
	names  []string // of all files in folder, sorted

	manifest      manifest
	absent        bool // the folder contains no store
	index         *btree.Map[string, []byte]
	lastSequence  uint64
	closedCleanly bool   // the log ends with a close marker
	highestNumber uint64 // highest number of any segment or snapshot, current or not
	snapshotBytes int64
	tail          tornTail
	report        Recovery
}

// tornTail is the position where the log ends because a frame was not written completely.
type tornTail struct {
	file   string // name of the segment; "": the log has no torn tail
	offset int    // of the torn frame in file
	bytes  int64  // size of the data from there on, in all segments
}

func (t tornTail) exists() bool { return t.file != "" }

// recoverStore reads the store in a folder. The error wraps a CorruptionError, ErrNewerFormat or an error of the folder.
func recoverStore(folder disk.Folder) (*recovery, error) {
	names, err := folder.Names()
	if err != nil {
		return nil, fmt.Errorf("read the store's folder: %w", err)
	}
	recovered := &recovery{folder: folder, names: names, index: new(btree.Map[string, []byte])}
	for _, name := range names {
		recovered.highestNumber = max(recovered.highestNumber, dataFileNumber(name))
	}
	if err := recovered.readManifest(); err != nil {
		return nil, err
	}
	if recovered.absent {
		return recovered, nil
	}
	if recovered.manifest.snapshot > 0 {
		if err := recovered.readSnapshot(); err != nil {
			return nil, err
		}
	}
	if err := recovered.readLog(); err != nil {
		return nil, err
	}
	recovered.closedCleanly = recovered.closedCleanly && !recovered.tail.exists()
	recovered.report.TornBytes, recovered.report.TornFile = recovered.tail.bytes, recovered.tail.file
	recovered.report.Keys, recovered.report.LastSequence = recovered.index.Len(), recovered.lastSequence
	return recovered, nil
}

// readManifest reads the manifest, or sets absent if the folder contains no store.
func (r *recovery) readManifest() error {
	data, err := disk.ReadAll(r.folder, manifestName)
	if errors.Is(err, fs.ErrNotExist) {
		r.absent = true
		return r.checkNoBatches()
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", manifestName, err)
	}
	r.manifest, err = parseManifest(data)
	if errors.Is(err, ErrNewerFormat) {
		return fmt.Errorf("%s: %w", manifestName, err)
	}
	if err != nil {
		return r.corruption(manifestName, 0, err)
	}
	return nil
}

// checkNoBatches fails if a segment or snapshot has batches although there is no manifest: then the manifest was lost. A
// crash during the creation of a store leaves only files without batches.
func (r *recovery) checkNoBatches() error {
	for _, name := range r.names {
		if dataFileNumber(name) == 0 {
			continue
		}
		data, err := disk.ReadAll(r.folder, name)
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		if len(data) > fileHeaderSize {
			return r.corruption(manifestName, 0, fmt.Errorf("%w, but %s has batches", errFileMissing, name))
		}
	}
	return nil
}

// readSnapshot reads the current snapshot, which must be complete.
func (r *recovery) readSnapshot() error {
	name := snapshotName(r.manifest.snapshot)
	data, err := disk.ReadAll(r.folder, name)
	if errors.Is(err, fs.ErrNotExist) {
		return r.corruption(name, 0, errFileMissing)
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	header, err := r.readHeader(data, true, r.manifest.snapshot)
	if err != nil {
		return r.corruption(name, 0, err)
	}
	offset, keys := fileHeaderSize, noSnapshotEnd
	for offset < len(data) && keys == noSnapshotEnd {
		current, err := readFrame(header, data, offset)
		if err == nil {
			keys, err = applyPayload(r.index, current.payload)
		}
		if err != nil {
			return r.corruption(name, offset, err)
		}
		offset += current.size
		r.report.SnapshotFrames++
	}
	if keys != r.index.Len() || offset != len(data) {
		return r.corruption(name, offset, fmt.Errorf("%w: %d of %d keys", errSnapshotLength, r.index.Len(), keys))
	}
	r.lastSequence, r.snapshotBytes = header.lastSequence, int64(len(data))
	return nil
}

// readHeader decodes the header in data and checks that it has the given kind and number and the ID of this store.
func (r *recovery) readHeader(data []byte, snapshot bool, number uint64) (fileHeader, error) {
	header, err := readFileHeader(data)
	if err != nil {
		return header, err
	}
	if want := (fileHeader{snapshot, r.manifest.storeID, number, header.lastSequence}); header != want {
		return header, fmt.Errorf("%w: number %d of store %016x", errWrongFile, header.number, header.storeID)
	}
	return header, nil
}

// readLog reads the segments in order. The log ends at the first torn frame. Data after it is ignored, unless a later frame
// proves that the torn frame was durable; that is corruption.
func (r *recovery) readLog() error {
	for number := r.manifest.firstSegment; ; number++ {
		name := segmentName(number)
		if !slices.Contains(r.names, name) {
			return r.checkLogEnd(number)
		}
		data, err := disk.ReadAll(r.folder, name)
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		r.report.LogBytes += int64(len(data))
		header, err := r.readHeader(data, false, number)
		if errors.Is(err, errTorn) && number > r.manifest.firstSegment && len(data) <= fileHeaderSize {
			// The process crashed while it created the segment, before any batch was written to it.
			r.closedCleanly = false
			return nil
		}
		if err != nil {
			return r.corruption(name, 0, err)
		}
		if err := r.readSegment(name, header, data); err != nil {
			return err
		}
	}
}

// checkLogEnd is called with the number of the first missing segment. It fails if that is the first segment of the log, or
// if later segments exist.
func (r *recovery) checkLogEnd(missing uint64) error {
	name := segmentName(missing)
	later := slices.IndexFunc(r.names, func(name string) bool { return segmentNumber(name) > missing })
	if later >= 0 {
		return r.corruption(name, 0, fmt.Errorf("%w, but %s exists", errFileMissing, r.names[later]))
	}
	if missing == r.manifest.firstSegment {
		return r.corruption(name, 0, errFileMissing)
	}
	return nil
}

// readSegment applies the frames of a segment. After the first torn frame of the log it applies nothing, and checks that no
// later frame proves that the torn frame was durable.
func (r *recovery) readSegment(name string, header fileHeader, data []byte) error {
	offset := fileHeaderSize
	if !r.tail.exists() {
		var err error
		offset, err = r.readFrames(header, data)
		if errors.Is(err, errTorn) {
			r.tail.file, r.tail.offset = name, offset
		} else if err != nil {
			return r.corruption(name, offset, err)
		}
	}
	if !r.tail.exists() {
		return nil
	}
	r.tail.bytes += int64(len(data) - offset)
	for _, later := range intactFrames(header, data, offset) {
		if later.durable > r.lastSequence {
			cause := fmt.Errorf("%w: batch %d, which was durable when batch %d was written",
				errDurableBatchTorn, r.lastSequence+1, later.sequence)
			return r.corruption(r.tail.file, r.tail.offset, cause)
		}
	}
	return nil
}

// readFrames applies the frames of a segment up to the first one that can't be read or applied. It returns the offset of
// that frame, or the end of the segment.
func (r *recovery) readFrames(header fileHeader, data []byte) (offset int, err error) {
	offset = fileHeaderSize
	for offset < len(data) {
		current, err := readFrame(header, data, offset)
		if err != nil {
			return offset, err
		}
		if err := r.checkSequence(current); err != nil {
			return offset, err
		}
		if _, err := applyPayload(r.index, current.payload); err != nil {
			return offset, err
		}
		offset += current.size
		r.lastSequence = current.sequence
		r.closedCleanly = current.isCloseMarker()
		r.report.LogFrames++
	}
	return offset, nil
}

// checkSequence checks that a frame directly follows the last batch. If batches between them were never written it returns
// errTorn; if they were durable, or the number is not above the last one, a cause for a CorruptionError.
func (r *recovery) checkSequence(current frame) error {
	expected := r.lastSequence + 1
	switch {
	case current.sequence == expected:
		return nil
	case current.sequence > expected && current.durable <= r.lastSequence:
		return errTorn
	default:
		return fmt.Errorf("%w: %d, expected %d", errUnexpectedBatch, current.sequence, expected)
	}
}

// corruption returns a CorruptionError for a file, including what a repair would keep.
func (r *recovery) corruption(name string, offset int, cause error) error {
	recoverable := "nothing"
	if report, err := salvage(r.folder); err == nil {
		recoverable = report.String()
	}
	return &CorruptionError{File: name, Offset: int64(offset), Cause: cause, Recoverable: recoverable}
}
