package agatesource

import (
	"encoding/json"

	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agaterefusal"
	"agatereach/core/version/agateticket"
)

// rawBatch is a batch whose tickets have not been decoded.
type rawBatch struct {
	Era     uint32            `json:"era"`
	Bases   []uint64          `json:"bases"`
	After   uint64            `json:"after"`
	Upto    uint64            `json:"upto"`
	Head    uint64            `json:"head"`
	Tickets []json.RawMessage `json:"tickets"`
}

// decodeBatch decodes a batch, sets aside the tickets that fail their checks and packs the
// platform's numbers.
func decodeBatch(body []byte) (*agatebatch.Batch, error) {
	var raw rawBatch
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, err
	}
	batch := &agatebatch.Batch{Era: raw.Era, Bases: raw.Bases, After: raw.After, Upto: raw.Upto, Head: raw.Head}
	for _, item := range raw.Tickets {
		if err := appendTicket(batch, item); err != nil {
			batch.Refused = append(batch.Refused, agaterefusal.New(number(item), err))
		}
	}
	if err := batch.Check(); err != nil {
		return nil, err
	}
	return batch.WithSerials()
}

// number returns the number of a ticket that failed its checks, 0 if it has none.
func number(item json.RawMessage) uint64 {
	var ticket struct {
		Number uint64 `json:"number"`
	}
	if json.Unmarshal(item, &ticket) != nil {
		return 0
	}
	return ticket.Number
}

// appendTicket decodes a ticket and appends it to the batch if it is valid.
func appendTicket(batch *agatebatch.Batch, item json.RawMessage) error {
	var ticket agateticket.Ticket
	if err := json.Unmarshal(item, &ticket); err != nil {
		return err
	}
	batch.Tickets = append(batch.Tickets, ticket)
	return nil
}
