// Package agateoutput prints results as a table for people or as JSON for
// programs.
package agateoutput

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// WriteError reports output that could not be written.
type WriteError struct {
	// Err is the writer's error.
	Err error
}

// Error returns the writer's reason.
func (e *WriteError) Error() string { return fmt.Sprintf("write output: %v", e.Err) }

// Unwrap returns the writer's error.
func (e *WriteError) Unwrap() error { return e.Err }

// Output prints results. The zero value is not useful; W must be set.
type Output struct {
	// W is where results go.
	W io.Writer
	// JSON chooses JSON over tables.
	JSON bool
}

// Print writes v as indented JSON, or else the rows as a table below header.
// The error is a *WriteError.
func (o *Output) Print(v any, header []string, rows [][]string) error {
	if o.JSON {
		return o.Document(v)
	}
	table := tablewriter.NewTable(o.W,
		tablewriter.WithRenderer(renderer.NewBlueprint(tw.Rendition{Borders: tw.BorderNone, Settings: tw.Settings{
			Separators: tw.SeparatorsNone, Lines: tw.LinesNone,
		}})),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithRowAlignment(tw.AlignLeft),
	)
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return &WriteError{Err: err}
	}
	if err := table.Render(); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

// Document writes v as indented JSON. The error is a *WriteError.
func (o *Output) Document(v any) error {
	encoder := json.NewEncoder(o.W)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

// Line writes one line of text. The error is a *WriteError.
func (o *Output) Line(format string, values ...any) error {
	if _, err := fmt.Fprintf(o.W, format+"\n", values...); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}
