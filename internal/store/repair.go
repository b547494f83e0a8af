package store

import (
	"errors"
	"fmt"

	"gingerfork/internal/disk"
)

// Repair writes the readable contents of a damaged store to a new snapshot, and appends .damaged to the names of the old
// files. An intact store is not changed. The report describes the store before the repair.
func Repair(folder disk.Folder) (*CheckReport, error) {
	lock, err := folder.Lock()
	if err != nil {
		return nil, fmt.Errorf("repair the store: %w", err)
	}
	defer func() { _ = lock.Close() }() // the kernel releases the lock with the process in any case
	report, err := Check(folder)
	if err != nil || report.Intact {
		return report, err
	}
	if err := writeSalvaged(folder, report); err != nil {
		return nil, fmt.Errorf("repair the store: %w", err)
	}
	if err := renameDamaged(folder, report.highestNumber); err != nil {
		return nil, fmt.Errorf("repair the store: rename the damaged files: %w", err)
	}
	return report, nil
}

// writeSalvaged writes the contents of a report to a snapshot, creates a segment, both with numbers that no file has had,
// and makes them current.
func writeSalvaged(folder disk.Folder, report *CheckReport) error {
	store := &Store{
		folder:       folder,
		index:        report.index,
		lastSequence: report.lastSequence,
		manifest:     manifest{storeID: max(report.storeID, 1)},
	}
	next := manifest{
		storeID:      store.manifest.storeID,
		snapshot:     report.highestNumber + 1,
		firstSegment: report.highestNumber + 2,
	}
	if err := store.startSegment(next.firstSegment); err != nil {
		return fmt.Errorf("create a segment: %w", err)
	}
	defer store.active.close()
	if err := store.newSnapshotWriter(next.snapshot).writeAll(); err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	// The old manifest is copied instead of renamed, so that a manifest exists at all times. The copy is only needed to
	// investigate the damage, so a failure to write it does not stop the repair. A second repair fails to write it because
	// the copy exists.
	_ = copyDamagedManifest(folder)
	if err := store.replaceManifest(next); err != nil {
		return fmt.Errorf("replace the manifest: %w", err)
	}
	return nil
}

// copyDamagedManifest copies the manifest to a file whose name ends in .damaged.
func copyDamagedManifest(folder disk.Folder) error {
	data, err := disk.ReadAll(folder, manifestName)
	if err != nil {
		return err
	}
	file, err := folder.Create(manifestName + damagedSuffix)
	if err != nil {
		return err
	}
	return errors.Join(writeSynced(file, data), file.Close())
}

// renameDamaged appends .damaged to the names of all segments and snapshots up to a number.
func renameDamaged(folder disk.Folder, highestNumber uint64) error {
	names, err := folder.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		number := dataFileNumber(name)
		if number == 0 || number > highestNumber {
			continue
		}
		if err := folder.Rename(name, name+damagedSuffix); err != nil {
			return err
		}
	}
	return folder.SyncDir()
}
