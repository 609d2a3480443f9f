package agatepool

import (
	"math/bits"
	"math/rand/v2"
)

const (
	// keyCount is the number of keys of a memberIndex, one for each bit of
	// nonEmpty.
	keyCount = 64
	// maxBucketScan is the largest number of members of one bucket that a
	// search looks at.
	maxBucketScan = 8
)

// position is the position of a member in a memberIndex: its bucket and the index
// in that bucket.
type position struct {
	key, at int
	// held is whether the memberIndex contains the member.
	held bool
}

// memberIndex is a bucket queue: it groups members by a small key, so that finding
// one with the lowest key takes constant time.
type memberIndex struct {
	// id is the element of Member.positions that this index uses.
	id int
	// buckets holds the members of each key in no particular order.
	buckets [keyCount][]*Member
	// nonEmpty has a bit set for each bucket that is not empty.
	nonEmpty uint64
}

// put adds the member under the key, or moves it there.
func (x *memberIndex) put(m *Member, key int) {
	p := &m.positions[x.id]
	if p.held && p.key == key {
		return
	}
	x.remove(m)
	*p = position{key: key, at: len(x.buckets[key]), held: true}
	x.buckets[key] = append(x.buckets[key], m)
	x.nonEmpty |= 1 << key
}

// remove removes the member if the index contains it.
func (x *memberIndex) remove(m *Member) {
	p := &m.positions[x.id]
	if !p.held {
		return
	}
	bucket := x.buckets[p.key]
	last := len(bucket) - 1
	moved := bucket[last]
	bucket[p.at] = moved
	moved.positions[x.id].at = p.at
	bucket[last] = nil
	x.buckets[p.key] = bucket[:last]
	if last == 0 {
		x.nonEmpty &^= 1 << p.key
	}
	p.held = false
}

// lowest returns a member that fits with the lowest key below limit, or nil if none
// is found. It searches each bucket from a random member on and looks at no more
// than maxBucketScan of its members, so it may miss one when few of many fit.
func (x *memberIndex) lowest(limit int, random *rand.Rand, fits func(*Member) bool) *Member {
	for filled := x.nonEmpty; filled != 0; filled &= filled - 1 {
		key := bits.TrailingZeros64(filled)
		if key >= limit {
			return nil
		}
		bucket := x.buckets[key]
		at := random.IntN(len(bucket))
		for range min(len(bucket), maxBucketScan) {
			if m := bucket[at]; fits(m) {
				return m
			}
			at++
			if at == len(bucket) {
				at = 0
			}
		}
	}
	return nil
}
