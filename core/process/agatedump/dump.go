// Package agatedump defines the state that an entry process shows on request.
package agatedump

import (
	"net/netip"
	"time"

	"agatereach/core/version/agateinstance"
)

// Dump is the state of an entry whose backend servers answer callers themselves.
type Dump struct {
	// VM and Centre name the entry, and Boot the run of its process.
	VM     string `json:"vm"`
	Centre string `json:"centre"`
	Boot   uint64 `json:"boot"`
	// Version and Revision are those of the catalog in force.
	Version  int64 `json:"version"`
	Revision int64 `json:"revision"`
	// Age is the time since the catalog was known to be the newest; negative if
	// it never was.
	Age time.Duration `json:"age"`
	// Reading says that the entry reads the store, and Failing that it cannot.
	Reading bool `json:"reading"`
	Failing bool `json:"failing"`
	// Flows is the number of flows that are followed.
	Flows int `json:"flows"`
	// Servers are the backend servers, and Peers the other entries.
	Servers []Server `json:"servers"`
	Peers   []Peer   `json:"peers"`
}

// Server is what an entry knows of a backend server.
type Server struct {
	// ID and Born name the incarnation.
	ID   uint64 `json:"id"`
	Born int64  `json:"born"`
	// Service, Address, Centre and State are those of the registration.
	Service string              `json:"service"`
	Address netip.AddrPort      `json:"address"`
	Centre  string              `json:"centre"`
	State   agateinstance.State `json:"state"`
	// Waiting and Open count the entry's own requests and flows, Others the
	// requests that other entries state.
	Waiting int     `json:"waiting"`
	Open    int     `json:"open"`
	Others  float64 `json:"others"`
	// Silent says that it takes no new flow because Missed flows have had no
	// answer since it was last heard.
	Silent bool `json:"silent"`
	Missed int  `json:"missed"`
	// Failing is the share of its answers that are taken for failures, 0 to 1.
	Failing float64 `json:"failing"`
	// Heard is the time since its last sign of life; negative if there was none.
	Heard time.Duration `json:"heard"`
}

// Peer is what an entry knows of another.
type Peer struct {
	// Name and Centre are those of its VM; empty until it has said them.
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Address is where it takes datagrams.
	Address netip.AddrPort `json:"address"`
	// Heard is the time since its last heartbeat; negative if there was none.
	Heard time.Duration `json:"heard"`
	// Failing says that it cannot read the store.
	Failing bool `json:"failing"`
}

// Since returns the time since a moment, -1 if that is 0, which means never.
func Since(at, now time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return now - at
}

// Silent returns the ids of the servers that take no new flow for their silence.
func (d *Dump) Silent() []uint64 {
	return d.ids(func(s *Server) bool { return s.Silent })
}

// likely is the share of failures from which on a server is shown as failing.
const likely = 0.5

// FailingServers returns the ids of the servers whose answers are failures, more
// likely than not.
func (d *Dump) FailingServers() []uint64 {
	return d.ids(func(s *Server) bool { return s.Failing >= likely })
}

// ids returns the ids of the servers for which a condition holds.
func (d *Dump) ids(holds func(*Server) bool) []uint64 {
	var ids []uint64
	for i := range d.Servers {
		if holds(&d.Servers[i]) {
			ids = append(ids, d.Servers[i].ID)
		}
	}
	return ids
}
