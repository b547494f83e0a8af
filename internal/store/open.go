package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

const (
	manifestName = "MANIFEST"
	newName      = "MANIFEST.new"
	manifestHead = "gingerfork-store 1"
	damagedEnd   = ".damaged"
)

// Damage is what Open refuses: records that were acknowledged, or may have been, and can't be read.
type CorruptionError struct {
	File        string
	Offset      int64 // offset
	Cause       error
	Recoverable string // what a repair would keep
}

func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %v; a repair would keep %s", d.File, d.Offset, d.Cause, d.Recoverable)
}

func (d *CorruptionError) Unwrap() error { return d.Cause }

// ErrNewer: the store was written by a later program.
var ErrNewerFormat = errNewer

// manifest names what is in force: a snapshot (0: none) and the first segment behind it.
type manifest struct {
	id, snap, first uint64
}

func (m manifest) encode() []byte {
	text := fmt.Sprintf("%s\nid %016x\nsnapshot %d\nfirst %d\n", manifestHead, m.id, m.snap, m.first)
	return fmt.Appendf(nil, "%scheck %08x\n", text, crc([]byte(text)))
}

func readManifest(data []byte) (m manifest, err error) {
	text := string(data)
	if !strings.HasPrefix(text, "gingerfork-store ") {
		return m, errors.New("it is no manifest of a store")
	}
	at := strings.LastIndex(text, "check ")
	if at < 0 || text[at:] != fmt.Sprintf("check %08x\n", crc(data[:at])) {
		return m, errors.New("its checksum does not match")
	}
	if !strings.HasPrefix(text, manifestHead+"\n") {
		return m, errNewer
	}
	_, err = fmt.Sscanf(text, manifestHead+"\nid %x\nsnapshot %d\nfirst %d\n", &m.id, &m.snap, &m.first)
	return m, err
}

func segName(n uint64) string  { return fmt.Sprintf("%08d.seg", n) }
func snapName(n uint64) string { return fmt.Sprintf("%08d.snap", n) }

// numberOf reads the number in a file's name; 0 if it is none of ours.
func numberOf(name, end string) uint64 {
	text, ok := strings.CutSuffix(name, end)
	n, err := strconv.ParseUint(text, 10, 64)
	if !ok || err != nil || len(text) < 8 {
		return 0
	}
	return n
}

// Recovery tells what was found at an open.
type Recovery struct {
	SnapshotFrames, LogFrames int    // frames read from the snapshot, and from the log behind it
	Keys                      int    //
	LastSequence              uint64 // the last batch
	LogBytes                  int64  // of the log
	TornBytes                 int64  // bytes of a torn tail
	TornFile                  string // where
	RemovedFiles              []string
}

// found is what the files of a folder say.
type found struct {
	manifest manifest
	fresh    bool // there is no store yet
	index    *btree.Map[string, []byte]
	seq      uint64
	closed   bool   // in order: all of it is durable
	last     uint64 // the highest number that any file has
	snapSize int64
	recovery Recovery
}

// read reads the folder without changing anything.
func read(d disk.Folder) (*found, error) {
	names, err := d.Names()
	if err != nil {
		return nil, fmt.Errorf("read the store's folder: %w", err)
	}
	f := &found{index: new(btree.Map[string, []byte])}
	for _, n := range names {
		f.last = max(f.last, numberOf(n, ".seg"), numberOf(n, ".snap"))
	}
	data, err := disk.ReadAll(d, manifestName)
	if errors.Is(err, fs.ErrNotExist) {
		// A store whose making was cut short has no batch; one that has some has lost its manifest.
		for _, n := range names {
			if numberOf(n, ".snap") == 0 && numberOf(n, ".seg") == 0 {
				continue
			}
			b, err := disk.ReadAll(d, n)
			if err != nil {
				return nil, fmt.Errorf("read %s: %w", n, err)
			}
			if len(b) > headSize {
				return nil, f.damage(d, manifestName, 0, fmt.Errorf("it is not there, yet %s has batches", n))
			}
		}
		f.fresh = true
		return f, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", manifestName, err)
	}
	if f.manifest, err = readManifest(data); errors.Is(err, errNewer) {
		return nil, fmt.Errorf("%s: %w", manifestName, err)
	} else if err != nil {
		return nil, f.damage(d, manifestName, 0, err)
	}
	if f.manifest.snap > 0 {
		if err := f.snapshot(d); err != nil {
			return nil, err
		}
	}
	return f, f.log(d, names)
}

