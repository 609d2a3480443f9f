package agatepanic_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"agatereach/core/process/agatepanic"
)

// TestCatch checks the result of units that succeed, return an error, and panic.
func TestCatch(t *testing.T) {
	if err := agatepanic.Catch("success", func() error { return nil }); err != nil {
		t.Error(err)
	}
	if err := agatepanic.Catch("error", func() error { return io.EOF }); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	var none []int
	err := agatepanic.Catch("reading", func() error { none[len(none)]++; return nil })
	var caught *agatepanic.Panic
	if !errors.As(err, &caught) || caught.Unit != "reading" || !strings.Contains(err.Error(), "panic_test.go") {
		t.Errorf("%v", err)
	}
}
