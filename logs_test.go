package apricotwinch_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// logging are the packages of the processes on the users' platform.
var logging = []string{"attendant", "conductor", "coordinator", "custodian", "platform"}

// levels are the methods that write a line.
var levels = []string{"Info", "Warn", "Error"}

// TestLogEvents holds the closed table of the events that the processes log, with their
// fields, and that docs/OPERATIONS.md tells of each.
func TestLogEvents(t *testing.T) {
	operations, err := os.ReadFile("docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var table []string
	for _, directory := range logging {
		events := logEvents(t, directory)
		for _, e := range events {
			name, _, _ := strings.Cut(e, ":")
			if !strings.Contains(string(operations), "`"+name+"`") {
				t.Errorf("docs/OPERATIONS.md does not tell of `%s` of %s", name, directory)
			}
			table = append(table, directory+"  "+e)
		}
	}
	slices.Sort(table)
	goldie.New(t).Assert(t, "logs", []byte(strings.Join(slices.Compact(table), "\n")+"\n"))
}

// logEvents returns the events that a package logs: each its message and its fields.
func logEvents(t *testing.T, directory string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if e := logEvent(n); e != "" {
				events = append(events, e)
			}
			return true
		})
	}
	return events
}

// logEvent returns the event of a call of a logger; empty for any other node.
func logEvent(n ast.Node) string {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return ""
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains(levels, method.Sel.Name) || !strings.Contains(strings.ToLower(source(method.X)), "log") {
		return ""
	}
	var fields []string
	for i := 1; i < len(call.Args); i += 2 {
		fields = append(fields, text(call.Args[i]))
	}
	return fmt.Sprintf("%s: %s", text(call.Args[0]), strings.Join(fields, " "))
}

// text returns the value of a string literal.
func text(e ast.Expr) string {
	literal, ok := e.(*ast.BasicLit)
	if !ok {
		return "(computed)"
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return "(computed)"
	}
	return value
}

// source returns the name of what a method is called on.
func source(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}
