package agatecommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"agatereach/core/process/agatesettings"
	"agatereach/core/version/agateaudit"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agateserial"
	"agatereach/core/version/agateticket"
)

// checkTicket is the command that checks a ticket before it is published.
type checkTicket struct {
	command *Command
	// Platform is where the tickets in force are read.
	Platform string `long:"platform" description:"address of the platform, to check the ticket against what is published"`
	// Published names a file with the tickets in force.
	Published string `long:"published" description:"file with the batch of the tickets in force, instead of the platform"`
	// Arguments holds the file.
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"the ticket in JSON"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (k *checkTicket) Execute([]string) error {
	ticket := new(agateticket.Ticket)
	if err := readJSON(k.Arguments.File, ticket); err != nil {
		return err
	}
	published, err := k.published()
	if err != nil {
		return err
	}
	former, err := published.WithSerials()
	if err != nil {
		return &FindingError{Text: err.Error()}
	}
	serial := agateserial.Serial{Era: published.Era, Number: ticket.Number}
	next := ticket.WithNumber(serial.Pack())
	findings, err := agateaudit.Audit(former, &next)
	if err != nil {
		return &FindingError{Text: err.Error()}
	}
	rows := make([][]string, 0, len(findings))
	faults := 0
	for _, f := range findings {
		rows = append(rows, []string{string(f.Severity), f.Object, f.Text})
		if f.Severity == agateaudit.Fault {
			faults++
		}
	}
	if err := k.command.output().Print(findings, []string{"severity", "object", "finding"}, rows); err != nil {
		return err
	}
	if faults > 0 {
		return &FindingError{Text: fmt.Sprintf("ticket %s has %d faults", serial, faults)}
	}
	return nil
}

// published returns the tickets in force, an empty batch if no source is named.
func (k *checkTicket) published() (*agatebatch.Batch, error) {
	switch {
	case k.Published != "":
		batch := new(agatebatch.Batch)
		return batch, readJSON(k.Published, batch)
	case k.Platform != "":
		client, closeIdle := k.command.client()
		defer closeIdle()
		return client.Published(k.command.ctx, k.Platform)
	}
	return new(agatebatch.Batch), nil
}

// readJSON decodes a file; a value that fails its own check is a finding.
func readJSON(name string, v any) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return &InputError{Name: name, Err: err}
	}
	if !json.Valid(text) {
		return &InputError{Name: name, Err: &syntaxError{}}
	}
	if err := json.Unmarshal(text, v); err != nil {
		return &FindingError{Text: name + ": " + err.Error()}
	}
	return nil
}

// syntaxError reports a file that is not JSON.
type syntaxError struct{}

func (*syntaxError) Error() string { return "is not JSON" }

// checkSettings is the command that checks an entry's settings file.
type checkSettings struct {
	command *Command
	// Arguments holds the file.
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"the settings in TOML"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (k *checkSettings) Execute([]string) error {
	_, err := agatesettings.Load(k.Arguments.File)
	var faults *agatesettings.FaultsError
	var unreadable *agatesettings.ReadError
	switch {
	case err == nil:
		return k.command.output().Line("%s is valid", k.Arguments.File)
	case errors.As(err, &unreadable):
		return &InputError{Name: k.Arguments.File, Err: unreadable.Err}
	case errors.As(err, &faults):
		return k.report(faults)
	}
	return &FindingError{Text: err.Error()}
}

// report prints every fault of the settings.
func (k *checkSettings) report(faults *agatesettings.FaultsError) error {
	rows := make([][]string, 0, len(faults.Faults))
	for _, f := range faults.Faults {
		rows = append(rows, []string{f.Key, f.Reason})
	}
	if err := k.command.output().Print(faults.Faults, []string{"key", "fault"}, rows); err != nil {
		return err
	}
	return &FindingError{Text: fmt.Sprintf("%s has %d faults", k.Arguments.File, len(rows))}
}
