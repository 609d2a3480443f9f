package agatepool

import "time"

// loadUpdate records that the load state of a member was set at a time.
type loadUpdate struct {
	member *Member
	at     time.Time
}

// fifo is a queue of load updates that reuses its memory.
type fifo struct {
	// items holds the queue, starting at index head.
	items []loadUpdate
	head  int
}

func (f *fifo) push(m *Member, at time.Time) {
	f.items = append(f.items, loadUpdate{member: m, at: at})
}

func (f *fifo) peek() (*Member, time.Time, bool) {
	if f.head == len(f.items) {
		return nil, time.Time{}, false
	}
	return f.items[f.head].member, f.items[f.head].at, true
}

// pop removes the first item. It moves the remaining items to the front once at
// least half of the slice is unused.
func (f *fifo) pop() {
	f.items[f.head] = loadUpdate{}
	f.head++
	if 2*f.head < len(f.items) {
		return
	}
	rest := copy(f.items, f.items[f.head:])
	clear(f.items[rest:])
	f.items, f.head = f.items[:rest], 0
}
