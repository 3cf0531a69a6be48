// Package logspage compares docs/LOGS.md with the log calls in the source tree, so
// that the page that operators read stays up to date.
package logspage

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Event is one log call.
type Event struct {
	// Message is the value of the field msg, Level that of the field level; Level is
	// empty if it is not constant.
	Message, Level string
	// Fields are the other fields that the call names, sorted. HasUnnamedFields
	// reports whether the call may add fields that it does not name.
	Fields           []string
	HasUnnamedFields bool
	// Position is the file and line of the call.
	Position string
}

// methodLevels maps methods of slog.Logger to the level at which they log.
var methodLevels = map[string]string{"Info": "INFO", "Warn": "WARN", "Error": "ERROR"}

// skippedDirs are directories that contain no code of the daemons.
var skippedDirs = []string{"measure", "standin", "e2e", "proof", "examples", "operator", "api", "journal"}

// Events returns the log calls with literal messages in the packages under root, in
// the order of the files. Level DEBUG is left out because daemons log at this level
// only if configured to.
func Events(root string) ([]Event, error) {
	var events []Event
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relPath, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains(skippedDirs, relPath) || strings.HasPrefix(entry.Name(), ".") && relPath != "." {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(relPath, ".go") || strings.HasSuffix(relPath, "_test.go") {
			return nil
		}
		found, err := fileEvents(path, relPath)
		events = append(events, found...)
		return err
	})
	return events, err
}

// fileEvents returns the events of one file.
func fileEvents(path, relPath string) ([]Event, error) {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var events []Event
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		if event, ok := parseCall(call); ok {
			event.Position = relPath + ":" + strconv.Itoa(fileSet.Position(call.Pos()).Line)
			events = append(events, event)
		}
		return true
	})
	return events, nil
}

// parseCall returns the event of a call expression; false if it is not a call of a
// log method with a literal message.
func parseCall(call *ast.CallExpr) (Event, bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isLogger(method.X) {
		return Event{}, false
	}
	event := Event{Level: methodLevels[method.Sel.Name]}
	args := call.Args
	switch {
	case method.Sel.Name == "LogAttrs" && len(args) >= 3:
		if level, ok := args[1].(*ast.SelectorExpr); ok {
			event.Level = strings.ToUpper(strings.TrimPrefix(level.Sel.Name, "Level"))
		}
		args = args[2:]
	case strings.HasSuffix(method.Sel.Name, "Context") && len(args) >= 2:
		event.Level = methodLevels[strings.TrimSuffix(method.Sel.Name, "Context")]
		args = args[1:]
	}
	if event.Level == "" && method.Sel.Name != "LogAttrs" || len(args) == 0 {
		return Event{}, false
	}
	message, ok := stringLiteral(args[0])
	if !ok {
		return Event{}, false
	}
	event.Message = message
	event.HasUnnamedFields = call.Ellipsis.IsValid() || event.Level == ""
	event.Fields = fieldNames(args[1:])
	return event, true
}

// isLogger reports whether x is an identifier or selector with a usual name of a
// logger.
func isLogger(x ast.Expr) bool {
	name := ""
	switch x := x.(type) {
	case *ast.Ident:
		name = x.Name
	case *ast.SelectorExpr:
		name = x.Sel.Name
	}
	name = strings.ToLower(name)
	return name == "log" || name == "logger" || name == "slog"
}

// fieldNames returns the sorted names of the fields in the arguments of a log call,
// which are slog attributes or alternating names and values.
func fieldNames(args []ast.Expr) []string {
	names := []string{}
	for i := 0; i < len(args); i++ {
		if attr, ok := args[i].(*ast.CallExpr); ok && len(attr.Args) > 0 {
			if name, ok := stringLiteral(attr.Args[0]); ok {
				names = append(names, name)
			}
			continue
		}
		if name, ok := stringLiteral(args[i]); ok {
			names = append(names, name)
			i++ // skip the value
		}
	}
	slices.Sort(names)
	return names
}

// stringLiteral returns the value of x if it is a string literal.
func stringLiteral(x ast.Expr) (string, bool) {
	lit, ok := x.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(lit.Value)
	return value, err == nil
}
