package agatecommand

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/core/process/agatedump"
	"agatereach/core/version/agateposition"
	"agatereach/ctl/request/agateclient"
)

// statePath is where an entry shows its state.
const statePath = "/state"

// fleet is the command that compares entries whose backend servers answer the
// callers themselves.
type fleet struct {
	command *Command
	// Entries holds the addresses at which entries show their state.
	Entries []string `long:"entry" required:"true" description:"address at which an entry shows its state; may be repeated"`
}

// member is what one entry holds.
type member struct {
	// Entry is the address that was asked.
	Entry string `json:"entry"`
	// VM, Centre, Version, Era, Revision, Age and Reading are those of its dump.
	VM       string        `json:"vm,omitempty"`
	Centre   string        `json:"centre,omitempty"`
	Version  int64         `json:"version"`
	Era      uint32        `json:"era"`
	Revision int64         `json:"revision"`
	Age      time.Duration `json:"age"`
	Reading  bool          `json:"reading"`
	// Peers is the number of entries that it knows, and Silent are the ids of
	// the servers that it gives no new flow.
	Peers  int      `json:"peers"`
	Silent []string `json:"silent,omitempty"`
	// Failing are the servers whose answers it takes for failures.
	Failing []string `json:"failing,omitempty"`
	// Behind is how far its revision is behind the newest one of the latest era; an
	// entry of an earlier era is behind by all of that era's revisions.
	Behind int64 `json:"behind"`
	// Error says why the entry gave no answer; empty when it did.
	Error string `json:"error,omitempty"`
}

// Execute implements flags.Commander.
func (f *fleet) Execute([]string) error {
	client, closeIdle := f.command.client()
	defer closeIdle()
	members, failures := f.ask(client)
	finding := compare(members)
	if err := f.print(members); err != nil {
		return err
	}
	return errors.Join(errors.Join(failures...), finding)
}

// ask returns each entry's answer and the errors of those that gave none.
func (f *fleet) ask(client *agateclient.Client) ([]member, []error) {
	members := make([]member, len(f.Entries))
	failures := make([]error, len(f.Entries))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, address := range f.Entries {
		group.Go(func() error {
			var d agatedump.Dump
			failures[i] = client.Decode(f.command.ctx, address, statePath, &d)
			members[i] = newMember(address, &d, failures[i])
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
	return members, failures
}

func newMember(address string, d *agatedump.Dump, err error) member {
	if err != nil {
		return member{Entry: address, Error: err.Error()}
	}
	m := member{
		Entry: address, VM: d.VM, Centre: d.Centre, Version: d.Version, Era: d.Era, Revision: d.Revision,
		Age: d.Age, Reading: d.ReadsStore, Peers: len(d.Peers),
	}
	m.Silent = hexadecimal(d.Silent())
	m.Failing = hexadecimal(d.FailingServers())
	return m
}

// hexadecimal returns ids as they are written in logs.
func hexadecimal(ids []uint64) []string {
	var texts []string
	for _, id := range ids {
		texts = append(texts, strconv.FormatUint(id, 16))
	}
	return texts
}

// compare sets how far each entry is behind, and returns a finding if one holds
// another version than the newest or is at an earlier era of the store.
func compare(members []member) error {
	var version int64
	var newest agateposition.Position
	for _, m := range members {
		version = max(version, m.Version)
		newest = newest.Max(agateposition.Position{Era: m.Era, Revision: m.Revision})
	}
	behind := 0
	for i := range members {
		m := &members[i]
		if m.Error != "" {
			continue
		}
		m.Behind = newest.Revision
		if m.Era == newest.Era {
			m.Behind -= m.Revision
		}
		if m.Version < version || m.Era < newest.Era {
			behind++
		}
	}
	if behind == 0 {
		return nil
	}
	return &FindingError{Text: fmt.Sprintf("%d of %d entries are behind version %d in era %d", behind, len(members), version, newest.Era)}
}

func (f *fleet) print(members []member) error {
	rows := make([][]string, len(members))
	for i, m := range members {
		rows[i] = []string{
			m.Entry, m.VM, m.Centre, strconv.FormatInt(m.Version, 10),
			strconv.FormatUint(uint64(m.Era), 10), strconv.FormatInt(m.Behind, 10),
			m.Age.Round(time.Millisecond).String(), strconv.FormatBool(m.Reading), strconv.Itoa(m.Peers),
			strings.Join(m.Silent, " "), strings.Join(m.Failing, " "), m.Error,
		}
	}
	header := []string{"entry", "vm", "centre", "version", "era", "behind", "age", "reading", "peers", "silent", "failing", "error"}
	return f.command.output().Print(members, header, rows)
}
