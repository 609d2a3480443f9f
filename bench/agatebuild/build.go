// Package agatebuild builds the programs that a run starts.
package agatebuild

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Error reports a program that could not be built.
type Error struct {
	// Package names the program's package.
	Package string
	// Output is what the build printed.
	Output string
	// Err is the build's error.
	Err error
}

// Error names the package and gives the output.
func (e *Error) Error() string { return fmt.Sprintf("build %s: %v\n%s", e.Package, e.Err, e.Output) }

// Unwrap returns the build's error.
func (e *Error) Unwrap() error { return e.Err }

// Build builds the program of a package into the directory and returns its path.
// The error is an *Error.
func Build(ctx context.Context, directory, program string) (string, error) {
	path := filepath.Join(directory, "agatereach")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", path, program).CombinedOutput()
	if err != nil {
		return "", &Error{Package: program, Output: string(output), Err: err}
	}
	return path, nil
}
