package agatesync

import "time"

// Policy holds the intervals, limits and rates of a Sync.
type Policy struct {
	// HeartbeatInterval is the shortest time between two rounds of heartbeats
	// within the data centre. A round reaches PeersPerRound entries, in turn.
	// HeartbeatRate limits heartbeats in bytes a second: with many entries the
	// rounds are rarer.
	HeartbeatInterval time.Duration
	PeersPerRound     int
	HeartbeatRate     int
	// RemoteHeartbeatInterval is the shortest time between two heartbeats of this
	// entry to another data centre. Traffic between data centres is expensive.
	RemoteHeartbeatInterval time.Duration
	// RemoteCentreInterval is the time between two heartbeats from this data centre
	// as a whole to another one. Its entries share them.
	RemoteCentreInterval time.Duration
	// RemoteLoadRate limits the loads that one entry sends to other data centres,
	// in bytes a second. In a data centre of more than RemoteLoadEntries entries
	// each of them sends proportionally less.
	RemoteLoadRate    int
	RemoteLoadEntries int
	// ReaderTimeout is how long a reader may be silent before another entry reads
	// the store in its place, and the shortest time between its keepalives. In
	// large data centres the timeout is longer.
	ReaderTimeout time.Duration
	// AnnounceFanout is the number of entries of a large data centre to which each
	// entry announces a newer catalog.
	AnnounceFanout int
	// KeepaliveFanout is the number of entries of the data centre that get the
	// keepalives of a reader, which it sends in addition to the rounds of
	// heartbeats, and its report that a read of the store has failed.
	KeepaliveFanout int
	// MaxFailingReaders is the number of entries that may report a failing store
	// and be skipped in the order of readers. If more fail, the entries after them
	// leave the reads to those that already try.
	MaxFailingReaders int
	// LeavingReaders is the number of entries that read the store if all entries of the
	// data centre are leaving.
	LeavingReaders int
	// PeerExpiry is how long an entry of the same data centre is kept as a peer
	// without a heartbeat, and RemotePeerExpiry the same for other data centres.
	PeerExpiry, RemotePeerExpiry time.Duration
	// SeedInterval is the time between two heartbeats to seeds.
	SeedInterval time.Duration
	// LocalFanout is the number of entries of the same data centre that get urgent
	// notices at once, and RemoteFanout the number of entries of each other data
	// centre that get heartbeats.
	LocalFanout, RemoteFanout int
	// StartupWait is how long an entry without a catalog waits for a first
	// heartbeat from another entry before it reads the store. SnapshotWait is how
	// long it waits once a peer has announced a catalog.
	StartupWait, SnapshotWait time.Duration
	// TakeoverDelay is how long the catalog must be unconfirmed before the next
	// entry in the order of readers reads the store; it must be longer than a watch
	// waits. TakeoverStep is added for each further rank, up to a total of
	// MaxTakeoverDelay, or of MaxOutageDelay while a peer reports that the store
	// fails.
	TakeoverDelay, TakeoverStep, MaxTakeoverDelay, MaxOutageDelay time.Duration
	// CatchUpDelay is how long an entry may be behind another of its data centre
	// before it queries it. MismatchDelay is the same for entries of other data
	// centres, and how long another entry may hold different registrations at the
	// same revision before all of them are requested.
	CatchUpDelay, MismatchDelay time.Duration
	// QueryInterval is the shortest time between two queries.
	QueryInterval time.Duration
	// ReplyRate limits replies to queries in bytes a second, and ReplyBurst is how
	// many bytes they may take at once.
	ReplyRate, ReplyBurst int
	// PageSize is the approximate size of a page of registrations or of a part of a
	// configuration change, in bytes.
	PageSize int
}

// DefaultPolicy returns the policy with which a change takes effect on all entries
// within the bound.
func DefaultPolicy(bound time.Duration) Policy {
	return Policy{
		HeartbeatInterval: 100 * time.Millisecond,
		PeersPerRound:     8,
		// The design allows 10 KB a second for control traffic, most of it for
		// heartbeats.
		HeartbeatRate:           8000,
		RemoteHeartbeatInterval: 500 * time.Millisecond,
		// With ten heartbeats a second, a data centre whose store fails still gets
		// changes in time.
		RemoteCentreInterval: 100 * time.Millisecond,
		// A fifth of the control traffic that the design allows.
		RemoteLoadRate:    2000,
		RemoteLoadEntries: 4,
		ReaderTimeout:     time.Second,
		AnnounceFanout:    6,
		KeepaliveFanout:   128,
		MaxFailingReaders: 3,
		LeavingReaders:    3,
		PeerExpiry:        3 * time.Second,
		RemotePeerExpiry:  time.Minute,
		SeedInterval:      time.Second,
		LocalFanout:       64,
		RemoteFanout:      1,
		// A seed answers within one round trip and a few ms of processor time.
		// After a power cut callers are not served during this wait.
		StartupWait:      15 * time.Millisecond,
		SnapshotWait:     60 * time.Millisecond,
		TakeoverDelay:    bound * 7 / 8,
		TakeoverStep:     bound / 20,
		MaxTakeoverDelay: bound,
		MaxOutageDelay:   4 * bound,
		CatchUpDelay:     60 * time.Millisecond,
		MismatchDelay:    bound / 6,
		QueryInterval:    250 * time.Millisecond,
		ReplyRate:        smallestLink / linkShare,
		ReplyBurst:       smallestLink / linkShare / 2,
		// The payload of an Ethernet frame, less the headers and the other fields
		// of a page.
		PageSize: 1100,
	}
}

const (
	// smallestLink is the link rate of the smallest VMs, 10 Mbit/s, in bytes a
	// second.
	smallestLink = 10_000_000 / 8
	// linkShare is the divisor for the part of the link that replies may take: a
	// tenth.
	linkShare = 10
)

// WithLink returns the policy for an entry whose link carries the given number of
// bytes a second.
func (p Policy) WithLink(bytes int) Policy {
	p.ReplyRate = bytes / linkShare
	p.ReplyBurst = p.ReplyRate / 2
	return p
}
