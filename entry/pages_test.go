package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// literals returns, by the name of the function called, the text literals that
// the program's calls have as their first argument.
func literals(t *testing.T) map[string][]string {
	t.Helper()
	found := make(map[string][]string)
	visit := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok && len(call.Args) > 0 {
				add(found, call)
			}
			return true
		})
		return nil
	}
	if err := filepath.WalkDir(".", visit); err != nil {
		t.Fatal(err)
	}
	return found
}

func add(found map[string][]string, call *ast.CallExpr) {
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return
	}
	switch f := call.Fun.(type) {
	case *ast.Ident:
		found[f.Name] = append(found[f.Name], text)
	case *ast.SelectorExpr:
		found[f.Sel.Name] = append(found[f.Sel.Name], text)
	}
}

func page(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// metricCalls are the functions whose first argument is a metric's name.
var metricCalls = []string{"vector", "Gauge", "Count", "counter", "counters", "gauge", "gauges", "histogram", "counterFunc"}

func TestPageNamesEveryMetric(t *testing.T) {
	found := literals(t)
	text := page(t)
	var names []string
	for _, call := range metricCalls {
		names = append(names, found[call]...)
	}
	if len(names) < 20 {
		t.Fatalf("only %d metrics found in the code", len(names))
	}
	for _, name := range names {
		if !strings.Contains(text, "`agatereach_"+name) {
			t.Errorf("docs/OPERATIONS.md does not name metric %s", name)
		}
	}
}

func TestPageNamesNoOtherMetric(t *testing.T) {
	found := literals(t)
	known := map[string]bool{"renewals_total": true}
	for _, call := range metricCalls {
		for _, name := range found[call] {
			known[name] = true
		}
	}
	for _, part := range strings.Split(page(t), "`agatereach_")[1:] {
		name := part[:strings.IndexAny(part, "`{")]
		if !known[name] {
			t.Errorf("page names metric %s, which the code does not have", name)
		}
	}
}

func TestPageNamesEveryLogLine(t *testing.T) {
	found := literals(t)
	text := page(t)
	count := 0
	for _, level := range []string{"Info", "Warn", "Error", "Debug"} {
		for _, line := range found[level] {
			count++
			if !strings.Contains(text, "`"+line+"`") {
				t.Errorf("docs/OPERATIONS.md does not name log line %q", line)
			}
		}
	}
	if count < 10 {
		t.Fatalf("only %d log lines found in the code", count)
	}
}

func TestPageNamesEveryPath(t *testing.T) {
	text := page(t)
	for _, path := range literals(t)["Handle"] {
		if path != "/" && !strings.Contains(text, "`"+path+"`") {
			t.Errorf("docs/OPERATIONS.md does not name path %s", path)
		}
	}
}
