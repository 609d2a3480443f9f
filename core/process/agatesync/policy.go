package agatesync

import "time"

// Policy holds the times and numbers of a sync.
type Policy struct {
	// Beat is the shortest time between two rounds of heartbeats, Round the
	// number of entries that one reaches, in turn, and Rate the number of bytes
	// a second that they may take; with many entries the rounds are rarer.
	Beat  time.Duration
	Round int
	Rate  int
	// FarBeat is the shortest time between two heartbeats to another data
	// centre, whose bytes are dear.
	FarBeat time.Duration
	// FarShare is the time between two heartbeats of a whole data centre to
	// another one, for each of which an entry waits for its turn.
	FarShare time.Duration
	// FarRate is the number of bytes a second that loads of one of up to FarEntries
	// entries may take to other data centres; of more entries each sends less.
	FarRate    int
	FarEntries int
	// Quiet is how long a reader may send no heartbeat before another reads in
	// its place.
	Quiet time.Duration
	// Fanout is the number of entries of a large data centre that each one tells of
	// a newer catalog.
	Fanout int
	// Told is the number of entries of the data centre that a reader tells between
	// heartbeats that it is there: at intervals of Quiet, or longer ones with many.
	Told int
	// Failing is the number of entries that may fail to read the store before the
	// next ones in the order of readers leave it to those.
	Failing int
	// Expire is how long an entry of the own data centre is held to live
	// without a heartbeat, and ExpireFar that for one of another.
	Expire, ExpireFar time.Duration
	// Seek is the time between two heartbeats to seeds.
	Seek time.Duration
	// Near is the number of entries of the own data centre that are told of
	// news at once, and Far that of each other one that get heartbeats.
	Near, Far int
	// HeadStart is how long an entry that holds nothing waits for others' first
	// heartbeats before it reads the store, and Snapshot how long for a catalog
	// that one of them holds.
	HeadStart, Snapshot time.Duration
	// Takeover is how long the view must be unconfirmed before the next entry
	// in the order of readers reads the store, longer than a watch waits; and
	// Step how much longer for each that is before it, up to TakeoverMax.
	// It is OutageMax while others say that the store fails.
	Takeover, Step, TakeoverMax, OutageMax time.Duration
	// Behind is how long an entry may be behind another before it asks, and
	// Differ how long it may hold other registrations at the same revision.
	Behind, Differ time.Duration
	// AskAgain is the time after which an unanswered question is repeated.
	AskAgain time.Duration
	// Link is the number of bytes a second that answers to other entries may
	// take, and Burst that at once.
	Link, Burst int
	// PageSize is the number of bytes of registrations or virtual addresses in
	// a datagram, about.
	PageSize int
}

// DefaultPolicy returns the policy for a promise that changes are in force
// within the bound.
func DefaultPolicy(bound time.Duration) Policy {
	return Policy{
		Beat:  100 * time.Millisecond,
		Round: 8,
		// The design leaves 10 KB a second for control, most of it for this.
		Rate:    8000,
		FarBeat: 500 * time.Millisecond,
		// Ten a second tell a data centre without the store of changes in time.
		FarShare: 100 * time.Millisecond,
		// A fifth of what the design leaves for control.
		FarRate:    2000,
		FarEntries: 4,
		Quiet:      time.Second,
		Fanout:     6,
		Told:       128,
		Failing:    3,
		Expire:     3 * time.Second,
		ExpireFar:  time.Minute,
		Seek:       time.Second,
		Near:       64,
		Far:        1,
		// A seed answers within two ways and a few ms of processor time; all callers
		// wait for as long after a power cut.
		HeadStart:   15 * time.Millisecond,
		Snapshot:    60 * time.Millisecond,
		Takeover:    bound * 7 / 8,
		Step:        bound / 20,
		TakeoverMax: bound,
		OutageMax:   4 * bound,
		Behind:      60 * time.Millisecond,
		Differ:      bound / 6,
		AskAgain:    250 * time.Millisecond,
		Link:        smallestLink / linkShare,
		Burst:       smallestLink / linkShare / 2,
		// A datagram of an Ethernet frame, less heads and the page's own fields.
		PageSize: 1100,
	}
}

const (
	// smallestLink is the number of bytes a second of the smallest VMs' links,
	// 10 Mbit/s.
	smallestLink = 10_000_000 / 8
	// linkShare is the part of the link that answers may take.
	linkShare = 10
)

// WithLink returns the policy of an entry whose link bears a number of bytes a
// second.
func (p Policy) WithLink(bytes int) Policy {
	p.Link = bytes / linkShare
	p.Burst = p.Link / 2
	return p
}
