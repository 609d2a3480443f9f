package agatecommand

import (
	"errors"
	"fmt"
	"strconv"

	"golang.org/x/sync/errgroup"

	"agatereach/core/version/agateserial"
	"agatereach/ctl/request/agateclient"
)

// maxParallel bounds the entries that are asked at a time.
const maxParallel = 64

// status is the command that compares the entries.
type status struct {
	command *Command
	// Entries holds administration addresses.
	Entries []string `long:"entry" required:"true" description:"administration address of an entry; may be repeated"`
	// Platform is the address whose newest ticket the entries are held to.
	Platform string `long:"platform" description:"address of the platform, whose newest ticket counts as the head"`
}

// entryStatus is what one entry says of its tickets.
type entryStatus struct {
	// Entry is the address that was asked.
	Entry string `json:"entry"`
	// VM, Centre and Boot name the process.
	VM     string `json:"vm,omitempty"`
	Centre uint16 `json:"centre,omitempty"`
	Boot   uint64 `json:"boot,omitempty"`
	// Upto is the ticket in force, Head the newest heard of.
	Upto uint64 `json:"upto"`
	Head uint64 `json:"head"`
	// Lag is how far Upto is behind the newest ticket that any source named.
	Lag uint64 `json:"lag"`
	// Stale says that the entry opens no flows until it has refreshed.
	Stale bool `json:"stale,omitempty"`
	// Error says why the entry gave no answer; empty when it did.
	Error string `json:"error,omitempty"`
}

// fleetStatus is the command's result.
type fleetStatus struct {
	// Head is the newest ticket that any source named.
	Head uint64 `json:"head"`
	// Entries are in the order in which they were named.
	Entries []entryStatus `json:"entries"`
}

// Execute implements flags.Commander.
func (s *status) Execute([]string) error {
	client, closeIdle := s.command.client()
	defer closeIdle()
	entries, failures := s.ask(client)
	fleet := fleetStatus{Entries: entries}
	platformErr := s.head(client, &fleet)
	fleet.level()
	if err := s.print(&fleet); err != nil {
		return err
	}
	return errors.Join(platformErr, errors.Join(failures...), fleet.finding())
}

// ask returns each entry's answer and the errors of those that gave none.
func (s *status) ask(client *agateclient.Client) ([]entryStatus, []error) {
	entries := make([]entryStatus, len(s.Entries))
	failures := make([]error, len(s.Entries))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, address := range s.Entries {
		group.Go(func() error {
			err := client.Decode(s.command.ctx, address, "/v1/tickets", &entries[i])
			entries[i].Entry = address
			if err != nil {
				entries[i].Error = err.Error()
				failures[i] = err
			}
			return nil
		})
	}
	_ = group.Wait()
	return entries, failures
}

// head reads the platform's newest ticket number if a platform was named.
func (s *status) head(client *agateclient.Client, fleet *fleetStatus) error {
	if s.Platform == "" {
		return nil
	}
	published, err := client.Published(s.command.ctx, s.Platform)
	if err != nil {
		return err
	}
	fleet.Head = published.Serial(published.Head).Pack()
	return nil
}

// level sets the head to the newest number that any source named, and each
// entry's lag behind it.
func (f *fleetStatus) level() {
	for i := range f.Entries {
		f.Head = max(f.Head, f.Entries[i].Head)
	}
	for i := range f.Entries {
		if f.Entries[i].Error == "" {
			f.Entries[i].Lag = agateserial.Distance(f.Head, f.Entries[i].Upto)
		}
	}
}

// finding returns an error if an entry is behind.
func (f *fleetStatus) finding() error {
	behind := 0
	for i := range f.Entries {
		if f.Entries[i].Lag > 0 || f.Entries[i].Stale {
			behind++
		}
	}
	if behind == 0 {
		return nil
	}
	return &FindingError{Text: fmt.Sprintf("%d of %d entries are stale or behind ticket %s", behind, len(f.Entries), agateserial.Unpack(f.Head))}
}

func (s *status) print(fleet *fleetStatus) error {
	rows := make([][]string, 0, len(fleet.Entries))
	for _, e := range fleet.Entries {
		rows = append(rows, []string{
			e.Entry, e.VM, strconv.Itoa(int(e.Centre)), agateserial.Unpack(e.Upto).String(),
			strconv.FormatUint(e.Lag, 10), e.condition(),
		})
	}
	return s.command.output().Print(fleet, []string{"entry", "vm", "centre", "ticket", "lag", "condition"}, rows)
}

func (e *entryStatus) condition() string {
	switch {
	case e.Error != "":
		return e.Error
	case e.Stale:
		return "stale"
	case e.Lag > 0:
		return "behind"
	}
	return "in force"
}
