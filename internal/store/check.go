package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

// States of a file in a FileReport, as printed by the command "store check".
const (
	stateCurrent = "in force"     // the manifest
	stateUnused  = "not in force" // a snapshot that is not used
	stateIntact  = "whole"        // a snapshot that was read completely
	stateDamaged = "damaged"      // a snapshot of which a part can't be read
	stateLog     = "log"          // a segment
)

// CheckReport describes the readable contents of a store, which may be damaged.
type CheckReport struct {
	Absent     bool  // the folder contains no store
	Intact     bool  // nothing is damaged; a torn tail does not count as damage
	Damage     error // a CorruptionError; nil if Intact
	Files      []FileReport
	Keys       int
	Batches    int      // number of frames read from segments: batches and close markers
	Unreadable []string // descriptions of the unreadable parts that are followed by readable batches
	Recovery   Recovery // what opening the store would report, without RemovedFiles; set if Intact

	storeID       uint64
	index         *btree.Map[string, []byte] // the values that could be read, by key
	lastSequence  uint64                     // sequence number of the last batch that could be read
	highestNumber uint64                     // highest number of any segment or snapshot
}

// FileReport describes one file of a store.
type FileReport struct {
	Name   string
	Bytes  int
	Frames int    // number of frames of the file that were applied to the index
	State  string // one of the states above, or why the file can't be read
}

// String returns a summary of the readable contents.
func (r *CheckReport) String() string {
	text := fmt.Sprintf("%d keys, of %d batches up to %d", r.Keys, r.Batches, r.lastSequence)
	if len(r.Unreadable) > 0 {
		text += ", without " + strings.Join(r.Unreadable, ", ")
	}
	return text
}

// Each calls do for each key that could be read, in ascending order.
func (r *CheckReport) Each(do func(key string, value []byte)) {
	r.index.Scan(func(key string, value []byte) bool {
		do(key, value)
		return true
	})
}

// Check reads a store without changing anything. Damage is reported in the CheckReport; the error wraps ErrNewerFormat or
// an error of the folder.
func Check(folder disk.Folder) (*CheckReport, error) {
	report, err := salvage(folder)
	if err != nil {
		return nil, err
	}
	recovered, err := recoverStore(folder)
	var corruption *CorruptionError
	if errors.As(err, &corruption) {
		report.Damage = err
		return report, nil
	}
	if err != nil {
		return nil, err
	}
	report.Intact, report.Absent, report.Recovery = true, recovered.absent, recovered.report
	report.index, report.Keys = recovered.index, recovered.index.Len()
	report.lastSequence, report.Batches = recovered.lastSequence, recovered.report.LogFrames
	report.Unreadable = nil
	return report, nil
}

// salvager reads all intact frames of a store in order and skips damaged parts.
type salvager struct {
	*CheckReport
	names    []string          // of all files in the store's folder, sorted
	contents map[string][]byte // of the manifest, segments and snapshots, by name
	manifest manifest
	// manifestDamage is the reason why the manifest can't be read; nil if it can.
	manifestDamage error
	started        bool // a batch or snapshot was found, so a later gap in the sequence numbers means lost batches
}

// salvage reads the intact parts of the store in a folder. If the manifest can't be read, it uses the newest intact
// snapshot and the segments after it. The error wraps ErrNewerFormat or an error of the folder.
func salvage(folder disk.Folder) (*CheckReport, error) {
	names, err := folder.Names()
	if err != nil {
		return nil, fmt.Errorf("read the store's folder: %w", err)
	}
	reader := &salvager{
		CheckReport: &CheckReport{index: new(btree.Map[string, []byte])},
		names:       names,
		contents:    map[string][]byte{},
	}
	for _, name := range names {
		if name != manifestName && dataFileNumber(name) == 0 {
			continue
		}
		if reader.contents[name], err = disk.ReadAll(folder, name); err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		reader.highestNumber = max(reader.highestNumber, dataFileNumber(name))
	}
	if err := reader.readManifest(); err != nil {
		return nil, err
	}
	reader.readSnapshots()
	reader.started = reader.lastSequence > 0
	for _, name := range names {
		if number := segmentNumber(name); number > 0 && number >= reader.manifest.firstSegment {
			reader.readSegment(name, number)
		}
	}
	reader.storeID = max(reader.storeID, reader.manifest.storeID)
	reader.Keys = reader.index.Len()
	return reader.CheckReport, nil
}

