package agatesetup_test

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"agatereach/core/process/agatesetup"
)

const valid = `name = "vm-1"
centre = "a"
packets = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
links = "10.1.0.10:7720"
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]
store = "10.200.1.7:8169"
memory = 284
link = 1000.0
later = "a setting that is not known yet"

[bounds]
config = 3000
drain = 3000
grace = 6
lifetime = 60
`

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(valid), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := agatesetup.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "vm-1" || len(s.Seeds) != 2 || s.Bounds.GraceTime().Seconds() != 6 {
		t.Errorf("%+v", s)
	}
}

// TestFaultsListed checks that one error lists all faults, each with its key.
func TestFaultsListed(t *testing.T) {
	_, err := agatesetup.Parse("x", []byte("memory = -1\nlink = -1.0\npackets = \"[::1]:5\"\n"))
	var faults *agatesetup.FaultsError
	if !errors.As(err, &faults) {
		t.Fatal(err)
	}
	for _, key := range []string{"name", "centre", "packets", "ready", "links", "store", "memory", "link", "bounds.config", "bounds.drain", "bounds.grace", "bounds.lifetime"} {
		if !strings.Contains(err.Error(), key+" must") {
			t.Errorf("no fault for %s in %q", key, err)
		}
	}
}

// TestOptionalLimits checks the settings that a deployment may leave out: a value that
// later computations could not use must be a fault of its own.
func TestOptionalLimits(t *testing.T) {
	s, err := agatesetup.Parse("x", []byte(valid+"evacuate = 5000\n[cold]\nover = 1.5\nslack = 5\n[hedge]\nshare = 0.03\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.EvacuateTime() != 5*time.Second || s.Cold.Over != 1.5 || s.Cold.Slack != 5 || s.Hedge.Share != 0.03 {
		t.Errorf("%+v", s)
	}
	for text, key := range map[string]string{
		"evacuate = -1": "bounds.evacuate", "[cold]\nover = 0.5": "cold.over", "[cold]\nover = nan": "cold.over",
		"[cold]\nslack = -1.0": "cold.slack", "[hedge]\nshare = 0.2": "hedge.share", "[hedge]\nshare = nan": "hedge.share",
	} {
		_, err := agatesetup.Parse("x", []byte(valid+text+"\n"))
		var faults *agatesetup.FaultsError
		if !errors.As(err, &faults) || len(faults.Faults) != 1 || !strings.HasPrefix(faults.Faults[0], key) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// TestFractions guards against a process that does not start because a figure of its
// settings is a fraction.
func TestFractions(t *testing.T) {
	text := strings.NewReplacer(
		"memory = 284", "memory = 284.5", "link = 1000.0", "link = 62.5",
		"config = 3000", "config = 2500.5", "drain = 3000", "drain = 3000.0", "grace = 6", "grace = 6.5", "lifetime = 60", "lifetime = 6.05e1",
	).Replace(valid) + "beat = 1200.25\nevacuate = 4999.5\n[cold]\nover = 1.5\nslack = 4.5\n[hedge]\nshare = 0.03\n"
	s, err := agatesetup.Parse("x", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ got, want time.Duration }{
		"config":   {s.Bounds.ConfigTime(), 2500500 * time.Microsecond},
		"drain":    {s.Bounds.DrainTime(), 3 * time.Second},
		"grace":    {s.Bounds.GraceTime(), 6500 * time.Millisecond},
		"lifetime": {s.Bounds.LifetimeTime(), 60500 * time.Millisecond},
		"beat":     {s.Bounds.BeatTime(), 1200250 * time.Microsecond},
		"evacuate": {s.Bounds.EvacuateTime(), 4999500 * time.Microsecond},
	} {
		if c.got != c.want {
			t.Errorf("%s: %s, want %s", name, c.got, c.want)
		}
	}
	if s.MemoryMB != 284.5 || s.LinkBytes() != 7812500 || s.Cold.Over != 1.5 || s.Cold.Slack != 4.5 || s.Hedge.Share != 0.03 {
		t.Errorf("%+v", s)
	}
}

// TestUnusableFigures guards against figures that pass as times and overflow, or are none.
func TestUnusableFigures(t *testing.T) {
	for _, key := range []string{"config", "drain", "grace", "lifetime", "beat", "evacuate", "memory"} {
		for _, value := range []string{"nan", "inf", "-inf", "1e300", "-0.5", "1e-9"} {
			text := regexp.MustCompile(`(?m)^`+key+` = .*$`).ReplaceAllString(valid+"beat = 1200\nevacuate = 5000\n", key+" = "+value)
			_, err := agatesetup.Parse("x", []byte(text))
			var faults *agatesetup.FaultsError
			if !errors.As(err, &faults) || len(faults.Faults) != 1 || !strings.Contains(faults.Faults[0], key) {
				t.Errorf("%s = %s: %v", key, value, err)
			}
		}
	}
}

// TestSyntaxErrorRow checks that an error of the decoder gives the line.
func TestSyntaxErrorRow(t *testing.T) {
	for text, row := range map[string]int{"name = ": 1, "name = \"a\"\nmemory = \"much\"": 2, "packets = \"nowhere\"": 1, "[bounds]\ngrace = true": 2} {
		_, err := agatesetup.Parse("x", []byte(text))
		var syntax *agatesetup.SyntaxError
		if !errors.As(err, &syntax) || syntax.Row != row {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := agatesetup.Load(filepath.Join(t.TempDir(), "none"))
	var readErr *agatesetup.ReadError
	if !errors.As(err, &readErr) || !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// FuzzParse mutates valid settings and checks that whatever Parse accepts is valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("memory = 99999999999999999999"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := agatesetup.Parse("settings.toml", text)
		if err == nil && (s.MemoryMB < 1 || !s.Packets.IsValid() || s.Bounds.ConfigTime() <= 0) {
			t.Errorf("%+v", s)
		}
	})
}
