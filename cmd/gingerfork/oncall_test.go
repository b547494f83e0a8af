package main

import (
	"errors"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The page and the section of it that list every log message of a coordinator.
const (
	messagesPage    = "../../docs/oncall.md"
	messagesSection = "## Every message of the log"
)

// coordinatorPackages are the folders of the packages that write the log of a coordinator.
var coordinatorPackages = []string{"../../internal/platform", "../../internal/coordinator", "../../internal/eventloop", "../../internal/endpointservice", "."}

// forwardingFunctions are the functions that log a message that they get from elsewhere, each in one call. All other log
// calls must have a constant message, so that the test can find it.
var forwardingFunctions = []string{
	"coordinator.logResult",         // message of a LogMessage command of the decision module
	"eventloop.Loop.applyEffects",   // log entries of a state machine
	"platform.Machine.execute",      // message of a LogMessage command of the decision module
	"platform.Machine.logThrottled", // the messages are found at its callers
}

// loggedMessage is a log message with its level and the function that logs it.
type loggedMessage struct{ Text, Level, Function string }

// The page for operators on call must list every log message with its level and the function that logs it, and no others.
func TestOnCallPageListsEveryLogMessage(t *testing.T) {
	var logged []loggedMessage
	var forwarding []string
	for _, folder := range coordinatorPackages {
		source := parsePackage(t, folder)
		logged = append(logged, source.messages(t)...)
		forwarding = append(forwarding, source.forwarding...)
	}
	if diff := cmp.Diff(forwardingFunctions, slices.Sorted(slices.Values(forwarding))); diff != "" {
		t.Errorf("functions whose log messages are not constant (-known +found):\n%s", diff)
	}
	page, err := os.ReadFile(messagesPage)
	if err != nil {
		t.Fatal(err)
	}
	documented := documentedMessages(t, string(page))
	for _, message := range sortedSet(logged) {
		if !slices.Contains(documented, message) {
			t.Errorf("%s lacks %q, level %s, logged by %s", messagesPage, message.Text, message.Level, message.Function)
		}
	}
	for _, message := range documented {
		if !slices.Contains(logged, message) {
			t.Errorf("%s has %q, level %s, which %s does not log", messagesPage, message.Text, message.Level, message.Function)
		}
	}
}

// documentedMessages returns the messages in the tables of the section. The columns are message, level, functions, meaning
// and what to do; the last two must not be empty.
func documentedMessages(t *testing.T, page string) []loggedMessage {
	t.Helper()
	_, section, found := strings.Cut(page, "\n"+messagesSection+"\n")
	if !found {
		t.Fatalf("%s has no section %q", messagesPage, messagesSection)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	code := regexp.MustCompile("`([^`]+)`")
	var documented []loggedMessage
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) != 7 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		for _, function := range code.FindAllStringSubmatch(cells[3], -1) {
			documented = append(documented, loggedMessage{
				Text: code.FindStringSubmatch(cells[1])[1], Level: strings.TrimSpace(cells[2]), Function: function[1],
			})
		}
		if strings.TrimSpace(cells[4]) == "" || strings.TrimSpace(cells[5]) == "" {
			t.Errorf("the row %q lacks its meaning or what to do", strings.TrimSpace(cells[1]))
		}
	}
	return sortedSet(documented)
}

// parsedPackage is the parsed source of one package without its tests.
type parsedPackage struct {
	name       string
	files      []*ast.File
	info       *types.Info
	forwarding []string // functions with a log call whose message is not constant
}

// parsePackage parses the package in a folder and resolves its constants and variables, but not its imports.
func parsePackage(t *testing.T, folder string) *parsedPackage {
	t.Helper()
	absolute, err := filepath.Abs(folder)
	if err != nil {
		t.Fatal(err)
	}
	names, err := filepath.Glob(filepath.Join(absolute, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	parsed := &parsedPackage{name: filepath.Base(absolute), info: &types.Info{
		Types: map[ast.Expr]types.TypeAndValue{}, Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{},
	}}
	fileSet := token.NewFileSet()
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(fileSet, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		parsed.files = append(parsed.files, file)
	}
	if len(parsed.files) == 0 {
		t.Fatalf("%s contains no Go source files", folder)
	}
	config := types.Config{Importer: noImports{}, Error: func(error) {}}
	_, _ = config.Check(parsed.name, fileSet, parsed.files, parsed.info) // returns an error because the imports are not resolved
	return parsed
}

// noImports is an importer that rejects every import; the messages of a package do not depend on other packages.
type noImports struct{}

var errNoImports = errors.New("imports are not resolved")

func (noImports) Import(string) (*types.Package, error) { return nil, errNoImports }

// messages returns the messages that the functions of the package log.
func (p *parsedPackage) messages(t *testing.T) (logged []loggedMessage) {
	t.Helper()
	for _, file := range p.files {
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(function, func(node ast.Node) bool {
				logged = append(logged, p.messagesOf(t, function, node)...)
				return true
			})
		}
	}
	return logged
}

// encodedMessage matches the level and the message in a string literal of a log line that is written without a logger.
var encodedMessage = regexp.MustCompile(`"level":"(\w+)".*"message":"([^"]+)"`)

// messagesOf returns the messages that one syntax node of a function logs, without those of its children.
func (p *parsedPackage) messagesOf(t *testing.T, function *ast.FuncDecl, node ast.Node) []loggedMessage {
	t.Helper()
	name := p.functionName(function)
	if literal, ok := node.(*ast.BasicLit); ok {
		if found := encodedMessage.FindStringSubmatch(p.constant(literal)); found != nil {
			return []loggedMessage{{Text: found[2], Level: found[1], Function: name}}
		}
	}
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return nil
	}
	message, level := p.logCall(call)
	if message == nil {
		return nil
	}
	texts := p.texts(function, message)
	if len(texts) == 0 {
		p.forwarding = append(p.forwarding, name)
		return nil
	}
	if level == "" {
		t.Errorf("%s: the level of %q is not constant", name, texts)
	}
	var logged []loggedMessage
	for _, text := range texts {
		logged = append(logged, loggedMessage{Text: text, Level: level, Function: name})
	}
	return logged
}

