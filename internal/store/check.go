package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

// States of a file in a FileReport.
const (
	stateCurrent = "in force"
	stateUnused  = "not in force"
	stateIntact  = "whole"
	stateDamaged = "damaged"
	stateLog     = "log"
)

// CheckReport is what can be read of a store, damaged or not.
type CheckReport struct {
	Absent     bool  // there is no store yet
	Intact     bool  // nothing is damaged; a torn tail is no damage
	Damage     error // a CorruptionError, unless Intact
	Files      []FileReport
	Keys       int
	Batches    int      // of the log
	Unreadable []string // what can't be read though later batches can
	Recovery   Recovery // if Intact

	storeID       uint64
	index         *btree.Map[string, []byte]
	lastSequence  uint64
	highestNumber uint64 // of all segments and snapshots
}

// FileReport is what was found in one file.
type FileReport struct {
	Name   string
	Bytes  int
	Frames int // that were applied
	State  string
}

// String returns a summary of what can be read.
func (r *CheckReport) String() string {
	text := fmt.Sprintf("%d keys, of %d batches up to %d", r.Keys, r.Batches, r.lastSequence)
	if len(r.Unreadable) > 0 {
		text += ", without " + strings.Join(r.Unreadable, ", ")
	}
	return text
}

// Each calls do for each key that was read, in order.
func (r *CheckReport) Each(do func(key string, value []byte)) {
	r.index.Scan(func(key string, value []byte) bool {
		do(key, value)
		return true
	})
}

// Check reads a store without changing anything. Damage is reported in the CheckReport; the error is ErrNewerFormat or one
// of the folder.
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

// salvager reads every frame that is intact, in order, and skips the rest.
type salvager struct {
	*CheckReport
	names    []string // of all files
	contents map[string][]byte
	manifest manifest
	// manifestDamage is why the manifest can't be read; nil if it can.
	manifestDamage error
	started        bool // a batch or snapshot was found, so that a gap after it shows
}

// salvage reads what is intact in a folder. If the manifest can't be read, the newest snapshot that is intact is used, and
// the log after it. The error is ErrNewerFormat or one of the folder.
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

// readSnapshots reads the snapshot in force, in part if need be; without a manifest, the newest that is intact.
func (s *salvager) readSnapshots() {
	for _, name := range slices.Backward(s.names) {
		if number := snapshotNumber(name); number > 0 {
			s.Files = append(s.Files, s.readSnapshot(name, number))
		}
	}
}

func (s *salvager) readSnapshot(name string, number uint64) FileReport {
	data := s.contents[name]
	file := FileReport{Name: name, Bytes: len(data), State: stateUnused}
	header, err := readFileHeader(data)
	if err != nil {
		file.State = err.Error()
		return file
	}
	inForce := s.manifest.snapshot == number
	if s.manifestDamage != nil {
		inForce = s.manifest.snapshot == 0 // none was found yet
	}
	if !inForce {
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

func (s *salvager) readSegment(name string, number uint64) {
	data := s.contents[name]
	file := FileReport{Name: name, Bytes: len(data), State: stateLog}
	header, err := readFileHeader(data)
	if err != nil {
		// The frames' checksums can be verified all the same, with what the header must have been.
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

// applyFrame applies a frame and notes the batches that are missing before it. It returns false if its payload is invalid.
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
