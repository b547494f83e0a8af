package haproxy

import "strings"

// Environment is what variables and the conditions of conditional blocks are answered from. The environment of the running
// process is never read.
type Environment struct {
	Variables map[string]string
	Version   string   // for version_atleast and version_before; defaultVersion if empty
	Features  []string // for the predicate feature
}

// block is an .if that is not closed yet.
type block struct {
	opened            Position
	selected          bool // the lines of the current branch are kept
	branchDecided     bool // no further branch can be selected
	enclosingSelected bool // the lines around the block are kept
	elseSeen          bool
}

// blockSelector keeps the lines of the branches whose conditions hold (manual, 2.4).
type blockSelector struct {
	report
	environment   Environment
	openBlocks    []block // the innermost last
	selectedLines []Line
	skippedLines  []Line
}

// selectBlocks goes through a file's lines and keeps those that the blocks of .if, .elif, .else and .endif select. Messages
// of .notice, .warning and .diag are reported as notes. An .alert is a fault, because it stops HAProxy from starting.
func selectBlocks(file File, environment Environment) *blockSelector {
	s := &blockSelector{environment: environment}
	for _, line := range file.Lines {
		s.addLine(line)
	}
	for _, unclosed := range s.openBlocks {
		s.fault(unclosed.opened, ErrSyntax, "an .if that is never closed")
	}
	return s
}

func (s *blockSelector) addLine(line Line) {
	switch word := line.Word(0); word {
	case ".if":
		s.openBlock(line)
	case ".elif", ".else", ".endif":
		s.continueBlock(line)
	case ".notice", ".warning", ".diag":
		if s.isSelected() {
			s.note(line, Differs, "said here instead of at HAProxy's start")
		} else {
			s.skippedLines = append(s.skippedLines, line)
		}
	case ".alert":
		if s.isSelected() {
			s.fault(line.Position, ErrAlert, ".alert: %s", directiveArguments(line))
		} else {
			s.skippedLines = append(s.skippedLines, line)
		}
	default:
		switch {
		case strings.HasPrefix(word, "."):
			s.fault(line.Position, ErrSyntax, "%s is no word of blocks", word)
		case s.isSelected():
			s.selectedLines = append(s.selectedLines, line)
		default:
			s.skippedLines = append(s.skippedLines, line)
		}
	}
}

// isSelected tells whether the current line is in selected branches only.
func (s *blockSelector) isSelected() bool {
	return len(s.openBlocks) == 0 || s.openBlocks[len(s.openBlocks)-1].selected
}

func directiveArguments(line Line) string { return strings.Join(line.Words()[1:], " ") }

func (s *blockSelector) openBlock(line Line) {
	opened := block{opened: line.Position, enclosingSelected: s.isSelected()}
	if opened.enclosingSelected {
		s.evaluateBranch(&opened, line)
	}
	s.openBlocks = append(s.openBlocks, opened)
	s.noteDirective(line)
}

func (s *blockSelector) continueBlock(line Line) {
	word := line.Word(0)
	s.noteDirective(line)
	if len(s.openBlocks) == 0 {
		s.fault(line.Position, ErrSyntax, "%s without .if", word)
		return
	}
	innermost := &s.openBlocks[len(s.openBlocks)-1]
	switch {
	case word == ".endif":
		s.openBlocks = s.openBlocks[:len(s.openBlocks)-1]
	case innermost.elseSeen:
		s.fault(line.Position, ErrSyntax, "%s after .else", word)
	case word == ".else":
		innermost.selected = innermost.enclosingSelected && !innermost.branchDecided
		innermost.branchDecided, innermost.elseSeen = true, true
	default:
		innermost.selected = false
		if innermost.enclosingSelected && !innermost.branchDecided {
			s.evaluateBranch(innermost, line)
		}
	}
}

// evaluateBranch selects the branch if the condition of its .if or .elif holds. After a faulty condition no branch is selected.
func (s *blockSelector) evaluateBranch(branch *block, line Line) {
	holds, err := s.environment.conditionHolds(directiveArguments(line))
	if err != nil {
		s.fault(line.Position, ErrSyntax, "%s: %w", line.Word(0), err)
	}
	branch.selected = holds && err == nil
	branch.branchDecided = branch.selected || err != nil
}

func (s *blockSelector) noteDirective(line Line) {
	s.note(line, Carried, "a block's condition, answered at the import")
}