// readManifest reads the manifest, or sets manifestDamage. The error is ErrNewerFormat.
func (s *salvager) readManifest() error {
	data := s.contents[manifestName]
	s.manifest, s.manifestDamage = parseManifest(data)
	if errors.Is(s.manifestDamage, ErrNewerFormat) {
		return fmt.Errorf("%s: %w", manifestName, s.manifestDamage)
	}
	state := stateCurrent
	if s.manifestDamage != nil {
		state = s.manifestDamage.Error()
	}
	s.Files = append(s.Files, FileReport{Name: manifestName, Bytes: len(data), State: state})
	return nil
}

// readSnapshots reads the current snapshot, in part if it is damaged. Without a readable manifest it reads the newest
// intact snapshot.
func (s *salvager) readSnapshots() {
	for _, name := range slices.Backward(s.names) {
		if number := snapshotNumber(name); number > 0 {
			s.Files = append(s.Files, s.readSnapshot(name, number))
		}
	}
}

// readSnapshot reads a snapshot if it is the current one, or the newest intact one if the manifest can't be read.
func (s *salvager) readSnapshot(name string, number uint64) FileReport {
	data := s.contents[name]
	file := FileReport{Name: name, Bytes: len(data), State: stateUnused}
	header, err := readFileHeader(data)
	if err != nil {
		file.State = err.Error()
		return file
	}
	isCurrent := s.manifest.snapshot == number
	if s.manifestDamage != nil {
		isCurrent = s.manifest.snapshot == 0 // no intact snapshot was found yet
	}
	if !isCurrent {
		return file
	}
	index, intact := new(btree.Map[string, []byte]), false
	for _, current := range intactFrames(header, data, fileHeaderSize) {
		keys, err := applyPayload(index, current.payload)
		intact = intact || err == nil && keys == index.Len()
		file.Frames++
	}
	if intact || s.manifestDamage == nil {
		s.index, s.lastSequence, s.storeID = index, header.lastSequence, header.storeID
	}
	if !intact {
		file.State = stateDamaged
		s.Unreadable = append(s.Unreadable, "a part of the snapshot")
		return file
	}
	file.State = stateIntact
	if s.manifestDamage != nil {
		s.manifest = manifest{storeID: header.storeID, snapshot: number, firstSegment: number + 1}
	}
	return file
}

// readSegment applies all intact frames of a segment that follow the last applied batch.
func (s *salvager) readSegment(name string, number uint64) {
	data := s.contents[name]
	file := FileReport{Name: name, Bytes: len(data), State: stateLog}
	header, err := readFileHeader(data)
	if err != nil {
		// The checksums of the frames can still be verified, with the values that the header must have had.
		file.State = err.Error()
		header = fileHeader{storeID: max(s.manifest.storeID, s.storeID), number: number}
	}
	s.storeID = max(s.storeID, header.storeID)
	for _, current := range intactFrames(header, data, fileHeaderSize) {
		if current.sequence > s.lastSequence && s.applyFrame(current) {
			file.Frames++
		}
	}
	s.Files = append(s.Files, file)
}

// applyFrame applies a frame and records the batches that are missing before it in Unreadable. It returns false if the
// payload is invalid.
func (s *salvager) applyFrame(current frame) bool {
	expected := s.lastSequence + 1
	if current.sequence > expected && (s.started || current.sequence > 1) {
		s.Unreadable = append(s.Unreadable, fmt.Sprintf("batches %d to %d", expected, current.sequence-1))
	}
	if _, err := applyPayload(s.index, current.payload); err != nil {
		return false
	}
	s.started = true
	s.lastSequence = current.sequence
	s.Batches++
	return true
}
