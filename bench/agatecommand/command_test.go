package agatecommand

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"agatereach/bench/agatescenario"
)

func TestExitCodes(t *testing.T) {
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "scenario.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	tests := map[string]struct {
		arguments []string
		want      int
	}{
		"help":             {[]string{"--help"}, codeKept},
		"no command":       {nil, codeUsage},
		"unknown command":  {[]string{"walk"}, codeUsage},
		"no file":          {[]string{"run"}, codeUsage},
		"missing file":     {[]string{"run", "/does/not/exist.toml"}, codeUsage},
		"unknown key":      {[]string{"run", file("colour = 1")}, codeUsage},
		"faults":           {[]string{"run", file(`name = "empty"`)}, codeUsage},
		"seed not numeric": {[]string{"demo", "--seed", "x"}, codeUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Main(test.arguments); got != test.want {
				t.Errorf("Main(%q) = %d, want %d", test.arguments, got, test.want)
			}
		})
	}
}

func TestReportOfErrors(t *testing.T) {
	tests := map[string]struct {
		err  error
		want int
	}{
		"kept":        {nil, codeKept},
		"broken":      {&BrokenError{Scenario: "demo", Seed: 1}, codeBroken},
		"not judged":  {&NotJudgedError{Scenario: "soak", Seed: 1}, codeNotJudged},
		"interrupted": {context.Canceled, codeInterrupted},
		"faults":      {&FileError{Err: &agatescenario.FaultsError{}}, codeUsage},
		"failed":      {errors.New("no room"), codeFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := report(test.err); got != test.want {
				t.Errorf("report(%v) = %d, want %d", test.err, got, test.want)
			}
		})
	}
}
