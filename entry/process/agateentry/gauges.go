package agateentry

import (
	"agatereach/core/process/agatedispatch"
	"agatereach/core/version/agateserial"
	"agatereach/entry/process/agatequeue"
)

// addGauges adds the metrics that are asked for when they are read.
func (e *Entry) addGauges() {
	e.addTicketGauges()
	e.addQueueGauges()
	e.addWorkGauges()
	e.addFleetGauges()
}

func (e *Entry) addTicketGauges() {
	upto := func() agateserial.Serial { return agateserial.Unpack(e.View().State().Upto()) }
	head := func() agateserial.Serial { return agateserial.Unpack(e.fleet.Status().Head) }
	e.metrics.Gauge("ticket_era", "Era of the platform that the ticket in force is of.", nil, func() float64 { return float64(upto().Era) })
	e.metrics.Gauge("ticket_upto", "Number of the ticket in force.", nil, func() float64 { return float64(upto().Number) })
	e.metrics.Gauge("ticket_head", "Number of the newest ticket heard of.", nil, func() float64 { return float64(head().Number) })
	e.metrics.Gauge("ticket_lag", "Number of tickets that are missing.", nil, func() float64 { return float64(e.fleet.Status().Lag) })
	e.metrics.Gauge("stale", "1 while no flows are opened for want of a fresh view.", nil, func() float64 { return number(e.fleet.Stale()) })
	e.metrics.Gauge("draining", "1 while a planned stop is under way.", nil, func() float64 { return number(e.draining.Load()) })
}

func (e *Entry) addQueueGauges() {
	for _, lane := range agatequeue.Lanes() {
		ring, labels := e.queue.Ring(lane), map[string]string{"lane": string(lane)}
		e.metrics.Gauge("queue_length", "Datagrams that wait for the dispatcher.", labels, func() float64 { return float64(ring.Len()) })
		e.metrics.Count("queue_dropped_total", "Datagrams refused by a full ring to the dispatcher.", labels, func() float64 { return float64(ring.Dropped()) })
	}
}

// event names one of the dispatcher's counters.
type event struct {
	name  string
	value func(*agatedispatch.Counts) uint64
}

var events = []event{
	{"opened", func(c *agatedispatch.Counts) uint64 { return c.Opened }},
	{"renewed", func(c *agatedispatch.Counts) uint64 { return c.Renewed }},
	{"full", func(c *agatedispatch.Counts) uint64 { return c.Full }},
	{"relayed", func(c *agatedispatch.Counts) uint64 { return c.Relayed }},
	{"spilled", func(c *agatedispatch.Counts) uint64 { return c.Spilled }},
	{"sent", func(c *agatedispatch.Counts) uint64 { return c.Sent }},
	{"retried", func(c *agatedispatch.Counts) uint64 { return c.Retried }},
	{"cancelled", func(c *agatedispatch.Counts) uint64 { return c.Cancelled }},
	{"answered", func(c *agatedispatch.Counts) uint64 { return c.Answered }},
	{"repeated", func(c *agatedispatch.Counts) uint64 { return c.Repeated }},
	{"notrun", func(c *agatedispatch.Counts) uint64 { return c.NotRun }},
	{"unknown", func(c *agatedispatch.Counts) uint64 { return c.Unknown }},
	{"refused", func(c *agatedispatch.Counts) uint64 { return c.Other }},
	{"late", func(c *agatedispatch.Counts) uint64 { return c.Late }},
	{"mismatched", func(c *agatedispatch.Counts) uint64 { return c.Mismatched }},
	{"forged", func(c *agatedispatch.Counts) uint64 { return c.Forged }},
	{"adopted", func(c *agatedispatch.Counts) uint64 { return c.Adopted }},
	{"failed", func(c *agatedispatch.Counts) uint64 { return c.Failed }},
}

func (e *Entry) addWorkGauges() {
	for _, event := range events {
		labels := map[string]string{"event": event.name}
		e.metrics.Count("work_total", "What the dispatcher did about opens and requests.", labels, func() float64 {
			return float64(event.value(&e.worker.State().Counts))
		})
	}
	e.metrics.Gauge("flows_guarded", "Flows with a guard record.", nil, func() float64 { return float64(e.worker.State().Guarded) })
	e.metrics.Gauge("requests_inflight", "Requests that have not ended.", nil, func() float64 { return float64(e.worker.State().Inflight) })
}

func (e *Entry) addFleetGauges() {
	e.metrics.Gauge("members", "Entry processes that are known.", nil, func() float64 { return float64(e.fleet.Status().Members) })
	e.metrics.Count("platform_reads_total", "Calls made to the platform.", nil, func() float64 { return float64(e.fleet.Status().Reads) })
}

func number(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
