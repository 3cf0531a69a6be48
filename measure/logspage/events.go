// Package logspage lists the events that the daemons log, as the source tree has
// them, so that the page that operators read cannot fall behind.
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

// Event is one kind of line.
type Event struct {
	// Message is the field msg; Level the field level, empty if it varies.
	Message, Level string
	// Fields are the fields that the call names besides, in order of the alphabet.
	// Open says that more may follow, which the call does not name.
	Fields           []string
	HasUnnamedFields bool
	// At is the file and line of the call.
	Position string
}

// levels are the methods of slog.Logger that write a line, and what its level is.
var levels = map[string]string{"Info": "INFO", "Warn": "WARN", "Error": "ERROR"}

// skipped are folders whose programs are no daemons.
var skipped = []string{"measure", "standin", "e2e", "proof", "examples", "operator", "api", "journal"}

// Events returns the events of the packages under root with literal messages, in
// the order of the files. Lines of level DEBUG are left out: no daemon writes them
// unless it is asked to.
func Events(root string) ([]Event, error) {
	var events []Event
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		local, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains(skipped, local) || strings.HasPrefix(entry.Name(), ".") && local != "." {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(local, ".go") || strings.HasSuffix(local, "_test.go") {
			return nil
		}
		found, err := eventsOf(path, local)
		events = append(events, found...)
		return err
	})
	return events, err
}

// eventsOf returns the events of one file.
func eventsOf(path, local string) ([]Event, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var events []Event
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		if event, ok := eventOf(call); ok {
			event.Position = local + ":" + strconv.Itoa(files.Position(call.Pos()).Line)
			events = append(events, event)
		}
		return true
	})
	return events, nil
}

// eventOf reads a call of a method of a logger.
func eventOf(call *ast.CallExpr) (Event, bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isLogger(method.X) {
		return Event{}, false
	}
	event := Event{Level: levels[method.Sel.Name]}
	args := call.Args
	switch {
	case method.Sel.Name == "LogAttrs" && len(args) >= 3:
		if level, ok := args[1].(*ast.SelectorExpr); ok {
			event.Level = strings.ToUpper(strings.TrimPrefix(level.Sel.Name, "Level"))
		}
		args = args[2:]
	case strings.HasSuffix(method.Sel.Name, "Context") && len(args) >= 2:
		event.Level = levels[strings.TrimSuffix(method.Sel.Name, "Context")]
		args = args[1:]
	}
	if event.Level == "" && method.Sel.Name != "LogAttrs" || len(args) == 0 {
		return Event{}, false
	}
	message, ok := literal(args[0])
	if !ok {
		return Event{}, false
	}
	event.Message = message
	event.HasUnnamedFields = call.Ellipsis.IsValid() || event.Level == ""
	event.Fields = fields(args[1:])
	return event, true
}

// isLogger reports whether an expression is named like a logger.
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

// fields returns the names of the fields that arguments hold: slog's attributes,
// or names and values in turn.
func fields(args []ast.Expr) []string {
	names := []string{}
	for i := 0; i < len(args); i++ {
		if attr, ok := args[i].(*ast.CallExpr); ok && len(attr.Args) > 0 {
			if name, ok := literal(attr.Args[0]); ok {
				names = append(names, name)
			}
			continue
		}
		if name, ok := literal(args[i]); ok {
			names = append(names, name)
			i++ // its value
		}
	}
	slices.Sort(names)
	return names
}

// literal returns the value of a string literal.
func literal(x ast.Expr) (string, bool) {
	basic, ok := x.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(basic.Value)
	return value, err == nil
}
