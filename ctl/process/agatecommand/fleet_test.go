package agatecommand

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"agatereach/core/process/agatedump"
)

// dumped serves the state of an entry.
func dumped(t *testing.T, d agatedump.Dump) string {
	t.Helper()
	text, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, map[string]string{"/state": string(text)})
}

// TestFleet compares an entry that is up to date with one that is behind and one
// that gives no answer.
func TestFleet(t *testing.T) {
	current := dumped(t, agatedump.Dump{
		VM: "vm-1", Centre: "a", Version: 9, Revision: 40, Age: 20 * time.Millisecond, ReadsStore: true,
		Peers:   []agatedump.Peer{{Name: "vm-2"}},
		Servers: []agatedump.Server{{ID: 0x7f3a, Silent: true}, {ID: 0xbad, FailureShare: 0.7}, {ID: 1, FailureShare: 0.2}},
	})
	behind := dumped(t, agatedump.Dump{VM: "vm-2", Centre: "a", Version: 7, Revision: 35})
	if code, out, _ := run(t, "fleet", "--entry", current); code != ExitOK || !strings.Contains(out, "7f3a") || !strings.Contains(out, "bad") {
		t.Errorf("alone: %d\n%s", code, out)
	}
	code, out, message := run(t, "--json", "fleet", "--entry", current, "--entry", behind)
	var members []member
	if err := json.Unmarshal([]byte(out), &members); err != nil {
		t.Fatal(err, out)
	}
	if len(members[0].Failing) != 1 || members[0].Failing[0] != "bad" {
		t.Errorf("failing: %v", members[0].Failing)
	}
	if code != ExitFinding || members[1].Behind != 5 || !strings.Contains(message, "1 of 2 entries are behind version 9") {
		t.Errorf("behind: %d, %+v, %s", code, members, message)
	}
	restored := dumped(t, agatedump.Dump{VM: "vm-3", Centre: "a", Version: 9, Era: 1, Revision: 12})
	if code, _, message := run(t, "fleet", "--entry", current, "--entry", restored); code != ExitFinding || !strings.Contains(message, "1 of 2 entries are behind version 9 in era 1") {
		t.Errorf("entry of an earlier era: %d, %s", code, message)
	}
	if code, out, _ := run(t, "fleet", "--entry", current, "--entry", "127.0.0.1:1"); code != ExitUnreachable || !strings.Contains(out, "unreachable") {
		t.Errorf("unreachable: %d\n%s", code, out)
	}
}
