package haproxy

import "strings"

// expansion is the result of expanding a variable.
type expansion struct {
	text   string
	isList bool // ${NAME[*]}: each word is an argument of its own
	length int  // length of the variable's reference in the line, in bytes
}

// listSuffix follows the name of a variable whose words become separate arguments.
const listSuffix = "[*]"

// expandVariable expands the $NAME, ${NAME}, ${NAME-default} or ${NAME[*]} at the beginning of text. A variable that is not given
// and has no default is an error, because its value cannot be guessed.
func expandVariable(text string, variables map[string]string) (expansion, error) {
	begin := len("$")
	braced := strings.HasPrefix(text, "${")
	if braced {
		begin = len("${")
	}
	end := variableNameEnd(text, begin)
	switch {
	case end == begin && braced:
		return expansion{}, classify(ErrSyntax, "a variable without a name")
	case end == begin:
		return expansion{text: "$", length: 1}, nil // A dollar sign without a name is literal.
	}
	name := text[begin:end]
	value, known := variables[name]
	result := expansion{text: value, length: end}
	if braced {
		rest := text[end:]
		rest, result.isList = strings.CutPrefix(rest, listSuffix)
		suffix, _, closed := strings.Cut(rest, "}")
		switch {
		case !closed:
			return expansion{}, classify(ErrSyntax, "a variable's brace is never closed")
		case suffix != "" && suffix[0] != '-':
			return expansion{}, classify(ErrSyntax, "%q after a variable's name", suffix)
		case suffix != "" && !known:
			result.text, known = suffix[1:], true
		}
		result.length = len(text) - len(rest) + len(suffix) + len("}")
	}
	if !known {
		return expansion{}, classify(ErrUndefined, "variable %s is not given (--env %s=...), and has no default", name, name)
	}
	return result, nil
}

// variableNameEnd returns the index after the name that starts at index begin of text. A name does not begin with a digit.
func variableNameEnd(text string, begin int) int {
	end := begin
	for end < len(text) && isNameByte(text[end]) && (end > begin || !isDigit(text[end])) {
		end++
	}
	return end
}
