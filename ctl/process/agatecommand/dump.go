package agatecommand

import (
	"encoding/json"

	"agatereach/ctl/request/agateclient"
)

// dump is the command that prints an entry's state.
type dump struct {
	command *Command
	// Entry is the administration address.
	Entry string `long:"entry" required:"true" description:"administration address of the entry"`
	// Part names one part of the dump.
	Part string `long:"part" description:"print only this part of the dump"`
}

// Execute implements flags.Commander.
func (d *dump) Execute([]string) error {
	client, closeIdle := d.command.client()
	defer closeIdle()
	var document map[string]json.RawMessage
	if err := client.Decode(d.command.ctx, d.Entry, "/dump", &document); err != nil {
		return err
	}
	if d.Part == "" {
		return d.command.output().Document(document)
	}
	part, found := document[d.Part]
	if !found {
		return &InputError{Name: d.Part, Err: &agateclient.ContentError{Address: d.Entry, Err: &partError{part: d.Part}}}
	}
	return d.command.output().Document(part)
}

// partError reports a part that a dump does not have.
type partError struct {
	part string
}

func (e *partError) Error() string { return "dump has no part " + e.part }
