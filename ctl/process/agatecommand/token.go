package agatecommand

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"strconv"
	"time"

	"agatereach/core/request/agateseal"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatekeyring"
)

// token is the command that decodes a route token.
type token struct {
	command *Command
	// Ring names a file with the key ring.
	Ring string `long:"ring" description:"file with the key ring in JSON, to check the authentication code and lifetime"`
	// Arguments holds the token.
	Arguments struct {
		Seal string `positional-arg-name:"TOKEN" description:"the sealed token in hexadecimal"`
	} `positional-args:"true" required:"true"`
}

// tokenReport is the command's result.
type tokenReport struct {
	// Key is the number of the key that the token names.
	Key uint8 `json:"key"`
	// Service to Flow are the token's fields.
	Service     uint32    `json:"service"`
	Centre      uint16    `json:"centre"`
	Server      uint32    `json:"server"`
	Incarnation uint64    `json:"incarnation"`
	Guard       string    `json:"guard"`
	Boot        uint64    `json:"boot"`
	Ticket      uint64    `json:"ticket"`
	Issued      time.Time `json:"issued"`
	Customer    uint32    `json:"customer"`
	Flow        uint64    `json:"flow"`
	// Verified says that the authentication code and lifetime were checked.
	Verified bool `json:"verified"`
}

// Execute implements flags.Commander.
func (t *token) Execute([]string) error {
	seal, err := parseSeal(t.Arguments.Seal)
	if err != nil {
		return &InputError{Name: "token", Err: err}
	}
	var decoded agatetoken.Token
	if err := decoded.Read(seal); err != nil {
		return &InputError{Name: "token", Err: err}
	}
	checkErr := t.verify(seal)
	report := newTokenReport(seal, &decoded, t.Ring != "" && checkErr == nil)
	if err := t.command.output().Print(report, []string{"field", "value"}, report.rows()); err != nil {
		return err
	}
	return checkErr
}

// verify checks the seal against the key ring, if one was named.
func (t *token) verify(seal *agateseal.Seal) error {
	if t.Ring == "" {
		return nil
	}
	text, err := os.ReadFile(t.Ring)
	if err != nil {
		return &InputError{Name: "key ring", Err: err}
	}
	var ring agatekeyring.Ring
	if err := json.Unmarshal(text, &ring); err != nil {
		return &InputError{Name: t.Ring, Err: err}
	}
	var checked agatetoken.Token
	if _, err := checked.Open(seal, &ring, time.Now()); err != nil {
		return &FindingError{Text: err.Error()}
	}
	return nil
}

func parseSeal(text string) (*agateseal.Seal, error) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return nil, err
	}
	if len(b) != agateseal.Size {
		return nil, &agateseal.SizeError{Have: len(b)}
	}
	return (*agateseal.Seal)(b), nil
}

func newTokenReport(seal *agateseal.Seal, t *agatetoken.Token, verified bool) *tokenReport {
	return &tokenReport{
		Key: agatetoken.Key(seal), Service: t.Service, Centre: t.Centre, Server: t.Server, Incarnation: t.Incarnation,
		Guard: t.Guard.String(), Boot: t.Boot, Ticket: t.Ticket, Issued: t.Issued.UTC(), Customer: t.Customer,
		Flow: t.Flow, Verified: verified,
	}
}

func (r *tokenReport) rows() [][]string {
	number := func(n uint64) string { return strconv.FormatUint(n, 10) }
	return [][]string{
		{"key", number(uint64(r.Key))},
		{"service", number(uint64(r.Service))},
		{"centre", number(uint64(r.Centre))},
		{"server", number(uint64(r.Server))},
		{"incarnation", number(r.Incarnation)},
		{"guard", r.Guard},
		{"boot", number(r.Boot)},
		{"ticket", number(r.Ticket)},
		{"issued", r.Issued.Format(time.RFC3339)},
		{"customer", number(uint64(r.Customer))},
		{"flow", number(r.Flow)},
		{"verified", strconv.FormatBool(r.Verified)},
	}
}
