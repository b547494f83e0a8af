package bootstrap

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
)

const (
	maxFileBytes    = 4 << 20 // of one file; a larger one was presumably not meant as settings
	maxIncludeDepth = 16      // levels of included files below the first file
	includeKeyword  = "include"
)

// loadFile reads a file. Each line `include FILE` is replaced by the lines of that file; a relative path is relative to the
// directory of the including file. If a file includes itself, directly or indirectly, the fault is at the line that closes the
// cycle.
func loadFile(path string) (lines []Line, faults Faults) {
	root := source{path: path, displayPath: path, includedBy: Line{File: path, Number: 1}}
	return root.load()
}

// source is a file to read.
type source struct {
	path           string
	displayPath    string   // path of this file in messages
	enclosingFiles []string // resolved paths of the files through which this one is included, the outermost first
	includedBy     Line     // include line, for the fault if this file can't be read; for the first file its own line 1
}

// load returns the lines of the file and of the files that it includes.
func (s source) load() (lines []Line, faults Faults) {
	resolved := resolvePath(s.path)
	if index := slices.Index(s.enclosingFiles, resolved); index >= 0 {
		return nil, Faults{s.includedBy.Fault("%s includes itself (%d files deep)", s.displayPath, len(s.enclosingFiles)-index)}
	}
	if len(s.enclosingFiles) > maxIncludeDepth {
		return nil, Faults{s.includedBy.Fault("includes are nested more than %d levels deep", maxIncludeDepth)}
	}
	text, faults := s.read()
	if len(faults) > 0 {
		return nil, faults
	}
	ownLines, faults := Lex(s.displayPath, text)
	for _, line := range ownLines {
		if line.Words[0] != includeKeyword {
			lines = append(lines, line)
			continue
		}
		if len(line.Words) != 2 {
			faults = append(faults, line.Fault("include takes one file, has %d", len(line.Words)-1))
			continue
		}
		includedLines, includedFaults := s.includedSource(line, resolved).load()
		lines = append(lines, includedLines...)
		faults = append(faults, includedFaults...)
	}
	return lines, faults
}

// includedSource returns the source for the file that a line includes. resolved is the resolved path of s.
func (s source) includedSource(line Line, resolved string) source {
	path, displayPath := line.Words[1], line.Words[1]
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(s.path), path)
		displayPath = filepath.Join(filepath.Dir(s.displayPath), displayPath)
	}
	return source{path: path, displayPath: displayPath, enclosingFiles: append(s.enclosingFiles, resolved), includedBy: line}
}

// read returns the content of the file.
func (s source) read() (string, Faults) {
	info, err := os.Stat(s.path)
	if err == nil && (info.IsDir() || info.Size() > maxFileBytes) {
		return "", Faults{s.includedBy.Fault("%s is a directory or larger than %d bytes", s.displayPath, maxFileBytes)}
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
		return "", Faults{s.includedBy.Fault("%s can't be read: %v", s.displayPath, err)}
	}
	return string(data), nil
}

// resolvePath returns the absolute path without symbolic links, so that two names of the same file compare equal. If the links
// can't be resolved, it returns the absolute path as it is.
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
