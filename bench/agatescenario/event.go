package agatescenario

// Kind says what an event does.
type Kind string

// The kinds of events.
const (
	// AddServer starts Count servers of Service, cold at first.
	AddServer Kind = "addserver"
	// Drain makes Servers of Service leave as planned.
	Drain Kind = "drain"
	// Kill ends Entries, or Servers of Service, at once. With For, servers
	// come back after it as new incarnations.
	Kill Kind = "kill"
	// Restart ends Entries at once and starts them again at their addresses.
	Restart Kind = "restart"
	// Pause stops the processes of Entries, or Servers of Service, until
	// Resume or for the time For.
	Pause Kind = "pause"
	// Resume ends a pause.
	Resume Kind = "resume"
	// Replace puts a new VM in the place of each of Entries and ends the old
	// one as planned.
	Replace Kind = "replace"
	// Cut cuts the two data centres of Between off from each other, or with
	// Platform set the data centres of Centres from the platform.
	Cut Kind = "cut"
	// Heal ends all cuts.
	Heal Kind = "heal"
	// Stale makes the platform serve old values: those of now, less Back tickets.
	Stale Kind = "stale"
	// Restore makes the platform come back from a copy that lacks the newest Back tickets.
	Restore Kind = "restore"
	// Down makes the platform refuse all reads.
	Down Kind = "down"
	// Fresh ends Stale and Down.
	Fresh Kind = "fresh"
	// Loss, Dup and Reorder set the Share of datagrams of Path that are lost,
	// duplicated or held back.
	Loss    Kind = "loss"
	Dup     Kind = "dup"
	Reorder Kind = "reorder"
	// Delay delays the datagrams of Path by Delay, and up to Jitter more.
	Delay Kind = "delay"
	// Load sets the load on Service, or on all, to Load.
	Load Kind = "load"
	// Mix sets the share of long requests to Service to Share.
	Mix Kind = "mix"
	// Mislead makes the health endpoints of Servers, or of the share Share of
	// each service's, mislead as How says.
	Mislead Kind = "mislead"
	// Ticket publishes Count tickets that each change the rules.
	Ticket Kind = "ticket"
	// Reuse ends Servers of Service and gives their addresses to servers of
	// the service To.
	Reuse Kind = "reuse"
)

// Path names the datagrams that faults apply to.
type Path string

// The paths; empty for all of them.
const (
	// Callers is between callers and entries.
	Callers Path = "callers"
	// Peers is between entries.
	Peers Path = "peers"
	// Backends is between entries and servers.
	Backends Path = "servers"
)

// Event is something that happens at a stated time.
type Event struct {
	// At is the time after the start of the load.
	At Span `toml:"at"`
	// Kind says what happens; it decides which of the other fields count.
	Kind Kind `toml:"kind"`
	// For is the time after which the event is undone; 0 for never.
	For Span `toml:"for"`
	// Gap is the time between two targets of one event.
	Gap Span `toml:"gap"`
	// Entries holds places of entries, from 1. All stands for all of them.
	Entries []int `toml:"entries"`
	All     bool  `toml:"all"`
	// Service names a service and Servers places of its servers, from 1.
	Service string `toml:"service"`
	Servers []int  `toml:"servers"`
	// To names the service that addresses are given to.
	To string `toml:"to"`
	// Centre is the number of a data centre.
	Centre int `toml:"centre"`
	// Between holds the numbers of two data centres.
	Between []int `toml:"between"`
	// Platform says that data centres are cut off from the platform.
	Platform bool `toml:"platform"`
	// Centres holds numbers of data centres.
	Centres []int `toml:"centres"`
	// Count is a number of servers or tickets.
	Count int `toml:"count"`
	// Back is a number of tickets.
	Back int `toml:"back"`
	// Share is a share, 0 to 1.
	Share float64 `toml:"share"`
	// Load is a share of capacity.
	Load float64 `toml:"load"`
	// Path names the datagrams that a fault applies to.
	Path Path `toml:"path"`
	// Delay and Jitter are lengths of time.
	Delay  Span `toml:"delay"`
	Jitter Span `toml:"jitter"`
	// How says how a health endpoint misleads: frozen, inverted or failing.
	How string `toml:"how"`
	// Undo says that the event is the end of an earlier one; not in files.
	Undo bool `toml:"-"`
}
