package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

// Salvage is what can be read of a store, damaged or not: every frame that stands whole, in order.
type CheckReport struct {
	Absent     bool // there is no store yet
	Intact     bool // nothing is damaged; a torn tail is none
	Damage     string
	Files      []FileReport
	Keys       int
	Batches    int      // of the log
	Unreadable []string // numbers of batches that can't be read though later ones can
	Recovery   Recovery // where it is whole
	id         uint64
	index      *btree.Map[string, []byte]
	seq        uint64
	last       uint64
}

// FileReport tells of a file.
type FileReport struct {
	Name   string
	Bytes  int
	Frames int
	State  string
}

func (s *CheckReport) String() string {
	text := fmt.Sprintf("%d keys, of %d batches up to %d", s.Keys, s.Batches, s.seq)
	if len(s.Unreadable) > 0 {
		text += ", without " + strings.Join(s.Unreadable, ", ")
	}
	return text
}

// Check reads a store without changing anything; its error is that of the folder, damage stands in the Salvage.
func Check(d disk.Folder) (*CheckReport, error) {
	s, err := salvage(d)
	if err != nil {
		return nil, err
	}
	f, err := read(d)
	var damage *CorruptionError
	switch {
	case err == nil:
		s.Intact, s.Absent, s.Recovery = true, f.fresh, f.recovery
		s.index, s.seq, s.Keys, s.Batches, s.Unreadable = f.index, f.seq, f.index.Len(), f.recovery.LogFrames, nil
	case errors.As(err, &damage):
		s.Damage = err.Error()
	default:
		return nil, err
	}
	return s, nil
}

// salvage reads what stands whole. Where the manifest can't be read, the newest snapshot that is whole is taken, and the
// log behind it.
func salvage(d disk.Folder) (*CheckReport, error) {
	names, err := d.Names()
	if err != nil {
		return nil, fmt.Errorf("read the store's folder: %w", err)
	}
	s := &CheckReport{index: new(btree.Map[string, []byte])}
	files := map[string][]byte{}
	for _, n := range names {
		if n != manifestName && numberOf(n, ".seg") == 0 && numberOf(n, ".snap") == 0 {
			continue
		}
		if files[n], err = disk.ReadAll(d, n); err != nil {
			return nil, fmt.Errorf("read %s: %w", n, err)
		}
		s.last = max(s.last, numberOf(n, ".seg"), numberOf(n, ".snap"))
	}
	m, bad := readManifest(files[manifestName])
	if errors.Is(bad, errNewer) {
		return nil, fmt.Errorf("%s: %w", manifestName, bad)
	}
	state := "in force"
	if bad != nil {
		state = bad.Error()
	}
	s.Files = append(s.Files, FileReport{manifestName, len(files[manifestName]), 0, state})
	// The snapshot: the manifest's, in part if need be; else the newest that is whole.
	for _, n := range slices.Backward(names) {
		number := numberOf(n, ".snap")
		if number == 0 {
			continue
		}
		h, err := readHead(files[n])
		r := FileReport{n, len(files[n]), 0, "not in force"}
		if err != nil {
			r.State = err.Error()
		} else if bad == nil && number == m.snap || bad != nil && m.snap == 0 {
			index, frames, whole := new(btree.Map[string, []byte]), 0, false
			for _, x := range later(h, files[n], headSize) {
				end, err := eachOp(x.payload, func(key string, value []byte) { index.Set(key, value) })
				if frames++; err == nil && end == index.Len() {
					whole = true
				}
			}
			if r.Frames = frames; whole || bad == nil {
				s.index, s.seq, s.id = index, h.upto, h.id
				if bad != nil {
					m = manifest{h.id, number, number + 1}
				}
			}
			if r.State = "whole"; !whole {
				r.State = "damaged"
				s.Unreadable = append(s.Unreadable, "a part of the snapshot")
			}
		}
		s.Files = append(s.Files, r)
	}
	begun := s.seq > 0 // else the first batch found is the first
	for _, n := range names {
		number := numberOf(n, ".seg")
		if number == 0 || number < m.first {
			continue
		}
		h, err := readHead(files[n])
		r := FileReport{n, len(files[n]), 0, "log"}
		if err != nil { // its frames can be told all the same, by what a head would say
			r.State = err.Error()
			h = fileHead{id: max(m.id, s.id), number: number}
		}
		s.id = max(s.id, h.id)
		for _, x := range later(h, files[n], headSize) {
			if x.seq <= s.seq {
				continue
			}
			if x.seq > s.seq+1 && (begun || x.seq > 1) {
				s.Unreadable = append(s.Unreadable, fmt.Sprintf("batches %d to %d", s.seq+1, x.seq-1))
			}
			if _, err := eachOp(x.payload, func(key string, value []byte) {
				if value == nil {
					s.index.Delete(key)
				} else {
					s.index.Set(key, value)
				}
			}); err != nil {
				continue
			}
			begun = true
			s.seq = x.seq
			s.Batches++
			r.Frames++
		}
		s.Files = append(s.Files, r)
	}
	s.id = max(s.id, m.id)
	s.Keys = s.index.Len()
	return s, nil
}

// Each goes through what was read, in the keys' order.
func (s *CheckReport) Each(do func(key string, value []byte)) {
	s.index.Scan(func(key string, value []byte) bool { do(key, value); return true })
}

// Repair writes what can be read as a new snapshot, and puts the files as they were aside, under names that end in
// .damaged. A store that is whole is left alone.
func Repair(d disk.Folder) (*CheckReport, error) {
	lock, err := d.Lock()
	if err != nil {
		return nil, fmt.Errorf("repair the store: %w", err)
	}
	defer lock.Close()
	got, err := Check(d)
	if err != nil || got.Intact {
		return got, err
	}
	s := &Store{dir: d, index: got.index, seq: got.seq, manifest: manifest{id: max(got.id, 1)}}
	if err := s.segment(got.last+2, func() {}); err != nil {
		return nil, fmt.Errorf("repair the store: make a segment: %w", err)
	}
	defer s.cur.file.Close()
	c := s.start(got.last + 1)
	for more := true; more; {
		if more, err = c.step(); err != nil {
			return nil, fmt.Errorf("repair the store: write what can be read: %w", err)
		}
	}
	// The old manifest goes aside by a copy, so that there is one at any time.
	if data, err := disk.ReadAll(d, manifestName); err == nil {
		if f, err := d.Create(manifestName + damagedEnd); err == nil {
			_, _ = f.Append(data)
			_ = f.Sync()
			f.Close()
		}
	}
	if err := s.replace(manifest{s.manifest.id, c.number, c.number + 1}); err != nil {
		return nil, fmt.Errorf("repair the store: put it in force: %w", err)
	}
	names, err := d.Names()
	for _, n := range names {
		if number := max(numberOf(n, ".seg"), numberOf(n, ".snap")); number > 0 && number <= got.last && err == nil {
			err = d.Rename(n, n+damagedEnd)
		}
	}
	if err == nil {
		err = d.SyncDir()
	}
	if err != nil {
		return nil, fmt.Errorf("repair the store: put the old files aside: %w", err)
	}
	return got, nil
}
