package agatemerge_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatemerge"
	"agatereach/core/request/agateaddress"
	"agatereach/core/version/agateinstance"
)

// BenchmarkRecordFailure records a failure, as each heartbeat with an outage does, while the
// registrations of the largest supported deployment have lapsed.
func BenchmarkRecordFailure(b *testing.B) {
	const servers = 120_000
	var records []agateinstance.Instance
	for id := range uint64(servers) {
		record := newRecord(id+1, int64(id+1), agateinstance.Ready)
		record.Address = agateaddress.Address{IP: [4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}, Port: 80}
		records = append(records, record)
	}
	m := agatemerge.New(policy)
	m.Apply(listing(0, servers, records...), 0)
	m.Apply(listing(0, servers+1), time.Second)
	for b.Loop() {
		m.RecordFailure(time.Second)
	}
}
