package agateadmit_test

import (
	"net/netip"
	"testing"
	"time"

	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateticket"
	"agatereach/core/version/agateview"
)

// TestReasonByKeys checks that a process that holds no key yet does not call a
// valid token wrong, which would end the flow, while one with other keys does.
func TestReasonByKeys(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ring := agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 2}}, SigningKeyID: 2}
	token := agatetoken.Token{Service: 1, Flow: 5, Issued: now}
	seal, err := token.Seal(&ring)
	if err != nil {
		t.Fatal(err)
	}
	other := agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1}}, SigningKeyID: 1}
	tests := map[string]struct {
		ring *agatekeyring.Ring
		want agatereason.Reason
	}{
		"no key yet": {nil, agatereason.Stale},
		"other keys": {&other, agatereason.Token},
		"its key":    {&ring, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ticket := agateticket.Ticket{
				Number: 1, Ring: test.ring,
				Rules: []agateruleset.Ruleset{{Service: 1, Default: agateruleset.Allow}},
			}
			batch := agatebatch.Batch{Upto: 1, Head: 1, Tickets: []agateticket.Ticket{ticket}}
			view := agateview.New(agatestate.New(1).With(&batch), nil)
			h := agateheader.Header{Service: 1, Flow: 5, Token: seal}
			var admission agateadmit.Admission
			err := admission.Check(view, &h, netip.MustParseAddr("127.0.0.1"), 1, now)
			if test.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if got := agateadmit.Reason(err); err == nil || got != test.want {
				t.Errorf("Check() = %v, reason %q, want %q", err, got, test.want)
			}
		})
	}
}
