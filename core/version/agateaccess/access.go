// Package agateaccess decides by a service's rules whether a caller may be
// served.
package agateaccess

import (
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"agatereach/core/version/agateruleset"
)

// scanLimit is the number of rules up to which they are tried one by one; above
// it they are looked up by prefix.
const scanLimit = 8

// Caller is what rules match.
type Caller struct {
	// Address is the caller's address.
	Address netip.Addr
	// Customer is the caller's customer number, 0 for none.
	Customer uint32
	// Region is the region of the data centre that the datagram entered at.
	Region string
}

// Verdict says what the rules allow.
type Verdict struct {
	// Allow lets new flows open.
	Allow bool
	// Cut ends established flows; never set together with Allow.
	Cut bool
	// Centres holds the numbers of the data centres that may serve the
	// caller; empty for any. It must not be changed.
	Centres []uint16
}

// Access is a rule set prepared for look-ups. It never changes. The zero value
// denies new flows and keeps established ones.
type Access struct {
	// set holds the rules in their order.
	set agateruleset.Ruleset
	// table maps prefixes to the places of the rules that name them, in
	// rising order; nil when the rules are few.
	table *bart.Table[[]int]
}

// New prepares the rule set, which must have passed its check.
func New(set agateruleset.Ruleset) *Access {
	a := &Access{set: set}
	if len(set.Rules) > scanLimit {
		a.table = index(set.Rules)
	}
	return a
}

// Decide returns the verdict of the first rule that matches the caller.
func (a *Access) Decide(c Caller) Verdict {
	place := a.first(c)
	if place < 0 {
		return verdict(a.set.Default, a.set.Established, nil)
	}
	rule := &a.set.Rules[place]
	return verdict(rule.Effect, rule.Established, rule.Centres)
}

// first returns the place of the first rule that matches, -1 for none.
func (a *Access) first(c Caller) int {
	if a.table != nil {
		return a.lookup(c)
	}
	for i := range a.set.Rules {
		if matches(&a.set.Rules[i], c) {
			return i
		}
	}
	return -1
}

// lookup finds the first matching rule among those whose prefix holds the
// caller's address.
func (a *Access) lookup(c Caller) int {
	best := -1
	host := netip.PrefixFrom(c.Address, c.Address.BitLen())
	for _, places := range a.table.Supernets(host) {
		for _, place := range places {
			if best >= 0 && place > best {
				break
			}
			if matches(&a.set.Rules[place], c) {
				best = place
				break
			}
		}
	}
	return best
}

func index(rules []agateruleset.Rule) *bart.Table[[]int] {
	table := new(bart.Table[[]int])
	for i := range rules {
		for _, prefix := range prefixes(&rules[i]) {
			places, _ := table.Get(prefix)
			table.Insert(prefix, append(slices.Clone(places), i))
		}
	}
	return table
}

// prefixes returns the prefixes under which a rule is found: both families'
// whole space for a rule that names none.
func prefixes(r *agateruleset.Rule) []netip.Prefix {
	if r.Prefix.IsValid() {
		return []netip.Prefix{r.Prefix.Masked()}
	}
	return []netip.Prefix{
		netip.PrefixFrom(netip.IPv4Unspecified(), 0),
		netip.PrefixFrom(netip.IPv6Unspecified(), 0),
	}
}

func matches(r *agateruleset.Rule, c Caller) bool {
	if r.Prefix.IsValid() && !r.Prefix.Contains(c.Address) {
		return false
	}
	if r.Customer != 0 && r.Customer != c.Customer {
		return false
	}
	return r.Region == "" || r.Region == c.Region
}

func verdict(effect agateruleset.Effect, established agateruleset.Established, centres []uint16) Verdict {
	if effect == agateruleset.Allow {
		return Verdict{Allow: true, Centres: centres}
	}
	return Verdict{Cut: established == agateruleset.Cut}
}
