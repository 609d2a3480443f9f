// Package agatepager cuts a state into pages for an entry of the same data
// centre that has none.
package agatepager

import (
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatepage"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agatesummary"
	"agatereach/core/version/agatetable"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

// summaryWeight is the size of an encoded summary in bytes.
const summaryWeight = 20

// Pager yields the pages of one state in turn. It is for one goroutine.
type Pager struct {
	// state is what is cut; it never changes.
	state *agatestate.State
	// part is the next part of the tables to take, up to agatetable.Parts.
	part int
	// tickets and summaries hold what was taken and is in no page yet; each
	// ticket has one object.
	tickets   []agateticket.Ticket
	summaries []agatesummary.Summary
	// index is the index of the next page.
	index int
}

// New returns a pager for the state.
func New(state *agatestate.State) *Pager { return &Pager{state: state} }

// Next returns the next page, of about limit bytes; one object is never cut.
// After the last page it returns empty last pages.
func (p *Pager) Next(limit int) *agatepage.Page {
	page := &agatepage.Page{Index: p.index, Upto: p.state.Upto(), Head: p.state.Head()}
	p.index++
	places := make(map[uint64]int)
	for weight := 0; weight < limit; {
		if !p.fill() {
			page.Last = true
			return page
		}
		weight += p.move(page, places, limit-weight)
	}
	page.Last = !p.fill()
	return page
}

// fill takes parts of the tables until something waits, and reports whether
// anything does.
func (p *Pager) fill() bool {
	for len(p.tickets) == 0 && len(p.summaries) == 0 {
		if p.part == agatetable.Parts {
			return false
		}
		p.take(p.part)
		p.part++
	}
	return true
}

// take collects one part of each table.
func (p *Pager) take(part int) {
	for item := range p.state.Centres().Part(part) {
		p.add(agateticket.Ticket{Number: item.Ticket, Centres: []agatecentre.Centre{item.Value}})
	}
	for item := range p.state.Services().Part(part) {
		p.add(agateticket.Ticket{Number: item.Ticket, Services: []agateservice.Service{item.Value}})
	}
	for item := range p.state.Servers().Part(part) {
		p.add(agateticket.Ticket{Number: item.Ticket, Servers: []agateserver.Server{item.Value}})
	}
	for item := range p.state.Rules().Part(part) {
		p.add(agateticket.Ticket{Number: item.Ticket, Rules: []agateruleset.Ruleset{item.Value}})
	}
	for item := range p.state.Teams().Part(part) {
		p.add(agateticket.Ticket{Number: item.Ticket, Teams: []agateteam.Team{item.Value}})
	}
	if part == 0 {
		p.takeRing()
	}
	for item := range p.state.Remotes().Part(part) {
		p.summaries = append(p.summaries, agatesummary.Summary{
			Server: item.Key, Service: item.Value.Service, Centre: item.Value.Centre,
			Takes: item.Value.Takes, Ticket: item.Ticket,
		})
	}
}

func (p *Pager) takeRing() {
	ring, number := p.state.RingTicket()
	if number != 0 {
		p.add(agateticket.Ticket{Number: number, Ring: &ring})
	}
}

func (p *Pager) add(t agateticket.Ticket) { p.tickets = append(p.tickets, t) }

// move puts what waits into the page, about limit bytes, and returns its size.
// The map places holds where the page has each ticket.
func (p *Pager) move(page *agatepage.Page, places map[uint64]int, limit int) int {
	weight := 0
	for len(p.tickets) > 0 && weight < limit {
		weight += p.tickets[0].Weight()
		appendObject(page, places, &p.tickets[0])
		p.tickets = p.tickets[1:]
	}
	count := min(len(p.summaries), max(limit-weight, 0)/summaryWeight+1)
	if weight >= limit {
		count = 0
	}
	page.Summaries = append(page.Summaries, p.summaries[:count]...)
	p.summaries = p.summaries[count:]
	return weight + count*summaryWeight
}

// appendObject joins the objects of one ticket.
func appendObject(page *agatepage.Page, places map[uint64]int, t *agateticket.Ticket) {
	place, found := places[t.Number]
	if !found {
		places[t.Number] = len(page.Tickets)
		page.Tickets = append(page.Tickets, *t)
		return
	}
	joined := &page.Tickets[place]
	joined.Centres = append(joined.Centres, t.Centres...)
	joined.Services = append(joined.Services, t.Services...)
	joined.Servers = append(joined.Servers, t.Servers...)
	joined.Rules = append(joined.Rules, t.Rules...)
	joined.Teams = append(joined.Teams, t.Teams...)
	if t.Ring != nil {
		joined.Ring = t.Ring
	}
}
