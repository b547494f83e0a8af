package haproxy

import "strings"

// Environment holds the values that variables and the conditions of conditional blocks are evaluated with. The environment of the
// running process is never read.
type Environment struct {
	Variables map[string]string
	Version   string   // HAProxy version for the predicates version_atleast and version_before; defaultVersion if empty
	Features  []string // features for which the predicate feature is true
}

// block is a conditional block that is not closed yet.
type block struct {
	opened            Position // position of the .if that opened the block
	selected          bool     // the current branch is selected, so that its lines are kept
	branchDecided     bool     // no later branch can be selected: one already was, or a condition is faulty
	enclosingSelected bool     // the lines around the block are kept; otherwise no branch is selected
	elseSeen          bool
}

// blockSelector selects the lines outside blocks and those of the branches whose conditions hold (manual, 2.4).
type blockSelector struct {
	report
	environment   Environment
	openBlocks    []block // innermost last
	selectedLines []Line
	skippedLines  []Line
}

// selectBlocks evaluates the .if, .elif, .else and .endif lines of a file and separates the selected lines from the skipped ones.
// The messages of .notice, .warning and .diag are reported as notes. An .alert is a fault, because it stops HAProxy from starting.
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

// addLine processes the next line of the file.
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

// isSelected reports whether the current line is outside blocks or in a selected branch.
func (s *blockSelector) isSelected() bool {
	return len(s.openBlocks) == 0 || s.openBlocks[len(s.openBlocks)-1].selected
}

// directiveArguments returns the words after a directive such as .if, joined by blanks.
func directiveArguments(line Line) string { return strings.Join(line.Words()[1:], " ") }

// openBlock processes an .if line.
func (s *blockSelector) openBlock(line Line) {
	opened := block{opened: line.Position, enclosingSelected: s.isSelected()}
	if opened.enclosingSelected {
		s.evaluateBranch(&opened, line)
	}
	s.openBlocks = append(s.openBlocks, opened)
	s.noteDirective(line)
}

// continueBlock processes an .elif, .else or .endif line.
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

// evaluateBranch selects the branch that an .if or .elif line begins if its condition holds. After a faulty condition no branch
// of the block is selected.
func (s *blockSelector) evaluateBranch(branch *block, line Line) {
	holds, err := s.environment.conditionHolds(directiveArguments(line))
	if err != nil {
		s.fault(line.Position, ErrSyntax, "%s: %w", line.Word(0), err)
	}
	branch.selected = holds && err == nil
	branch.branchDecided = branch.selected || err != nil
}

// noteDirective reports a line that begins, continues or ends a block.
func (s *blockSelector) noteDirective(line Line) {
	s.note(line, Carried, "a block's condition, answered at the import")
}
