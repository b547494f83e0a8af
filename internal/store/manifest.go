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

// Parts of the manifest, a text file. The magic is followed by the version, the fields and the checksum, a line each.
const (
	manifestMagic   = "gingerfork-store "
	manifestVersion = manifestMagic + "1\n"
	manifestFormat  = manifestVersion + "id %016x\nsnapshot %d\nfirst %d\n"
	manifestScan    = manifestVersion + "id %x\nsnapshot %d\nfirst %d\n"
	checksumLabel   = "check "
)

// Possible causes of a CorruptionError.
var (
	errNotManifest      = errors.New("not a store manifest")
	errManifestChecksum = errors.New("manifest checksum mismatch")
)

// manifest identifies the current files: one snapshot and the segments after it.
type manifest struct {
	storeID      uint64
	snapshot     uint64 // number of the snapshot; 0: none
	firstSegment uint64 // number of the first segment after the snapshot; earlier segments are not read
}

// encode returns the content of the manifest file.
func (m manifest) encode() []byte {
	text := fmt.Appendf(nil, manifestFormat, m.storeID, m.snapshot, m.firstSegment)
	return append(text, checksumLine(text)...)
}

// checksumLine returns the last line of a manifest with the given preceding text.
func checksumLine(text []byte) string {
	return fmt.Sprintf("%s%08x\n", checksumLabel, checksum(text))
}

// parseManifest decodes a manifest. The error is ErrNewerFormat or a cause for a CorruptionError.
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

// dataFileNumber returns the number in the name of a segment or snapshot, or 0 for any other name.
func dataFileNumber(name string) uint64 { return max(segmentNumber(name), snapshotNumber(name)) }

// fileNumber returns the number in a file name with the given suffix, or 0 for any other name.
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

// writeSynced writes the content of a new file and syncs it. The name of the file is not durable until the next SyncDir.
func writeSynced(file disk.File, content []byte) error {
	if _, err := file.Append(content); err != nil {
		return err
	}
	return file.Sync()
}

// replaceManifest makes another manifest current: it writes and syncs a temporary file, renames it and syncs the folder.
// The files named by the old manifest must be kept until replaceManifest has returned without an error.
func (s *Store) replaceManifest(next manifest) error {
	// The file exists only after a crash or a failed call. If it can't be removed, Create fails.
	_ = s.folder.Remove(temporaryManifestName)
	file, err := s.folder.Create(temporaryManifestName)
	if err != nil {
		return err
	}
	err = writeSynced(file, next.encode())
	_ = file.Close() // either the content is synced, or the file is not used
	if err != nil {
		return err
	}
	if err := s.folder.Rename(temporaryManifestName, manifestName); err != nil {
		return err
	}
	if err := s.folder.SyncDir(); err != nil {
		// Either manifest may be found after a crash, so the files of both must be kept: breaking the store prevents any
		// further removal.
		s.setBroken(fmt.Errorf("sync the folder: %w", err))
		return err
	}
	s.manifest = next
	return nil
}
