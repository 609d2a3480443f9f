// Package agateserver defines a backend server as tickets describe it.
package agateserver

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"agatereach/core/request/agatecodec"
)

// State says what a backend server may be given.
type State string

// The states of a backend server.
const (
	// Up is a server that takes its full share.
	Up State = "up"
	// Cold is a server that has just started and takes a growing share.
	Cold State = "cold"
	// Draining is a server that takes nothing new and finishes what it has.
	Draining State = "draining"
	// Gone is a server that has left for good.
	Gone State = "gone"
)

// Limits on the sizes that a server may state.
const (
	maxSlots       = 255
	maxConnections = 1 << 20
)

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Server is the server's number.
	Server uint32
	// Field names the field as in the wire format.
	Field string
}

// Error names the server and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("backend server %d: field %s is not valid", e.Server, e.Field)
}

// Server is a backend server.
type Server struct {
	// ID is the server's number, not 0 and never used for another server.
	ID uint32 `json:"id"`
	// Service is the number of the service that the server serves.
	Service uint32 `json:"service"`
	// Incarnation is not 0 and differs whenever the server is started anew or
	// its address is given to another service.
	Incarnation uint64 `json:"incarnation"`
	// Address is where the server takes datagrams.
	Address netip.AddrPort `json:"address"`
	// Health is where the server answers HTTP about its identity and load.
	Health netip.AddrPort `json:"health"`
	// Centre is the number of the server's data centre.
	Centre uint16 `json:"centre"`
	// Slots is the number of requests that run at a time, 1 to 255.
	Slots uint16 `json:"slots"`
	// Connections is the number of feeds that the server holds.
	Connections uint32 `json:"connections"`
	// State says what the server may be given.
	State State `json:"state"`
}

// Key returns the server's number.
func (s Server) Key() uint32 { return s.ID }

// WithState returns a copy in the given state.
func (s Server) WithState(state State) Server {
	s.State = state
	return s
}

// Takes reports whether the server may be given new work.
func (s *Server) Takes() bool { return s.State == Up || s.State == Cold }

// Serves reports whether the server may be sent datagrams of established work.
func (s *Server) Serves() bool { return s.State != Gone }

// Check returns a *FieldError unless the server keeps its invariants.
func (s *Server) Check() error {
	switch {
	case s.ID == 0:
		return &FieldError{Server: s.ID, Field: "id"}
	case s.Service == 0:
		return &FieldError{Server: s.ID, Field: "service"}
	case s.Incarnation == 0:
		return &FieldError{Server: s.ID, Field: "incarnation"}
	case s.Centre == 0:
		return &FieldError{Server: s.ID, Field: "centre"}
	case !s.Address.IsValid() || s.Address.Port() == 0:
		return &FieldError{Server: s.ID, Field: "address"}
	case !s.Health.IsValid() || s.Health.Port() == 0:
		return &FieldError{Server: s.ID, Field: "health"}
	case s.Slots == 0 || s.Slots > maxSlots:
		return &FieldError{Server: s.ID, Field: "slots"}
	case s.Connections > maxConnections:
		return &FieldError{Server: s.ID, Field: "connections"}
	}
	return s.checkState()
}

func (s *Server) checkState() error {
	switch s.State {
	case Up, Cold, Draining, Gone:
		return nil
	}
	return &FieldError{Server: s.ID, Field: "state"}
}

// plain has Server's fields without its decoders.
type plain Server

// UnmarshalJSON decodes and checks the server.
func (s *Server) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(s)); err != nil {
		return err
	}
	return s.Check()
}

// UnmarshalCBOR decodes and checks the server.
func (s *Server) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("backend server", b, (*plain)(s)); err != nil {
		return err
	}
	return s.Check()
}
