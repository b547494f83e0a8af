package main

import (
	"errors"
	"fmt"
	"strconv"

	"gingerfork/internal/disk"
	"gingerfork/internal/store"
)

type storeCmd struct {
	Check   storeCheckCmd   `cmd:"" help:"Read a store and say whether it is whole; nothing is changed. Example: gingerfork store check /var/lib/gingerfork/store"`
	Dump    storeDumpCmd    `cmd:"" help:"Print keys and values, a line each. Example: gingerfork store dump /var/lib/gingerfork/store"`
	Compact storeCompactCmd `cmd:"" help:"Write a store anew, as small as it can be; no coordinator may own it. Example: gingerfork store compact /var/lib/gingerfork/store"`
}

// look reads the store in a folder without changing anything.
func look(dir string) (*disk.Real, *store.CheckReport, error) {
	d, err := disk.OpenReal(dir)
	if err != nil {
		return nil, nil, err
	}
	got, err := store.Check(d)
	if err == nil && got.Absent {
		err = fmt.Errorf("there is no store in %s", dir)
	}
	return d, got, err
}

type storeCheckCmd struct {
	Dir    string `arg:"" help:"The store's folder."`
	Repair bool   `help:"Keep what can be read, and put the damaged files aside."`
}

func (c storeCheckCmd) Run(p *program) error {
	d, got, err := look(c.Dir)
	if err != nil {
		return badError{err}
	}
	for _, f := range got.Files {
		fmt.Fprintf(p.out, "%-16s %10d bytes %6d frames  %s\n", f.Name, f.Bytes, f.Frames, f.State)
	}
	if got.Intact {
		r := got.Recovery
		fmt.Fprintf(p.out, "whole: %d keys, %d batches behind the snapshot, the last is %d\n", r.Keys, r.LogFrames, r.LastSequence)
		if r.TornBytes > 0 {
			fmt.Fprintf(p.out, "a torn tail of %d bytes in %s: never acknowledged, cut at the next start\n", r.TornBytes, r.TornFile)
		}
		return nil
	}
	fmt.Fprintln(p.err, got.Damage)
	if !c.Repair {
		return badError{errors.New("the store is damaged; --repair keeps what can be read")}
	}
	if got, err = store.Repair(d); err != nil {
		return badError{err}
	}
	fmt.Fprintf(p.out, "repaired: kept %s; the files as they were end in .damaged\n", got)
	return nil
}

type storeDumpCmd struct {
	Dir  string `arg:"" help:"The store's folder."`
	From string `help:"Only keys that begin with this." placeholder:"PREFIX"`
}

func (c storeDumpCmd) Run(p *program) error {
	_, got, err := look(c.Dir)
	if err != nil {
		return badError{err}
	}
	got.Each(func(key string, value []byte) {
		if len(key) >= len(c.From) && key[:len(c.From)] == c.From {
			fmt.Fprintf(p.out, "%s %s\n", strconv.Quote(key), strconv.Quote(string(value)))
		}
	})
	if !got.Intact {
		return badError{got.Damage}
	}
	return nil
}

type storeCompactCmd struct {
	Dir string `arg:"" help:"The store's folder."`
}

func (c storeCompactCmd) Run(p *program) error {
	d, _, err := look(c.Dir)
	if err != nil {
		return badError{err}
	}
	s, _, err := store.Open(store.Options{Folder: d})
	if err != nil {
		return badError{err}
	}
	for more := true; more && err == nil; {
		more, err = s.Compact(true)
	}
	f := s.Stats()
	if err = errors.Join(err, s.Close()); err != nil {
		return badError{err}
	}
	fmt.Fprintf(p.out, "%d keys in %d bytes\n", f.Keys, f.SnapshotBytes+f.LogBytes)
	return nil
}
