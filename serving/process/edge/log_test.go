package edge

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// loggingPackages are those whose lines a daemon on the users' platform writes.
var loggingPackages = []string{
	".", "../board", "../journal", "../membership", "../published", "../sharing", "../../request/relay", "../../request/reserve",
	"../../cmd/carobspoked",
}

// TestEachLineIsOnTheOperatorsPage reads the messages from the sources, and
// looks for each on the page for whoever is on call.
func TestEachLineIsOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, folder := range loggingPackages {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || filepath.Base(file) == "main.go" {
				continue // main.go is the command for the product's own interface
			}
			for _, message := range messages(t, file) {
				found++
				if !strings.Contains(string(page), "`"+message+"`") {
					t.Errorf("%s: the line %q is not on the page", file, message)
				}
			}
		}
	}
	if found < 30 {
		t.Fatalf("only %d messages were found", found)
	}
}

// messages returns the messages that a file logs.
func messages(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !logs(method) {
			return true
		}
		if literal, ok := call.Args[0].(*ast.BasicLit); ok {
			message, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, message)
		}
		return true
	})
	return found
}

// logs reports whether a call is one of a logger's.
func logs(method *ast.SelectorExpr) bool {
	switch method.Sel.Name {
	case "Info", "Warn", "Error":
	default:
		return false
	}
	var on string
	switch receiver := method.X.(type) {
	case *ast.Ident:
		on = receiver.Name
	case *ast.SelectorExpr:
		on = receiver.Sel.Name
	}
	return strings.EqualFold(on, "log")
}
