package bootstrap

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
)

const (
	// maxFileSize bounds a file, in bytes: a larger one was not meant as settings.
	maxFileSize     = 4 << 20
	maxIncludeDepth = 16
	includeWord     = "include"
)

// loadFile reads a file and what it includes (`include FILE`, relative to the including file's directory), in the order of
// reading. A file that includes itself, directly or by way of others, is a fault of the line that closes the cycle.
func loadFile(path string) (lines []Line, faults Faults) {
	first := source{path: path, shown: path, includedBy: Line{File: path, Number: 1}}
	return first.load()
}

// source is a file that is read.
type source struct {
	path       string
	shown      string   // its path for faults
	within     []string // resolved paths of the files that are being read, the outermost first
	includedBy Line
}

func (s source) load() (lines []Line, faults Faults) {
	resolved := resolvePath(s.path)
	if at := slices.Index(s.within, resolved); at >= 0 {
		return nil, Faults{s.includedBy.Fault("%s includes itself (%d files deep)", s.shown, len(s.within)-at)}
	}
	if len(s.within) > maxIncludeDepth {
		return nil, Faults{s.includedBy.Fault("includes are over %d deep", maxIncludeDepth)}
	}
	text, faults := s.read()
	if len(faults) > 0 {
		return nil, faults
	}
	own, faults := Lex(s.shown, text)
	for _, line := range own {
		if line.Words[0] != includeWord {
			lines = append(lines, line)
			continue
		}
		if len(line.Words) != 2 {
			faults = append(faults, line.Fault("include takes one file, has %d", len(line.Words)-1))
			continue
		}
		includedLines, includedFaults := s.included(line, resolved).load()
		lines = append(lines, includedLines...)
		faults = append(faults, includedFaults...)
	}
	return lines, faults
}

// included returns the file that a line includes; resolved is the resolved path of s.
func (s source) included(line Line, resolved string) source {
	path, shown := line.Words[1], line.Words[1]
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(s.path), path)
		shown = filepath.Join(filepath.Dir(s.shown), shown)
	}
	return source{path: path, shown: shown, within: append(s.within, resolved), includedBy: line}
}

func (s source) read() (string, Faults) {
	info, err := os.Stat(s.path)
	if err == nil && (info.IsDir() || info.Size() > maxFileSize) {
		return "", Faults{s.includedBy.Fault("%s is no file of at most %d bytes", s.shown, maxFileSize)}
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(s.path)
	}
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	if err != nil {
		return "", Faults{s.includedBy.Fault("%s can't be read: %v", s.shown, err)}
	}
	return string(data), nil
}

// resolvePath returns a path by which two names of the same file are recognized, as far as that is possible.
func resolvePath(path string) string {
	absolute, err := filepath.Abs(path)
	if err != nil {
		return absolute
	}
	if resolved, err := filepath.EvalSymlinks(absolute); err == nil {
		return resolved
	}
	return absolute
}
