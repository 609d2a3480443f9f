package agatepool

// sampleTries is the largest number of servers that Random and Next look at.
const sampleTries = 8

// Random returns a random usable member that fits, each equally likely, or nil if
// sampleTries draws find none.
func (p *Pool) Random(fits func(*Member) bool) *Member {
	if len(p.usable) == 0 {
		return nil
	}
	for range sampleTries {
		if m := p.usable[p.random.IntN(len(p.usable))]; fits(m) {
			return m
		}
	}
	return nil
}

// Next returns the next usable member in round-robin order that fits, or nil if
// none of the next sampleTries does.
func (p *Pool) Next(fits func(*Member) bool) *Member {
	for range min(len(p.usable), sampleTries) {
		p.nextUsable = (p.nextUsable + 1) % len(p.usable)
		if m := p.usable[p.nextUsable]; fits(m) {
			return m
		}
	}
	return nil
}

// LeastOwn returns the usable member that fits with the fewest requests of this
// entry per slot, or nil if none is found.
func (p *Pool) LeastOwn(fits func(*Member) bool) *Member {
	return p.byOwn.lowest(keyCount, p.random, fits)
}

// WithFreeSlot returns the least loaded usable member that fits and has a free
// slot by its last report, or nil if none is found.
func (p *Pool) WithFreeSlot(fits func(*Member) bool) *Member {
	return p.byLoad.lowest(unknownKey, p.random, fits)
}

// WithoutReport returns a usable member that fits, has no recent report and has
// fewer requests of this entry than slots, or nil if none is found.
func (p *Pool) WithoutReport(fits func(*Member) bool) *Member {
	return p.byLoad.lowest(fullKey, p.random, func(m *Member) bool { return m.loadState == loadUnknown && fits(m) })
}

// LeastLoad returns the usable member that fits with the least estimated load,
// preferring servers with a free slot, then servers without a recent report, then
// full ones. It returns nil if none is found.
func (p *Pool) LeastLoad(fits func(*Member) bool) *Member {
	return p.byLoad.lowest(keyCount, p.random, fits)
}
