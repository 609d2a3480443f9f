package agatelimit

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"
)

const (
	// defaultOpenRate is the limit for each caller prefix, in opens per second.
	defaultOpenRate = 1000
	// defaultBurst is the number of opens that a prefix may make at once.
	defaultBurst = 4000
	// prefixBits4 and prefixBits6 are the lengths of caller prefixes in bits,
	// for IPv4 and IPv6.
	prefixBits4 = 24
	prefixBits6 = 56
	// stages is the number of buckets that each prefix maps to.
	stages = 4
	// width is the number of buckets in a stage, a power of two.
	width = 1 << 11
	// stageHashBits is the number of hash bits set aside for each stage.
	stageHashBits = 16
)

// Openers limits the opens of each caller prefix in fixed memory. It is a
// multistage filter (Estan and Varghese, "New Directions in Traffic Measurement
// and Accounting", SIGCOMM 2002) of leaky buckets: a prefix maps to one bucket
// of each stage and is refused only while all of them are full, so that other
// prefixes affect it only if they fill every bucket that it maps to.
// It is not safe for concurrent use.
type Openers struct {
	// rate is the number of opens that drain from a bucket per second, above 0.
	rate float64
	// burst is the size of a bucket, at least 1.
	burst float64
	// keys is the hash key. It must be random, so that callers cannot choose
	// the prefixes that they share buckets with.
	keys [2]uint64
	// buckets is indexed by stage and by position in the stage.
	buckets [stages][width]bucket
}

// bucket is a leaky bucket.
type bucket struct {
	// level is the fill at updatedAt, from 0 to burst.
	level float64
	// updatedAt is the time of the last update, in Unix nanoseconds.
	updatedAt int64
}

// OpenersOption configures an Openers.
type OpenersOption func(*Openers)

// WithOpens sets the limit for each prefix: the rate, in opens per second, and
// the number of opens that it may make at once.
func WithOpens(rate, burst float64) OpenersOption {
	return func(o *Openers) { o.rate, o.burst = max(rate, 0.001), max(burst, 1) }
}

// WithKeys sets the two halves of the hash key.
func WithKeys(first, second uint64) OpenersOption {
	return func(o *Openers) { o.keys = [2]uint64{first, second} }
}

// NewOpeners returns a filter with empty buckets.
func NewOpeners(options ...OpenersOption) *Openers {
	o := &Openers{rate: defaultOpenRate, burst: defaultBurst}
	for _, option := range options {
		option(o)
	}
	return o
}

// Allow counts an open of the caller at the service and reports whether it is
// within the limit. A refused open is not counted.
func (o *Openers) Allow(now time.Time, service uint32, caller netip.Addr) bool {
	indexes := o.bucketIndexes(service, caller)
	at := now.UnixNano()
	lowest := o.burst
	for stage, index := range indexes {
		lowest = min(lowest, o.leak(&o.buckets[stage][index], at))
	}
	if lowest+1 > o.burst {
		return false
	}
	// Conservative update: raise only the buckets that are below the new
	// minimum, which limits the effect of prefixes that share a bucket.
	for stage, index := range indexes {
		b := &o.buckets[stage][index]
		b.level = max(b.level, lowest+1)
	}
	return true
}

// leak drains the bucket up to the given time and returns its level.
func (o *Openers) leak(b *bucket, at int64) float64 {
	if passed := at - b.updatedAt; passed > 0 {
		b.level = max(b.level-o.rate*float64(passed)/float64(time.Second), 0)
		b.updatedAt = at
	}
	return b.level
}

// bucketIndexes returns the position of the bucket in each stage for the
// caller's prefix at the service.
func (o *Openers) bucketIndexes(service uint32, caller netip.Addr) [stages]int {
	caller = caller.Unmap()
	bits := prefixBits6
	if caller.Is4() {
		bits = prefixBits4
	}
	prefix, err := caller.Prefix(bits)
	if err == nil {
		caller = prefix.Addr()
	}
	var key [20]byte
	address := caller.As16()
	copy(key[:], address[:])
	binary.LittleEndian.PutUint32(key[16:], service)
	hash := siphash.Hash(o.keys[0], o.keys[1], key[:])
	var indexes [stages]int
	for stage := range indexes {
		indexes[stage] = int(hash>>(stage*stageHashBits)) & (width - 1)
	}
	return indexes
}
