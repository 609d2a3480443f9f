package agatepause_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatepause"
)

// TestPause checks that a gap longer than the limit on either clock counts as one
// pause, and that a wall clock that is set back doesn't.
func TestPause(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name string
		next time.Time
		want bool
	}{
		{"regular beat", start.Add(time.Second), false},
		{"late beat", start.Add(3 * time.Second), true},
		{"suspended VM: only the wall clock advanced", start.Round(0).Add(3 * time.Second), true},
		{"wall clock set back", start.Round(0).Add(-time.Hour), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := agatepause.New(2 * time.Second)
			if p.Since(start) || p.Beat(start) {
				t.Error("first beat counts as a pause")
			}
			if p.Since(tt.next) != tt.want || p.Beat(tt.next) != tt.want {
				t.Errorf("pause = %v, want %v", !tt.want, tt.want)
			}
			if p.Beat(tt.next) {
				t.Error("pause counts twice")
			}
		})
	}
}