// take applies a frame.
func (f *found) take(x frame) (end int, err error) {
	return eachOp(x.payload, func(key string, value []byte) {
		if value == nil {
			f.index.Delete(key)
		} else {
			f.index.Set(key, value)
		}
	})
}

func (f *found) snapshot(d disk.Folder) error {
	name := snapName(f.manifest.snap)
	data, err := disk.ReadAll(d, name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read %s: %w", name, err)
	}
	if err != nil {
		return f.damage(d, name, 0, errors.New("it is not there"))
	}
	h, err := f.head(data, true, f.manifest.snap)
	if err != nil {
		return f.damage(d, name, 0, err)
	}
	at, end := headSize, -1
	for at < len(data) && end < 0 {
		x, err := readFrame(h, data, at)
		if err == nil {
			end, err = f.take(x)
		}
		if err != nil {
			return f.damage(d, name, at, err)
		}
		at += x.size
		f.recovery.SnapshotFrames++
	}
	if end != f.index.Len() || at != len(data) {
		return f.damage(d, name, at, fmt.Errorf("it ends with %d of %d keys", f.index.Len(), end))
	}
	f.seq, f.snapSize = h.upto, int64(len(data))
	return nil
}

// head reads the head of a file that must be this one.
func (f *found) head(data []byte, snap bool, number uint64) (h fileHead, err error) {
	if h, err = readHead(data); err == nil && (h.snap != snap || h.number != number || h.id != f.manifest.id) {
		err = fmt.Errorf("its head is that of number %d of store %016x", h.number, h.id)
	}
	return h, err
}

// log reads the segments. At the first frame that is torn the log ends, and what stands behind is left out, unless some
// of that proves that the torn frame was durable: then it is damage.
func (f *found) log(d disk.Folder, names []string) error {
	var at struct { // where the log ends for want of a frame
		name string
		off  int
		cut  int64
	}
	for number := f.manifest.first; ; number++ {
		name := segName(number)
		if !slices.Contains(names, name) {
			if over := f.beyond(names, number); over != "" {
				return f.damage(d, name, 0, fmt.Errorf("it is not there, but %s is", over))
			}
			if number == f.manifest.first {
				return f.damage(d, name, 0, errors.New("it is not there"))
			}
			break
		}
		data, err := disk.ReadAll(d, name)
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		f.recovery.LogBytes += int64(len(data))
		h, err := f.head(data, false, number)
		if errors.Is(err, errTorn) && number > f.manifest.first && len(data) <= headSize {
			f.closed = false // a crash while it was made: nothing was ever written behind its head, nor can be
			break
		}
		if err != nil {
			return f.damage(d, name, 0, err)
		}
		off := headSize
		for at.name == "" && off < len(data) {
			x, err := readFrame(h, data, off)
			if err == nil && x.seq != f.seq+1 {
				if err = fmt.Errorf("batch %d where %d is due", x.seq, f.seq+1); x.seq > f.seq+1 && x.durable <= f.seq {
					err = errTorn // those between never got to the disk
				}
			}
			if err == nil {
				_, err = f.take(x)
			}
			if errors.Is(err, errTorn) {
				at.name, at.off = name, off
				break
			}
			if err != nil {
				return f.damage(d, name, off, err)
			}
			f.seq, off = x.seq, off+x.size
			f.closed = len(x.payload) == 1 && x.payload[0] == opClosed && x.durable+1 == x.seq
			f.recovery.LogFrames++
		}
		if at.name != "" {
			at.cut += int64(len(data) - off)
			for _, x := range later(h, data, off) {
				if x.durable > f.seq {
					return f.damage(d, at.name, at.off, fmt.Errorf("batch %d is torn, though it was durable when batch %d was written", f.seq+1, x.seq))
				}
			}
		}
	}
	f.closed = f.closed && at.name == ""
	f.recovery.TornBytes, f.recovery.TornFile = at.cut, at.name
	f.recovery.Keys, f.recovery.LastSequence = f.index.Len(), f.seq
	return nil
}

// beyond names a segment behind one that is not there.
func (f *found) beyond(names []string, number uint64) string {
	for _, n := range names {
		if numberOf(n, ".seg") > number {
			return n
		}
	}
	return ""
}

func (f *found) damage(d disk.Folder, name string, at int, cause error) error {
	keeps := "nothing"
	if got, err := salvage(d); err == nil {
		keeps = got.String()
	}
	return &CorruptionError{name, int64(at), cause, keeps}
}
