package agateexplain_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"agatereach/core/process/agatesteer"
	"agatereach/entry/request/agateexplain"
)

// TestBudget plays a second of a crowd: the lines are bounded, and the counts are
// whole.
func TestBudget(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	e := agateexplain.New(slog.New(slog.NewTextHandler(&out, nil)), now)
	for range 1000 {
		now = now.Add(time.Millisecond)
		for _, reason := range agatesteer.Reasons() {
			e.Verdict(&agatesteer.Verdict{Reason: reason}, now)
		}
	}
	lines := strings.Count(out.String(), "\n")
	if lines > 100 {
		t.Errorf("%d lines in a second", lines)
	}
	if strings.Contains(out.String(), "flow: held") {
		t.Error("an ordinary segment has a line of its own")
	}
	out.Reset()
	e.Tick(now.Add(time.Minute))
	for _, want := range []string{"flow: summary", "held=1000", "silent=1000", "placed=1000"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %s", want, out.String())
		}
	}
	out.Reset()
	e.Tick(now.Add(2 * time.Minute))
	if out.Len() > 0 {
		t.Errorf("a summary of nothing: %s", out.String())
	}
}

// TestPageNamesEveryKey compares the keys and reasons of the lines with the
// operators' page, both ways for the reasons.
func TestPageNamesEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for _, reason := range agatesteer.Reasons() {
		if !strings.Contains(page, "`"+string(reason)+"`") {
			t.Errorf("the page does not name reason %s", reason)
		}
	}
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	e := agateexplain.New(slog.New(slog.NewJSONHandler(&out, nil)), now)
	e.Verdict(&agatesteer.Verdict{Reason: agatesteer.Silent}, now)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	for _, builtin := range []string{slog.TimeKey, slog.LevelKey, slog.MessageKey} {
		delete(line, builtin)
	}
	if len(line) < 10 {
		t.Errorf("only %d keys", len(line))
	}
	for key := range line {
		if !strings.Contains(page, "`"+key+"`") {
			t.Errorf("the page does not name key %s", key)
		}
	}
}

// BenchmarkVerdict takes in ordinary segments.
func BenchmarkVerdict(b *testing.B) {
	e := agateexplain.New(slog.New(slog.DiscardHandler), time.Now())
	v := &agatesteer.Verdict{Reason: agatesteer.Held}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		e.Verdict(v, now)
	}
}
