package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"gingerfork/internal/disk"
	"gingerfork/internal/store"
)

type storeCmd struct {
	Check   storeCheckCmd   `cmd:"" help:"Read a store and report whether it is intact, without changing it. Example: gingerfork store check /var/lib/gingerfork/store"`
	Dump    storeDumpCmd    `cmd:"" help:"Print keys and values, one per line. Example: gingerfork store dump /var/lib/gingerfork/store"`
	Compact storeCompactCmd `cmd:"" help:"Rewrite a store to its smallest size; no coordinator may have it open. Example: gingerfork store compact /var/lib/gingerfork/store"`
}

var (
	errNoStore      = errors.New("there is no store")
	errStoreDamaged = errors.New("the store is damaged; --repair keeps the data that can be read")
)

// checkStore reads the store in a folder without changing it. A folder without a store is an error.
func checkStore(dir string) (*disk.Real, *store.CheckReport, error) {
	folder, err := disk.OpenReal(dir)
	if err != nil {
		return nil, nil, err
	}
	report, err := store.Check(folder)
	if err != nil {
		return nil, nil, err
	}
	if report.Absent {
		return nil, nil, fmt.Errorf("%w in %s", errNoStore, dir)
	}
	return folder, report, nil
}

type storeCheckCmd struct {
	Dir    string `arg:"" help:"Folder of the store."`
	Repair bool   `help:"Rewrite the data that can be read, and rename the damaged files."`
}

// Run prints the size and state of each file, and whether the store is intact. With --repair it repairs a damaged store.
func (c storeCheckCmd) Run(cli *program) error {
	folder, report, err := checkStore(c.Dir)
	if err != nil {
		return err
	}
	for _, file := range report.Files {
		fmt.Fprintf(cli.out, "%-16s %10d bytes %6d frames  %s\n", file.Name, file.Bytes, file.Frames, file.State)
	}
	if report.Intact {
		printRecovery(cli, report.Recovery)
		return nil
	}
	fmt.Fprintln(cli.err, report.Damage)
	if !c.Repair {
		return errStoreDamaged
	}
	repaired, err := store.Repair(folder)
	if err != nil {
		return err
	}
	fmt.Fprintf(cli.out, "repaired: kept %s; the previous files were renamed to end in .damaged\n", repaired)
	return nil
}

// printRecovery prints what opening an intact store would recover from it.
func printRecovery(cli *program, recovery store.Recovery) {
	fmt.Fprintf(cli.out, "intact: %d keys, %d batches after the snapshot, the last batch is %d\n",
		recovery.Keys, recovery.LogFrames, recovery.LastSequence)
	if recovery.TornBytes > 0 {
		fmt.Fprintf(cli.out, "torn tail of %d bytes in %s: it was never acknowledged and will be truncated at the next start\n",
			recovery.TornBytes, recovery.TornFile)
	}
}

type storeDumpCmd struct {
	Dir  string `arg:"" help:"Folder of the store."`
	From string `help:"Print only keys that begin with this prefix." placeholder:"PREFIX"`
}

// Run prints the keys and values that can be read, and then returns an error if the store is damaged.
func (c storeDumpCmd) Run(cli *program) error {
	_, report, err := checkStore(c.Dir)
	if err != nil {
		return err
	}
	report.Each(func(key string, value []byte) {
		if strings.HasPrefix(key, c.From) {
			fmt.Fprintf(cli.out, "%s %s\n", strconv.Quote(key), strconv.Quote(string(value)))
		}
	})
	if !report.Intact {
		return report.Damage
	}
	return nil
}

type storeCompactCmd struct {
	Dir string `arg:"" help:"Folder of the store."`
}

// Run compacts the store and prints its size.
func (c storeCompactCmd) Run(cli *program) error {
	folder, _, err := checkStore(c.Dir)
	if err != nil {
		return err
	}
	opened, _, err := store.Open(store.Options{Folder: folder})
	if err != nil {
		return err
	}
	for more := true; more && err == nil; {
		more, err = opened.Compact(true)
	}
	stats := opened.Stats()
	if err := errors.Join(err, opened.Close()); err != nil {
		return err
	}
	fmt.Fprintf(cli.out, "%d keys in %d bytes\n", stats.Keys, stats.SnapshotBytes+stats.LogBytes)
	return nil
}
