package agatedispatch

import "agatereach/core/request/agateoutcome"

// Counts holds counters of events since the process started.
type Counts struct {
	// Handled counts received datagrams, Ignored those of an unexpected
	// kind.
	Handled uint64 `json:"handled"`
	Ignored uint64 `json:"ignored"`
	// Opened counts tokens issued for new flows, Renewed tokens issued
	// again.
	Opened  uint64 `json:"opened"`
	Renewed uint64 `json:"renewed"`
	// Full counts opens refused because the guard was full.
	Full uint64 `json:"full"`
	// Relayed counts datagrams relayed to peers. Spilled counts those sent
	// to another data centre because this one could not take them, Balanced
	// those sent to a near data centre that has more servers for its part
	// of the traffic.
	Relayed  uint64 `json:"relayed"`
	Spilled  uint64 `json:"spilled"`
	Balanced uint64 `json:"balanced"`
	// Sent counts requests sent to servers, Retried requests that were not
	// answered in time and submitted for a second attempt, Cancelled
	// cancels sent to servers.
	Sent      uint64 `json:"sent"`
	Retried   uint64 `json:"retried"`
	Cancelled uint64 `json:"cancelled"`
	// Answered counts servers' answers sent to callers, Repeated recorded
	// outcomes sent again.
	Answered uint64 `json:"answered"`
	Repeated uint64 `json:"repeated"`
	// NotRun, Unknown and Other count refusals by outcome.
	NotRun  uint64 `json:"notrun"`
	Unknown uint64 `json:"unknown"`
	Other   uint64 `json:"other"`
	// Late counts server datagrams for requests that are no longer held,
	// Mismatched those that name another request, Forged those with a wrong
	// tag.
	Late       uint64 `json:"late"`
	Mismatched uint64 `json:"mismatched"`
	Forged     uint64 `json:"forged"`
	// Adopted counts records adopted from other processes.
	Adopted uint64 `json:"adopted"`
	// Pauses counts pauses of the process.
	Pauses uint64 `json:"gaps"`
	// Failed counts decisions that could not be carried out.
	Failed uint64 `json:"failed"`
}

func (c *Counts) countRefusal(r refusal) {
	switch r.outcome {
	case agateoutcome.NotRun:
		c.NotRun++
	case agateoutcome.Unknown:
		c.Unknown++
	default:
		c.Other++
	}
}

// State is a snapshot of a Dispatcher for diagnosis.
type State struct {
	// Guarded is the number of flows with a record, Evicted the number of
	// records removed to make room, Bytes the size of the recorded
	// outcomes.
	Guarded int    `json:"guarded"`
	Evicted uint64 `json:"evicted"`
	Bytes   int    `json:"bytes"`
	// Inflight is the number of requests that have not ended. Held includes
	// the ended ones that wait for a late answer.
	Inflight int `json:"inflight"`
	Held     int `json:"held"`
	// Adopted holds the boot ids of the processes whose records were
	// adopted.
	Adopted []uint64 `json:"adopted,omitempty"`
	// Stale, Stopped and Exported are set by SetStale, Stop and Export.
	Stale    bool `json:"stale"`
	Stopped  bool `json:"stopped"`
	Exported bool `json:"exported"`
	// Counts holds the counters.
	Counts Counts `json:"counts"`
}

// State returns a snapshot of type State.
func (d *Dispatcher) State() any {
	s := State{
		Guarded:  d.guard.Len(),
		Evicted:  d.guard.Evicted(),
		Bytes:    d.guard.Bytes(),
		Inflight: d.flights.Active(),
		Held:     d.flights.Len(),
		Stale:    d.stale,
		Stopped:  d.stopped,
		Exported: d.exported,
		Counts:   d.counts,
	}
	for boot := range d.adoptedBoots {
		s.Adopted = append(s.Adopted, boot)
	}
	return s
}