// logCall returns the message and the level of a log call, and a nil message for any other call.
func (p *parsedPackage) logCall(call *ast.CallExpr) (message ast.Expr, level string) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || selector.Sel.Name == "Log" && len(call.Args) == 1 {
		return nil, "" // not a log call; for example err.Error() or math.Log(x)
	}
	switch method := selector.Sel.Name; method {
	case "Debug", "Info", "Warn", "Error":
		return call.Args[0], strings.ToLower(method)
	case "DebugContext", "InfoContext", "WarnContext", "ErrorContext":
		return call.Args[1], strings.ToLower(strings.TrimSuffix(method, "Context"))
	case "LogAttrs":
		return call.Args[2], ""
	case "logThrottled":
		return call.Args[3], p.level(call.Args[2])
	case "Log":
		if logger, ok := selector.X.(*ast.SelectorExpr); ok && logger.Sel.Name == "Log" {
			return call.Args[2], "" // slog.Logger.Log: the message follows the context and the level
		}
		return call.Args[1], p.level(call.Args[0])
	}
	return nil, ""
}

// level returns the name of a level, or "" if it is unknown. The expression is a constant of the package with a numeric value,
// or a constant of package statemachine, which is recognized by its name because imports are not resolved.
func (p *parsedPackage) level(expression ast.Expr) string {
	names := map[string]string{
		"0": "debug", "1": "info", "2": "warn", "3": "error",
		"LogDebug": "debug", "LogInfo": "info", "LogWarn": "warn", "LogWarning": "warn", "LogError": "error",
	}
	if selector, ok := expression.(*ast.SelectorExpr); ok {
		return names[selector.Sel.Name]
	}
	return names[p.constant(expression)]
}

// texts returns the constant values of an expression: its own, or all those that the function assigns to the variable.
func (p *parsedPackage) texts(function *ast.FuncDecl, expression ast.Expr) (texts []string) {
	if text := p.constant(expression); text != "" {
		return []string{text}
	}
	identifier, ok := expression.(*ast.Ident)
	if !ok {
		return nil
	}
	variable := p.object(identifier)
	ast.Inspect(function, func(node ast.Node) bool {
		assignment, ok := node.(*ast.AssignStmt)
		if !ok || len(assignment.Lhs) != 1 {
			return true
		}
		if target, ok := assignment.Lhs[0].(*ast.Ident); ok && p.object(target) == variable {
			texts = append(texts, p.constant(assignment.Rhs[0]))
		}
		return true
	})
	return texts
}

// constant returns the value of a constant expression, or "" for any other.
func (p *parsedPackage) constant(expression ast.Expr) string {
	value := p.info.Types[expression].Value
	switch {
	case value == nil:
		return ""
	case value.Kind() == constant.String:
		return constant.StringVal(value)
	}
	return value.ExactString()
}

// object returns the object that an identifier defines or uses.
func (p *parsedPackage) object(identifier *ast.Ident) types.Object {
	if defined := p.info.Defs[identifier]; defined != nil {
		return defined
	}
	return p.info.Uses[identifier]
}

// functionName returns the package, receiver type and name of a function, separated by dots.
func (p *parsedPackage) functionName(function *ast.FuncDecl) string {
	name := p.name + "."
	if function.Recv != nil {
		receiver := function.Recv.List[0].Type
		if pointer, ok := receiver.(*ast.StarExpr); ok {
			receiver = pointer.X
		}
		if identifier, ok := receiver.(*ast.Ident); ok {
			name += identifier.Name + "."
		}
	}
	return name + function.Name.Name
}

// compareMessages orders messages by text, level and function.
func compareMessages(a, b loggedMessage) int {
	return strings.Compare(a.Text+"|"+a.Level+"|"+a.Function, b.Text+"|"+b.Level+"|"+b.Function)
}

// sortedSet returns the messages sorted and without duplicates.
func sortedSet(messages []loggedMessage) []loggedMessage {
	return slices.Compact(slices.SortedFunc(slices.Values(messages), compareMessages))
}
