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
	opened   Position
	selected bool // the lines of the current branch are kept
	done     bool // no further branch can be selected
	enclosed bool // the lines around the block are kept
	elseSeen bool
}

// blockSelector keeps the lines of the branches whose conditions hold (manual, 2.4).
type blockSelector struct {
	report
	environment Environment
	open        []block // the innermost last
	kept        []Line
	skipped     []Line
}

// selectBlocks goes through a file's lines and keeps those that the blocks of .if, .elif, .else and .endif select. Messages
// of .notice, .warning and .diag are reported as notes. An .alert is a fault, because it stops HAProxy from starting.
func selectBlocks(file File, environment Environment) *blockSelector {
	s := &blockSelector{environment: environment}
	for _, line := range file.Lines {
		s.addLine(line)
	}
	for _, unclosed := range s.open {
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
		if s.keeps() {
			s.note(line, Differs, "said here instead of at HAProxy's start")
		} else {
			s.skipped = append(s.skipped, line)
		}
	case ".alert":
		if s.keeps() {
			s.fault(line.Position, ErrAlert, ".alert: %s", directiveArguments(line))
		} else {
			s.skipped = append(s.skipped, line)
		}
	default:
		switch {
		case strings.HasPrefix(word, "."):
			s.fault(line.Position, ErrSyntax, "%s is no word of blocks", word)
		case s.keeps():
			s.kept = append(s.kept, line)
		default:
			s.skipped = append(s.skipped, line)
		}
	}
}

// keeps tells whether the current line is in selected branches only.
func (s *blockSelector) keeps() bool { return len(s.open) == 0 || s.open[len(s.open)-1].selected }

func directiveArguments(line Line) string { return strings.Join(line.Words()[1:], " ") }

func (s *blockSelector) openBlock(line Line) {
	opened := block{opened: line.Position, enclosed: s.keeps()}
	if opened.enclosed {
		s.evaluate(&opened, line)
	}
	s.open = append(s.open, opened)
	s.noteDirective(line)
}

func (s *blockSelector) continueBlock(line Line) {
	word := line.Word(0)
	s.noteDirective(line)
	if len(s.open) == 0 {
		s.fault(line.Position, ErrSyntax, "%s without .if", word)
		return
	}
	innermost := &s.open[len(s.open)-1]
	switch {
	case word == ".endif":
		s.open = s.open[:len(s.open)-1]
	case innermost.elseSeen:
		s.fault(line.Position, ErrSyntax, "%s after .else", word)
	case word == ".else":
		innermost.selected = innermost.enclosed && !innermost.done
		innermost.done, innermost.elseSeen = true, true
	default:
		innermost.selected = false
		if innermost.enclosed && !innermost.done {
			s.evaluate(innermost, line)
		}
	}
}

// evaluate selects the branch if the condition of its .if or .elif holds. After a faulty condition no branch is selected.
func (s *blockSelector) evaluate(branch *block, line Line) {
	holds, err := s.environment.holds(directiveArguments(line))
	if err != nil {
		s.fault(line.Position, ErrSyntax, "%s: %w", line.Word(0), err)
	}
	branch.selected = holds && err == nil
	branch.done = branch.selected || err != nil
}

func (s *blockSelector) noteDirective(line Line) {
	s.note(line, Carried, "a block's condition, answered at the import")
}
