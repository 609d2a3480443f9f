// Package agatefault names the faults for which a datagram is not served, for
// counters and logs.
package agatefault

import (
	"errors"

	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agateforward"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agaterelay"
	"agatereach/core/request/agateroute"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatekeyring"
)

// Fault names the fault of a datagram.
type Fault string

// The faults, one for each type of error.
const (
	// Truncated is a datagram that ends inside its header.
	Truncated Fault = "truncated"
	// Oversized is a datagram that is longer than the limit.
	Oversized Fault = "oversized"
	// Version is a header of an unknown version.
	Version Fault = "version"
	// Malformed is a datagram that is no header.
	Malformed Fault = "malformed"
	// Kind is a datagram of a kind that its sender may not send.
	Kind Fault = "kind"
	// Address is a datagram that entered at another service's address.
	Address Fault = "address"
	// Missing is a datagram without the token that it needs.
	Missing Fault = "missing"
	// TokenVersion is a token of an unknown version.
	TokenVersion Fault = "tokenversion"
	// Code is a token with a wrong authentication code.
	Code Fault = "code"
	// Key is a token or frame of a key that is not in force.
	Key Fault = "key"
	// Expired is a token past its lifetime.
	Expired Fault = "expired"
	// Binding is a token of another service or flow.
	Binding Fault = "binding"
	// Denied is a flow that the rules forbid.
	Denied Fault = "denied"
	// Gone is a flow whose backend server has left.
	Gone Fault = "gone"
	// Frame is a relayed datagram without a frame.
	Frame Fault = "frame"
	// FrameCode is a frame with a wrong authentication code.
	FrameCode Fault = "framecode"
	// Hops is a datagram that was relayed too often.
	Hops Fault = "hops"
	// Route is a backend server's datagram without a route.
	Route Fault = "route"
	// Tag is a route that this process did not make.
	Tag Fault = "tag"
	// Other is any other error.
	Other Fault = "other"
)

// All returns every fault.
func All() []Fault {
	return []Fault{
		Truncated, Oversized, Version, Malformed, Kind, Address, Missing, TokenVersion, Code, Key,
		Expired, Binding, Denied, Gone, Frame, FrameCode, Hops, Route, Tag, Other,
	}
}

// Of returns the fault that err reports.
func Of(err error) Fault {
	for _, c := range cases {
		if c.matches(err) {
			return c.fault
		}
	}
	return Other
}

// match pairs a fault with the test for its type of error.
type match struct {
	fault   Fault
	matches func(error) bool
}

var cases = []match{
	{Code, is[*agatetoken.MACError]},
	{Truncated, is[*agateheader.TruncatedError]},
	{Oversized, is[*agateheader.OversizedError]},
	{Version, is[*agateheader.VersionError]},
	{Malformed, is[*agateheader.MalformedError]},
	{Kind, is[*agateforward.KindError]},
	{Address, is[*agateforward.AddressError]},
	{Missing, is[*agateadmit.MissingError]},
	{TokenVersion, is[*agatetoken.VersionError]},
	{Key, is[*agatekeyring.KeyError]},
	{Key, is[*agateadmit.KeylessError]},
	{Expired, is[*agatetoken.ExpiredError]},
	{Binding, is[*agatetoken.BindingError]},
	{Denied, is[*agateadmit.DeniedError]},
	{Gone, is[*agateforward.GoneError]},
	{Frame, is[*agaterelay.FormatError]},
	{FrameCode, is[*agaterelay.MACError]},
	{Hops, is[*agaterelay.HopsError]},
	{Route, is[*agateroute.FormatError]},
	{Tag, is[*agateforward.TagError]},
}

// is reports whether err has an error of type E in its chain.
func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
