// Package agateruleset defines the rules that say which callers a service may
// serve and from which data centres.
package agateruleset

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"agatereach/core/request/agatecodec"
)

const (
	// maxRules bounds the rules of one service.
	maxRules = 4096
	// maxRegion bounds a region's name, in bytes.
	maxRegion = 64
)

// Effect says what a rule does with the callers that it matches.
type Effect string

// The effects of a rule.
const (
	// Allow lets the caller be served.
	Allow Effect = "allow"
	// Deny forbids new flows.
	Deny Effect = "deny"
)

// Established says what a denying rule does to flows that exist already.
type Established string

// What a rule does to established flows.
const (
	// Keep lets established flows go on; the default.
	Keep Established = "keep"
	// Cut ends established flows too.
	Cut Established = "cut"
)

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Service is the number of the rule set's service.
	Service uint32
	// Rule is the rule's place in the set, -1 for a field of the set itself.
	Rule int
	// Field names the field as in the wire format.
	Field string
}

// Error names the service, the rule and the field.
func (e *FieldError) Error() string {
	if e.Rule < 0 {
		return fmt.Sprintf("rules of service %d: field %s is not valid", e.Service, e.Field)
	}
	return fmt.Sprintf("rules of service %d: rule %d: field %s is not valid", e.Service, e.Rule, e.Field)
}

// Rule matches callers and says whether they may be served.
type Rule struct {
	// Prefix matches the caller's address; the zero value matches any.
	Prefix netip.Prefix `json:"prefix,omitzero"`
	// Customer matches the caller's customer number; 0 matches any.
	Customer uint32 `json:"customer,omitempty"`
	// Region matches the region of the data centre that the datagram entered
	// at; empty matches any.
	Region string `json:"region,omitempty"`
	// Centres holds the numbers of the data centres that may serve the
	// callers of an allowing rule; empty for any.
	Centres []uint16 `json:"centres,omitempty"`
	// Effect is Allow or Deny.
	Effect Effect `json:"effect"`
	// Established is Keep, Cut or empty, which means Keep.
	Established Established `json:"established,omitempty"`
}

// Ruleset holds the rules of one service. The first rule that matches decides.
type Ruleset struct {
	// Service is the number of the service, not 0.
	Service uint32 `json:"service"`
	// Default decides about callers that no rule matches.
	Default Effect `json:"default"`
	// Established says what Default does to established flows when it denies.
	Established Established `json:"established,omitempty"`
	// Rules are tried in their order.
	Rules []Rule `json:"rules,omitempty"`
}

// Key returns the number of the service.
func (r Ruleset) Key() uint32 { return r.Service }

// Check returns a *FieldError unless the rule set keeps its invariants.
func (r *Ruleset) Check() error {
	switch {
	case r.Service == 0:
		return &FieldError{Service: r.Service, Rule: -1, Field: "service"}
	case !r.Default.valid():
		return &FieldError{Service: r.Service, Rule: -1, Field: "default"}
	case !r.Established.valid():
		return &FieldError{Service: r.Service, Rule: -1, Field: "established"}
	case len(r.Rules) > maxRules:
		return &FieldError{Service: r.Service, Rule: -1, Field: "rules"}
	}
	for i := range r.Rules {
		if field := r.Rules[i].fault(); field != "" {
			return &FieldError{Service: r.Service, Rule: i, Field: field}
		}
	}
	return nil
}

// fault returns the name of a field that is not valid, empty for none.
func (r *Rule) fault() string {
	switch {
	case r.Prefix.Addr().IsValid() && !r.Prefix.IsValid():
		return "prefix"
	case len(r.Region) > maxRegion:
		return "region"
	case !r.Effect.valid():
		return "effect"
	case !r.Established.valid():
		return "established"
	}
	return ""
}

func (e Effect) valid() bool { return e == Allow || e == Deny }

func (e Established) valid() bool { return e == "" || e == Keep || e == Cut }

// plain has Ruleset's fields without its decoders.
type plain Ruleset

// UnmarshalJSON decodes and checks the rule set.
func (r *Ruleset) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return err
	}
	return r.Check()
}

// UnmarshalCBOR decodes and checks the rule set.
func (r *Ruleset) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("rules", b, (*plain)(r)); err != nil {
		return err
	}
	return r.Check()
}
