// Package agateserial numbers what the platform has accepted in one rising sequence,
// though the platform gives numbers out again after it was restored from a copy.
package agateserial

import "strconv"

const (
	// numberBits is the number of bits of a packed serial that hold the number.
	numberBits = 48
	// MaxEra and MaxNumber are the highest values that can be packed.
	MaxEra    = 1 << (64 - numberBits)
	MaxNumber = 1<<numberBits - 1
)

// Serial is a number of the platform with the era in which it was given out. The zero
// value is before all others.
type Serial struct {
	// Era is the platform's era, from 1 on, which rises with each restore; 0 counts as 1.
	Era uint32
	// Number is at most MaxNumber.
	Number uint64
}

// Pack returns the serial as one number, by which serials are ordered as by era and
// number. In the first era it is the platform's number.
func (s Serial) Pack() uint64 { return uint64(max(s.Era, 1)-1)<<numberBits | s.Number }

// Unpack returns the serial that Pack has made a number of.
func Unpack(packed uint64) Serial {
	return Serial{Era: uint32(packed>>numberBits) + 1, Number: packed & MaxNumber}
}

// Valid reports whether the serial can be packed.
func (s Serial) Valid() bool { return s.Era <= MaxEra && s.Number <= MaxNumber }

// Distance returns how far a packed serial is ahead of another one, 0 if it is not. One of
// a later era is ahead by its number at least.
func Distance(ahead, behind uint64) uint64 {
	a, b := Unpack(ahead), Unpack(behind)
	switch {
	case ahead <= behind:
		return 0
	case a.Era == b.Era:
		return a.Number - b.Number
	}
	return max(a.Number, 1)
}

// String returns the number, with the era in front of it from the second era on.
func (s Serial) String() string {
	number := strconv.FormatUint(s.Number, 10)
	if s.Era <= 1 {
		return number
	}
	return strconv.FormatUint(uint64(s.Era), 10) + "/" + number
}
