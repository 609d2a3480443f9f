// Package agatewindow remembers which numbers of a rising sequence have been
// seen, in constant space.
package agatewindow

// Size is the number of numbers, counted down from the highest one seen, that
// a Window tells apart.
const Size = 64

// Mark says what a Window knows of a number.
type Mark string

// The marks of a number.
const (
	// Fresh is a number that has not been seen.
	Fresh Mark = "fresh"
	// Seen is a number that has been seen.
	Seen Mark = "seen"
	// Old is a number below the window; it may have been seen.
	Old Mark = "old"
)

// Window is the set of numbers seen. The zero value has seen none. It is
// immutable.
type Window struct {
	_ struct{} `cbor:",toarray"`
	// Highest is the highest number seen, 0 for none.
	Highest uint64
	// Bits has bit i set if the number Highest-i has been seen.
	Bits uint64
}

// Mark returns what is known of number.
func (w Window) Mark(number uint64) Mark {
	switch {
	case number > w.Highest:
		return Fresh
	case w.Highest-number >= Size:
		return Old
	case w.Has(number):
		return Seen
	}
	return Fresh
}

// Has reports whether number is inside the window and has been seen.
func (w Window) Has(number uint64) bool {
	if number > w.Highest || w.Highest-number >= Size {
		return false
	}
	return w.Bits&(1<<(w.Highest-number)) != 0
}

// With returns the window that has seen number too. A number below the window
// changes nothing.
func (w Window) With(number uint64) Window {
	if number > w.Highest {
		return Window{Highest: number, Bits: shift(w.Bits, number-w.Highest) | 1}
	}
	if distance := w.Highest - number; distance < Size {
		w.Bits |= 1 << distance
	}
	return w
}

// Without returns the window that has not seen number.
func (w Window) Without(number uint64) Window {
	if w.Has(number) {
		w.Bits &^= 1 << (w.Highest - number)
	}
	return w
}

// Union returns the window that has seen what either has seen, as far as it
// is inside the window of the higher one.
func (w Window) Union(o Window) Window {
	if o.Highest > w.Highest {
		w, o = o, w
	}
	w.Bits |= shift(o.Bits, w.Highest-o.Highest)
	return w
}

// Empty reports whether no number inside the window has been seen.
func (w Window) Empty() bool { return w.Bits == 0 }

func shift(bits, distance uint64) uint64 {
	if distance >= Size {
		return 0
	}
	return bits << distance
}
