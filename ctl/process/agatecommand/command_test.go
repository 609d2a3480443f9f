package agatecommand

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatekeyring"
)

// serve answers each path with its document, 401 where the document is empty.
func serve(t *testing.T, documents map[string]string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		document, found := documents[r.URL.Path]
		switch {
		case !found:
			http.NotFound(w, r)
		case document == "":
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"title":"bearer token is missing"}`))
		default:
			_, _ = w.Write([]byte(document))
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func run(t *testing.T, arguments ...string) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := new(Command).Run(t.Context(), arguments, &out, &errOut)
	return code, out.String(), errOut.String()
}

func file(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "input.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestStatus(t *testing.T) {
	current := serve(t, map[string]string{"/v1/tickets": `{"vm":"a1","centre":1,"upto":9,"head":9}`})
	behind := serve(t, map[string]string{"/v1/tickets": `{"vm":"b1","centre":2,"upto":7,"head":7}`})
	denied := serve(t, map[string]string{"/v1/tickets": ""})
	tests := []struct {
		name      string
		arguments []string
		code      int
		want      string
	}{
		{"in force", []string{"--entry", current}, ExitOK, "in force"},
		{"behind a peer", []string{"--entry", current, "--entry", behind}, ExitFinding, "1 of 2 entries are stale or behind ticket 9"},
		{"behind the platform", []string{"--entry", behind, "--platform", serve(t, map[string]string{"/v1/tickets": `{"after":0,"upto":8,"head":8}`})}, ExitFinding, "behind ticket 8"},
		{"behind a restored platform", []string{"--entry", current, "--platform", serve(t, map[string]string{"/v1/tickets": `{"era":2,"bases":[5],"after":0,"upto":6,"head":6}`})}, ExitFinding, "behind ticket 2/6"},
		{"denied", []string{"--entry", denied}, ExitDenied, "bearer token is missing"},
		{"unreachable", []string{"--entry", "127.0.0.1:1"}, ExitUnreachable, "is unreachable"},
		{"no entry", nil, ExitUsage, "required flag"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := run(t, append([]string{"status"}, test.arguments...)...)
			if code != test.code || !strings.Contains(out+errOut, test.want) {
				t.Fatalf("code %d, want %d with %q; printed %s%s", code, test.code, test.want, out, errOut)
			}
		})
	}
}

func TestDump(t *testing.T) {
	entry := serve(t, map[string]string{"/dump": `{"fleet":{"upto":4},"vm":"a1"}`})
	code, out, _ := run(t, "dump", "--entry", entry, "--part", "fleet")
	if code != ExitOK || !strings.Contains(out, `"upto": 4`) || strings.Contains(out, "a1") {
		t.Fatalf("code %d, printed %s", code, out)
	}
	if code, _, errOut := run(t, "dump", "--entry", entry, "--part", "x"); code != ExitInput {
		t.Fatalf("code %d, printed %s", code, errOut)
	}
}

func TestToken(t *testing.T) {
	ring := agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{1}}}, SigningKeyID: 1}
	token := agatetoken.Token{
		Service: 7, Centre: 2, Flow: 99, Issued: time.Now(),
		Guard: netip.MustParseAddrPort("127.0.0.1:70"),
	}
	seal, err := token.Seal(&ring)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(ring)
	if err != nil {
		t.Fatal(err)
	}
	forged := seal
	forged[60] ^= 1
	tests := []struct {
		name string
		seal string
		code int
		want string
	}{
		{"valid", hex.EncodeToString(seal[:]), ExitOK, `"verified": true`},
		{"forged", hex.EncodeToString(forged[:]), ExitFinding, "wrong authentication code"},
		{"short", "01", ExitInput, "has 1 bytes"},
		{"text", "zz", ExitInput, "invalid byte"},
		{"version", strings.Repeat("09", len(seal)), ExitInput, "version 9"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := run(t, "token", "--json", "--ring", file(t, string(text)), test.seal)
			if code != test.code || !strings.Contains(out+errOut, test.want) {
				t.Fatalf("code %d, want %d with %q; printed %s%s", code, test.code, test.want, out, errOut)
			}
		})
	}
}

func TestCheckTicket(t *testing.T) {
	tests := []struct {
		name, ticket string
		code         int
		want         string
	}{
		{"clean", `{"number":3,"teams":[{"name":"maps","share":1}]}`, ExitOK, ""},
		{"invalid", `{"number":3,"teams":[{"name":"maps"}]}`, ExitFinding, "field share is not valid"},
		{"old", `{"number":2,"teams":[{"name":"maps","share":1}]}`, ExitFinding, "ticket 2 has 1 faults"},
		{"text", `{`, ExitInput, "is not JSON"},
	}
	published := file(t, `{"after":0,"upto":2,"head":2}`)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := run(t, "check-ticket", "--published", published, file(t, test.ticket))
			if code != test.code || !strings.Contains(out+errOut, test.want) {
				t.Fatalf("code %d, want %d with %q; printed %s%s", code, test.code, test.want, out, errOut)
			}
		})
	}
	restored := file(t, `{"era":2,"bases":[5],"after":0,"upto":6,"head":6}`)
	if code, out, _ := run(t, "check-ticket", "--published", restored, file(t, tests[0].ticket)); code != ExitFinding || !strings.Contains(out, "number 2/3 is not above 2/6") {
		t.Errorf("number of before a restore: code %d, printed %s", code, out)
	}
	if code, _, errOut := run(t, "check-ticket", "missing.json"); code != ExitInput {
		t.Fatalf("code %d, printed %s", code, errOut)
	}
}

func TestCheckSettings(t *testing.T) {
	tests := []struct {
		name, settings string
		code           int
		want           string
	}{
		{"empty", "", ExitFinding, "vm.id"},
		{"unknown key", "[vm]\nid = \"a1\"\nspeed = 3\n", ExitFinding, "vm.speed"},
		{"text", "[vm", ExitFinding, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := run(t, "check-settings", file(t, test.settings))
			if code != test.code || !strings.Contains(out+errOut, test.want) {
				t.Fatalf("code %d, want %d with %q; printed %s%s", code, test.code, test.want, out, errOut)
			}
		})
	}
	if code, _, errOut := run(t, "check-settings", "missing.toml"); code != ExitInput {
		t.Fatalf("code %d, printed %s", code, errOut)
	}
}
