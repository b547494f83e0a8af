package store

import (
	"errors"
	"fmt"

	"gingerfork/internal/disk"
)

// Repair writes what can be read as a new snapshot. The earlier files are renamed: their names end in .damaged from then
// on. An intact store is not changed. The report is what was read before the repair.
func Repair(folder disk.Folder) (*CheckReport, error) {
	lock, err := folder.Lock()
	if err != nil {
		return nil, fmt.Errorf("repair the store: %w", err)
	}
	defer func() { _ = lock.Close() }() // the kernel drops the lock with the process in any case
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

// writeSalvaged writes a snapshot and a segment with numbers that no file has had, and puts them in force.
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
		return fmt.Errorf("write what can be read: %w", err)
	}
	// The old manifest is copied and not renamed, so that there is a manifest at any time. The copy only serves whoever
	// looks into the damage, so a failure, as of a second repair whose copy exists, does not end the repair.
	_ = copyDamagedManifest(folder)
	if err := store.replaceManifest(next); err != nil {
		return fmt.Errorf("put it in force: %w", err)
	}
	return nil
}

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

// renameDamaged renames the segments and snapshots up to a number.
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
