package experiment

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// fullDisk is a file on a disk that holds at most capacity bytes.
type fullDisk struct {
	data     []byte
	offset   int64
	capacity int
}

func (d *fullDisk) Write(data []byte) (int, error) {
	n := min(len(data), d.capacity-len(d.data))
	d.data = append(d.data, data[:n]...)
	d.offset += int64(n)
	if n < len(data) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (d *fullDisk) Seek(offset int64, whence int) (int64, error) {
	if whence == io.SeekStart {
		d.offset = offset
	}
	return d.offset, nil
}

func (d *fullDisk) Sync() error { return nil }

func (d *fullDisk) Truncate(size int64) error {
	d.data = d.data[:size]
	return nil
}

// If a run can't be appended because the disk is full, the file still ends with the last complete line.
func TestAppendRunOnFullDisk(t *testing.T) {
	disk := &fullDisk{capacity: 400}
	appended := 0
	for range 5 {
		if appendRun(disk, Run{Arm: Arm{"1"}, Figures: map[string]float64{"service": 1}}) == nil {
			appended++
		}
	}
	if strings.Count(string(disk.data), "\n") != appended || appended == 0 || appended == 5 || !strings.HasSuffix(string(disk.data), "}\n") {
		t.Errorf("%d appended: %q", appended, disk.data)
	}
}
