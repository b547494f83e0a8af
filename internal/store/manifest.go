package store

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"gingerfork/internal/disk"
)

// Names of the files in a store's folder.
const (
	manifestName          = "MANIFEST"
	temporaryManifestName = "MANIFEST.new"
	segmentSuffix         = ".seg"
	snapshotSuffix        = ".snap"
	damagedSuffix         = ".damaged"
	fileNumberDigits      = 8
)

const (
	manifestMagic   = "gingerfork-store "
	manifestVersion = manifestMagic + "1\n"
	manifestFormat  = manifestVersion + "id %016x\nsnapshot %d\nfirst %d\n"
	manifestScan    = manifestVersion + "id %x\nsnapshot %d\nfirst %d\n"
	checksumLabel   = "check "
)

// Causes of a CorruptionError.
var (
	errNotManifest      = errors.New("it is no manifest of a store")
	errManifestChecksum = errors.New("its checksum does not match")
)

// manifest names the files in force.
type manifest struct {
	storeID      uint64
	snapshot     uint64 // number of the snapshot; 0: none
	firstSegment uint64 // number of the first segment after the snapshot
}

func (m manifest) encode() []byte {
	text := fmt.Appendf(nil, manifestFormat, m.storeID, m.snapshot, m.firstSegment)
	return append(text, checksumLine(text)...)
}

func checksumLine(text []byte) string {
	return fmt.Sprintf("%s%08x\n", checksumLabel, checksum(text))
}

// parseManifest reads a manifest. The error is ErrNewerFormat or a cause of corruption.
func parseManifest(data []byte) (parsed manifest, err error) {
	text := string(data)
	if !strings.HasPrefix(text, manifestMagic) {
		return parsed, errNotManifest
	}
	end := strings.LastIndex(text, checksumLabel)
	if end < 0 || text[end:] != checksumLine(data[:end]) {
		return parsed, errManifestChecksum
	}
	if !strings.HasPrefix(text, manifestVersion) {
		return parsed, ErrNewerFormat
	}
	_, err = fmt.Sscanf(text, manifestScan, &parsed.storeID, &parsed.snapshot, &parsed.firstSegment)
	return parsed, err
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%0*d%s", fileNumberDigits, number, segmentSuffix)
}

func snapshotName(number uint64) string {
	return fmt.Sprintf("%0*d%s", fileNumberDigits, number, snapshotSuffix)
}

func segmentNumber(name string) uint64  { return fileNumber(name, segmentSuffix) }
func snapshotNumber(name string) uint64 { return fileNumber(name, snapshotSuffix) }

// dataFileNumber returns the number in the name of a segment or snapshot; 0 if it is neither.
func dataFileNumber(name string) uint64 { return max(segmentNumber(name), snapshotNumber(name)) }

// fileNumber returns the number in the name of a file with this suffix; 0 if it has another name.
func fileNumber(name, suffix string) uint64 {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) < fileNumberDigits {
		return 0
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// writeSynced appends the content of a new file and makes it durable. The name is not durable yet.
func writeSynced(file disk.File, content []byte) error {
	if _, err := file.Append(content); err != nil {
		return err
	}
	return file.Sync()
}

// replaceManifest puts another manifest in force: written, synced, renamed, and the folder synced. The files of the old
// manifest must stay until it has returned.
func (s *Store) replaceManifest(next manifest) error {
	_ = s.folder.Remove(temporaryManifestName) // there is one only after a crash; if it stays, the next call fails
	file, err := s.folder.Create(temporaryManifestName)
	if err != nil {
		return err
	}
	err = writeSynced(file, next.encode())
	_ = file.Close() // the content is synced, or the file is not used
	if err != nil {
		return err
	}
	if err := s.folder.Rename(temporaryManifestName, manifestName); err != nil {
		return err
	}
	if err := s.folder.SyncDir(); err != nil {
		// Either manifest may be found after a crash, so the files of both must stay: nothing is removed any more.
		s.setBroken(fmt.Errorf("sync the folder: %w", err))
		return err
	}
	s.manifest = next
	return nil
}
