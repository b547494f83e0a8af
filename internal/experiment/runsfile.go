package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// RunsName is the name of the file of finished runs. It has a line of JSON for each run, in the order in which the runs finished.
const RunsName = "runs.jsonl"

const maxRunBytes = 1 << 20

// runKey returns a key that identifies a run within a plan.
func runKey(arm Arm, seed uint64) string { return fmt.Sprintf("%q %d", []string(arm), seed) }

// readFinishedRuns reads the finished runs of this plan and this version of the program, by runKey. A last line that was left
// incomplete by a crash is removed from the file, so that the next run starts on a new line.
func (p *Plan) readFinishedRuns(file *os.File, commit string) (map[string]Run, error) {
	data, err := io.ReadAll(file)
	if err != nil {
		return nil, fmt.Errorf("read the finished runs: %w", err)
	}
	completeBytes := bytes.LastIndexByte(data, '\n') + 1
	if err := file.Truncate(int64(completeBytes)); err != nil {
		return nil, fmt.Errorf("remove the incomplete last line of the finished runs: %w", err)
	}
	if _, err := file.Seek(int64(completeBytes), io.SeekStart); err != nil {
		return nil, fmt.Errorf("read the finished runs: %w", err)
	}
	runs := map[string]Run{}
	lines := bufio.NewScanner(bytes.NewReader(data[:completeBytes]))
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

// runsFile is the file of finished runs, as far as appendRun needs it.
type runsFile interface {
	io.WriteSeeker
	Sync() error
	Truncate(size int64) error
}

// appendRun appends a run to the file and syncs it. If this fails, it removes what was written.
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
		// Errors here are ignored, because the first error is returned, and an incomplete line is removed when the file is next read.
		_ = file.Truncate(offset)
		_, _ = file.Seek(offset, io.SeekStart)
	}
	return err
}
