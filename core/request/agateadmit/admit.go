// Package agateadmit decides whether a datagram of an established flow may
// pass: by its token, and by the newest rules held.
package agateadmit

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateview"
)

// DeniedError reports a flow that the rules forbid.
type DeniedError struct {
	// Service is the number of the flow's service.
	Service uint32
}

// Error names the service.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("rules of service %d forbid the flow", e.Service)
}

// MissingError reports a datagram without a token.
type MissingError struct{}

// Error says that the token is missing.
func (*MissingError) Error() string { return "datagram has no token" }

// KeylessError reports a token that cannot be checked yet: no ticket with the
// key ring has arrived since the process started, or the one with the token's key
// has not. It says nothing of the token.
type KeylessError struct{}

// Error says that the key is not held.
func (*KeylessError) Error() string { return "key is not held yet" }

// Admission is what has been learnt of a datagram that may pass.
type Admission struct {
	// Token is the flow's token; valid for the datagram's service and flow.
	Token agatetoken.Token
	// Renew says that the token is old, or signed with a key that is being
	// replaced, so that the caller should be given a new one.
	Renew bool
}

// Check reads the token of a datagram that entered at the data centre of the
// given number and checks it and the rules at the time now. The errors are
// those of agatetoken, *MissingError, *KeylessError and *DeniedError.
func (a *Admission) Check(view *agateview.View, h *agateheader.Header, caller netip.Addr, centre uint16, now time.Time) error {
	if err := a.Authenticate(view, h, now); err != nil {
		return err
	}
	if view.Access(h.Service, caller, a.Token.Customer, centre).Cut {
		return &DeniedError{Service: h.Service}
	}
	return nil
}

// Authenticate reads and checks the token alone. The errors are those of
// agatetoken and *MissingError.
func (a *Admission) Authenticate(view *agateview.View, h *agateheader.Header, now time.Time) error {
	if h.Token.IsZero() {
		return &MissingError{}
	}
	if len(view.Ring().Keys) == 0 {
		return &KeylessError{}
	}
	key, err := a.Token.Open(&h.Token, view.Ring(), now)
	if err != nil {
		return err
	}
	a.Renew = key != view.Ring().SigningKeyID || now.Sub(a.Token.Issued) > agatetoken.RenewAfter
	return a.Token.Bind(h.Service, h.Flow)
}

// IsUndecided reports whether err says nothing of the flow, so that the caller may ask again:
// the token's key is not held yet, or a clock is behind.
func IsUndecided(err error) bool {
	var expired *agatetoken.ExpiredError
	return is[*KeylessError](err) || errors.As(err, &expired) && expired.Early()
}

// Reason returns the reason that a caller is given for an error of this
// package, of agateheader or of agatetoken.
func Reason(err error) agatereason.Reason {
	switch {
	case IsUndecided(err):
		return agatereason.Stale
	case is[*agatetoken.ExpiredError](err):
		return agatereason.Expired
	case is[*agatetoken.BindingError](err):
		return agatereason.Service
	case is[*DeniedError](err):
		return agatereason.Denied
	case is[*agateheader.VersionError](err), is[*agatetoken.VersionError](err):
		return agatereason.Version
	case is[*agateheader.OversizedError](err):
		return agatereason.Oversized
	case is[*agatetoken.MACError](err), is[*agatekeyring.KeyError](err), is[*MissingError](err):
		return agatereason.Token
	}
	return agatereason.Malformed
}

// is reports whether err has an error of type E in its chain.
func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
