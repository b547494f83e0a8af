package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// RunsName is the name of the file of finished runs: a JSON line for each, in the order in which they finished.
const RunsName = "runs.jsonl"

const maxRunBytes = 1 << 20

// runKey identifies a run within a plan.
func runKey(arm Arm, seed uint64) string { return fmt.Sprintf("%q %d", []string(arm), seed) }

// finished reads the finished runs of this plan and program, by runKey. A last line that a crash truncated is removed, so that
// the next run has a line of its own.
func (p *Plan) finished(file *os.File, commit string) (map[string]Run, error) {
	data, err := io.ReadAll(file)
	if err != nil {
		return nil, fmt.Errorf("read the finished runs: %w", err)
	}
	complete := bytes.LastIndexByte(data, '\n') + 1
	if err := file.Truncate(int64(complete)); err != nil {
		return nil, fmt.Errorf("cut the finished runs' last line: %w", err)
	}
	if _, err := file.Seek(int64(complete), io.SeekStart); err != nil {
		return nil, fmt.Errorf("read the finished runs: %w", err)
	}
	runs := map[string]Run{}
	lines := bufio.NewScanner(bytes.NewReader(data[:complete]))
	lines.Buffer(nil, maxRunBytes)
	for number := 1; lines.Scan(); number++ {
		var run Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file.Name(), number, err)
		}
		if run.Plan == p.Hash() && run.Commit == commit && len(run.Arm) == len(p.Factors) {
			runs[runKey(run.Arm, run.Seed)] = run
		}
	}
	return runs, lines.Err()
}

// runsFile is what finished runs are appended to.
type runsFile interface {
	io.WriteSeeker
	Sync() error
	Truncate(size int64) error
}

// appendRun appends a run to the file and syncs it. If this fails, what was written of it is removed again.
func appendRun(file runsFile, run Run) error {
	line, err := json.Marshal(run)
	if err != nil {
		return err
	}
	offset, err := file.Seek(0, io.SeekCurrent)
	if err != nil {
		return err
	}
	if _, err = file.Write(append(line, '\n')); err == nil {
		err = file.Sync()
	}
	if err != nil {
		// The first error is the one to report; what cannot be removed is removed as a truncated line when the file is read.
		_ = file.Truncate(offset)
		_, _ = file.Seek(offset, io.SeekStart)
	}
	return err
}
