package agateschedule

import (
	"github.com/cespare/xxhash/v2"
)

// Probers is the number of entries that probe each server. In a data centre
// with fewer entries, each of them probes all servers.
const Probers = 3

// Share determines which backend servers an entry probes. Each server is probed
// by the Probers entries that rank highest for it in rendezvous hashing, so that
// the cost for an entry does not grow with the fleet. A Share is immutable.
type Share struct {
	// self is the hash of the entry's own VM.
	self uint64
	// others holds the hashes of the other entries' VMs.
	others []uint64
}

// NewShare returns the share of the entry on the VM self. The vms are those of
// all entries in the data centre, with or without self.
func NewShare(self string, vms []string) *Share {
	s := &Share{self: xxhash.Sum64String(self)}
	for _, vm := range vms {
		if vm != self {
			s.others = append(s.others, xxhash.Sum64String(vm))
		}
	}
	return s
}

// Has reports whether the entry probes the server.
func (s *Share) Has(server uint32) bool {
	if len(s.others) < Probers {
		return true
	}
	own := rank(s.self, server)
	higher := 0
	for _, vm := range s.others {
		if rank(vm, server) > own {
			higher++
		}
	}
	return higher < Probers
}

// rank hashes the pair with the finalizer of SplitMix64 (Steele, Lea and Flood,
// OOPSLA 2014).
func rank(vm uint64, server uint32) uint64 {
	x := vm ^ uint64(server)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
