// Package agatekeyring defines the keys that authenticate route tokens and relayed
// datagrams. Two keys can be valid at the same time, so that keys can be rotated
// while tokens signed with the previous key are still in use.
package agatekeyring

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/dchest/siphash"

	"agatereach/core/request/agatecodec"
)

const (
	// SecretSize is the length of a secret in bytes.
	SecretSize = 16
	// MaxKeys is the maximum number of keys that are valid at the same time.
	MaxKeys = 2
)

// KeyError reports a key that is not in the ring.
type KeyError struct {
	// ID is the key's number.
	ID uint8
}

// Error names the key.
func (e *KeyError) Error() string { return fmt.Sprintf("key %d is not in force", e.ID) }

// RingError reports a key ring that is not valid.
type RingError struct {
	// Reason says what is wrong.
	Reason string
}

// Error returns the reason.
func (e *RingError) Error() string { return "key ring: " + e.Reason }

// Secret is the secret of a key. It prints as a placeholder, so that it doesn't
// appear in logs.
type Secret [SecretSize]byte

// String returns a placeholder.
func (Secret) String() string { return "(secret)" }

// MarshalText encodes the secret in hexadecimal.
func (s Secret) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText decodes the secret from hexadecimal.
func (s *Secret) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != SecretSize {
		return &RingError{Reason: fmt.Sprintf("secret has %d digits, want %d", len(text), 2*SecretSize)}
	}
	if _, err := hex.Decode(s[:], text); err != nil {
		return &RingError{Reason: "secret is not hexadecimal"}
	}
	return nil
}

// Key is one key of a ring.
type Key struct {
	// ID is the key's number; not 0, unique within the ring.
	ID uint8 `json:"id"`
	// Secret is the SipHash key.
	Secret Secret `json:"secret"`
}

// Sum64 returns the 64-bit SipHash-2-4 of b.
func (k *Key) Sum64(b []byte) uint64 {
	low, high := k.halves()
	return siphash.Hash(low, high, b)
}

// Sum128 returns the 128-bit SipHash-2-4 of b.
func (k *Key) Sum128(b []byte) (uint64, uint64) {
	low, high := k.halves()
	return siphash.Hash128(low, high, b)
}

// halves returns the secret as two little-endian numbers, as SipHash takes it.
func (k *Key) halves() (uint64, uint64) {
	return binary.LittleEndian.Uint64(k.Secret[:]), binary.LittleEndian.Uint64(k.Secret[8:])
}

// Ring is the set of valid keys. The zero value has no keys, so that every lookup
// fails.
type Ring struct {
	// Keys has at most MaxKeys keys with unique numbers.
	Keys []Key `json:"keys"`
	// SigningKeyID is the number of the key used for signing; one of Keys.
	SigningKeyID uint8 `json:"sign"`
}

// Key returns the key with the given number, or a *KeyError.
func (r *Ring) Key(id uint8) (*Key, error) {
	for i := range r.Keys {
		if r.Keys[i].ID == id {
			return &r.Keys[i], nil
		}
	}
	return nil, &KeyError{ID: id}
}

// Signer returns the key used for signing, or a *KeyError.
func (r *Ring) Signer() (*Key, error) { return r.Key(r.SigningKeyID) }

// Check returns a *RingError if the ring is not valid.
func (r *Ring) Check() error {
	if len(r.Keys) == 0 || len(r.Keys) > MaxKeys {
		return &RingError{Reason: fmt.Sprintf("has %d keys, want 1 to %d", len(r.Keys), MaxKeys)}
	}
	for i, k := range r.Keys {
		if k.ID == 0 {
			return &RingError{Reason: "key number 0 is reserved"}
		}
		if i > 0 && r.Keys[i-1].ID == k.ID {
			return &RingError{Reason: fmt.Sprintf("key %d is named twice", k.ID)}
		}
	}
	if _, err := r.Signer(); err != nil {
		return &RingError{Reason: fmt.Sprintf("signing key %d is not in the ring", r.SigningKeyID)}
	}
	return nil
}

// WithSigningKey returns a copy whose signing key has the given number.
func (r Ring) WithSigningKey(id uint8) Ring {
	r.SigningKeyID = id
	return r
}

// plain has the fields of Ring without its decoding methods.
type plain Ring

// UnmarshalJSON decodes and checks the ring.
func (r *Ring) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return err
	}
	return r.Check()
}

// UnmarshalCBOR decodes and checks the ring.
func (r *Ring) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("ring", b, (*plain)(r)); err != nil {
		return err
	}
	return r.Check()
}
