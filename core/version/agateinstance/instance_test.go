package agateinstance_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/request/agateaddress"
	"agatereach/core/version/agateinstance"
)

func valid() agateinstance.Instance {
	return agateinstance.Instance{
		Key: agateinstance.Key{ID: 1, StartTime: 1, Address: agateaddress.Address{IP: [4]byte{10, 0, 0, 1}, Port: 80}}, Revision: 1, Service: "map", Centre: "a", Slots: 3,
		State: agateinstance.Ready,
	}
}

// TestCheck checks that each field that is not valid is reported by its name.
func TestCheck(t *testing.T) {
	if err := valid().Check(); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		field      string
		invalidate func(*agateinstance.Instance)
	}{
		{"id", func(i *agateinstance.Instance) { i.ID = 0 }},
		{"service", func(i *agateinstance.Instance) { i.Service = "" }},
		{"service", func(i *agateinstance.Instance) { i.Service = strings.Repeat("s", 1<<10+1) }},
		{"centre", func(i *agateinstance.Instance) { i.Centre = strings.Repeat("c", 1<<10+1) }},
		{"start time", func(i *agateinstance.Instance) { i.StartTime = math.MaxInt64 }},
		{"start time", func(i *agateinstance.Instance) { i.StartTime = -1 }},
		{"address", func(i *agateinstance.Instance) { i.Address.Port = 0 }},
		{"slots", func(i *agateinstance.Instance) { i.Slots = 0 }},
		{"state", func(i *agateinstance.Instance) { i.State = "unsupported" }},
		{"cold", func(i *agateinstance.Instance) { i.WarmUp = -1 }},
		{"cold", func(i *agateinstance.Instance) { i.WarmUp = math.MaxInt64 }},
		{"revision", func(i *agateinstance.Instance) { i.Revision = 0 }},
	} {
		invalid := valid()
		c.invalidate(&invalid)
		var fieldErr *agateinstance.FieldError
		if err := invalid.Check(); !errors.As(err, &fieldErr) || fieldErr.Field != c.field {
			t.Errorf("%s: %v", c.field, err)
		}
	}
}

// TestToken checks, for random keys and salts, that a token is never 0, is the same
// each time, and belongs to its key and not to the next incarnation.
func TestToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := agateinstance.Key{ID: rapid.Uint64().Draw(t, "id"), StartTime: rapid.Int64().Draw(t, "born")}
		salt := rapid.Uint32Range(0, agateinstance.TokenSalts-1).Draw(t, "salt")
		token := key.Token(salt)
		if token == 0 || token != key.Token(salt) || !key.HasToken(token) {
			t.Fatalf("token %x is 0, not reproducible, or not one of its key", token)
		}
		next := key
		next.StartTime++
		if next.HasToken(token) {
			t.Fatalf("the next incarnation has token %x too", token)
		}
	})
}
