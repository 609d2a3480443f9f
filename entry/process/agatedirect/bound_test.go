package agatedirect

import (
	"testing"
	"time"

	"agatereach/core/process/agatesetup"
)

// TestChangeBound guards against reads of the store that are too rare for the shortest
// bound, and against other timings where no bound of an evacuation is set.
func TestChangeBound(t *testing.T) {
	for _, c := range []struct {
		config, drain, evacuate float64
		want                    time.Duration
	}{
		{3000, 4000, 0, 3 * time.Second},
		{4000, 3000, 0, 3 * time.Second},
		{3000, 4000, 5000, 3 * time.Second},
		{3000, 4000, 2000, 2 * time.Second},
		{2999.5, 4000, 5000, 2999500 * time.Microsecond},
	} {
		d := &Direct{setup: &agatesetup.Setup{Bounds: agatesetup.Bounds{Config: c.config, Drain: c.drain, Evacuate: c.evacuate}}}
		if got := d.changeBound(); got != c.want {
			t.Errorf("bounds %g, %g and %g: %s, want %s", c.config, c.drain, c.evacuate, got, c.want)
		}
		if got, want := d.steerPolicy().MaxCatalogAge, time.Duration(c.config*float64(time.Millisecond))*2/3; got != want {
			t.Errorf("age of the catalog for refusals: %s, want %s", got, want)
		}
	}
}
