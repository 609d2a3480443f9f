// Package agatedump defines the snapshot of its state that an entry process returns
// on request.
package agatedump

import (
	"net/netip"
	"time"

	"agatereach/core/version/agateinstance"
)

// Dump is the state of an entry whose backend servers answer the callers directly.
type Dump struct {
	// VM and Centre are the names of the VM and its data centre, and Boot
	// identifies the run of the process.
	VM     string `json:"vm"`
	Centre string `json:"centre"`
	Boot   uint64 `json:"boot"`
	// Version, Era and Revision are those of the current catalog.
	Version  int64  `json:"version"`
	Era      uint32 `json:"era"`
	Revision int64  `json:"revision"`
	// Age is the time since the catalog was last known to be up to date; negative
	// if it never was.
	Age time.Duration `json:"age"`
	// ReadsStore is whether the entry reads the store, and StoreFailing whether its
	// reads fail.
	ReadsStore   bool `json:"reading"`
	StoreFailing bool `json:"failing"`
	// Flows is the number of tracked flows.
	Flows int `json:"flows"`
	// Evacuated holds the data centres that are evacuated, in the order of their names.
	Evacuated []Evacuation `json:"evacuated"`
	// Servers holds the backend servers, and Peers the other entries.
	Servers []Server `json:"servers"`
	Peers   []Peer   `json:"peers"`
}

// Evacuation is a data centre that an operator evacuates.
type Evacuation struct {
	// Centre is the name of the data centre, and Era and Revision are the store's when
	// the evacuation began.
	Centre   string `json:"centre"`
	Era      uint32 `json:"era"`
	Revision int64  `json:"revision"`
}

// Server is the state of a backend server as an entry knows it.
type Server struct {
	// ID and StartTime identify the incarnation.
	ID        uint64 `json:"id"`
	StartTime int64  `json:"born"`
	// Service, Address, Centre and State are taken from the registration.
	Service string              `json:"service"`
	Address netip.AddrPort      `json:"address"`
	Centre  string              `json:"centre"`
	State   agateinstance.State `json:"state"`
	// Pending is the number of the entry's requests without an answer yet, Open
	// that of its open flows, and OtherRequests that of the requests that other
	// entries report.
	Pending       int     `json:"waiting"`
	Open          int     `json:"open"`
	OtherRequests float64 `json:"others"`
	// Silent is whether the server gets no new flows because UnansweredFlows
	// flows have had no answer since its last sign of life.
	Silent          bool `json:"silent"`
	UnansweredFlows int  `json:"missed"`
	// FailureShare is the estimated share of its answers that are failures, 0 to 1.
	FailureShare float64 `json:"failing"`
	// Speed is how fast it works as a ratio to what is usual, 1/4 to 4, and SpeedWeight
	// is the number of requests that this rests on, those of other entries included.
	Speed       float64 `json:"speed"`
	SpeedWeight float64 `json:"speed_weight"`
	// SinceLastSign is the time since the last sign of life; negative if there was none.
	SinceLastSign time.Duration `json:"heard"`
}

// Peer is the state of another entry as an entry knows it.
type Peer struct {
	// Name and Centre are those of its VM; empty until it has sent them.
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Address is where it receives datagrams.
	Address netip.AddrPort `json:"address"`
	// SinceHeartbeat is the time since the last heartbeat; negative if there was none.
	SinceHeartbeat time.Duration `json:"heard"`
	// StoreFailing is whether its reads of the store fail, and Leaving whether it has
	// announced its end.
	StoreFailing bool `json:"failing"`
	Leaving      bool `json:"leaving"`
}

// Since returns the time from at to now, or -1 if at is 0, which means never.
func Since(at, now time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return now - at
}

// Silent returns the ids of the servers that are silent.
func (d *Dump) Silent() []uint64 {
	return d.ids(func(s *Server) bool { return s.Silent })
}

// failingThreshold is the minimum share of failures of a server that is listed as
// failing.
const failingThreshold = 0.5

// FailingServers returns the ids of the servers whose share of failures is at least
// failingThreshold.
func (d *Dump) FailingServers() []uint64 {
	return d.ids(func(s *Server) bool { return s.FailureShare >= failingThreshold })
}

// ids returns the ids of the servers for which match returns true.
func (d *Dump) ids(match func(*Server) bool) []uint64 {
	var ids []uint64
	for i := range d.Servers {
		if match(&d.Servers[i]) {
			ids = append(ids, d.Servers[i].ID)
		}
	}
	return ids
}
