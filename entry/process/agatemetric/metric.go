// Package agatemetric provides the counters and gauges of an entry process.
package agatemetric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/request/agatefault"
	"agatereach/core/request/agatereason"
)

// namespace starts the name of every metric.
const namespace = "agatereach"

// Loss says why a datagram was dropped without a word to its sender.
type Loss string

// The causes of a loss.
const (
	// Ring is a full ring to the dispatcher.
	Ring Loss = "ring"
	// Unreachable is a data centre of which no live entry is known.
	Unreachable Loss = "unreachable"
	// Behind is a token newer than the view whose guard is not known.
	Behind Loss = "behind"
	// Send is a datagram that the kernel refused.
	Send Loss = "send"
	// Limit is a refusal left out by the limit on refusals.
	Limit Loss = "limit"
)

// Metrics holds the metrics of one process in a registry of their own.
type Metrics struct {
	registry  *prometheus.Registry
	datagrams *prometheus.CounterVec
	faults    *prometheus.CounterVec
	losses    *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	renewals  prometheus.Counter
}

// New returns metrics that all stand at 0, with those of the Go runtime and of
// the process.
func New() *Metrics {
	m := &Metrics{
		registry:  prometheus.NewRegistry(),
		datagrams: vector("datagrams_total", "Datagrams passed on.", "from", "to"),
		faults:    vector("faults_total", "Datagrams not served, by their fault.", "from", "fault"),
		losses:    vector("losses_total", "Datagrams dropped without a word to the sender, by cause.", "from", "cause"),
		refusals:  vector("refusals_total", "Refusals sent by the packet path, by reason.", "reason"),
		renewals: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "renewals_total", Help: "Route tokens renewed by the packet path.",
		}),
	}
	m.registry.MustRegister(
		m.datagrams, m.faults, m.losses, m.refusals, m.renewals,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func vector(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Gauge adds a gauge whose value is asked for when the metrics are read. The
// labels may be nil.
func (m *Metrics) Gauge(name, help string, labels map[string]string, value func() float64) {
	opts := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}
	m.registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
}

// Count adds a counter whose value is asked for when the metrics are read. The
// labels may be nil.
func (m *Metrics) Count(name, help string, labels map[string]string, value func() float64) {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}
	m.registry.MustRegister(prometheus.NewCounterFunc(opts, value))
}

// Handler serves the metrics over HTTP.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// Path counts the datagrams that go from one kind of process to another.
type Path struct {
	sent, failed prometheus.Counter
}

// Path returns the counters of the path.
func (m *Metrics) Path(from, to string) *Path {
	return &Path{
		sent:   m.datagrams.WithLabelValues(from, to),
		failed: m.losses.WithLabelValues(from, string(Send)),
	}
}

// Flush sends what waits in the outbox, and counts what was sent and what the
// kernel refused.
func (p *Path) Flush(outbox *agatesocket.Outbox) {
	outbox.Flush()
	sent, failed := outbox.Take()
	if sent > 0 {
		p.sent.Add(float64(sent))
	}
	if failed > 0 {
		p.failed.Add(float64(failed))
	}
}

// Fault counts a datagram that is not served.
func (m *Metrics) Fault(from string, fault agatefault.Fault) {
	m.faults.WithLabelValues(from, string(fault)).Inc()
}

// Lost counts datagrams that are dropped.
func (m *Metrics) Lost(from string, loss Loss, count uint64) {
	if count > 0 {
		m.losses.WithLabelValues(from, string(loss)).Add(float64(count))
	}
}

// Refused counts a refusal.
func (m *Metrics) Refused(reason agatereason.Reason) {
	m.refusals.WithLabelValues(string(reason)).Inc()
}

// Renewed counts a renewed token.
func (m *Metrics) Renewed() { m.renewals.Inc() }

// Faults returns the counts of faults by sender and fault, without zeros.
func (m *Metrics) Faults() map[string]float64 {
	totals := make(map[string]float64)
	families, err := m.registry.Gather()
	if err != nil {
		return totals
	}
	for _, family := range families {
		if family.GetName() != namespace+"_faults_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			values := make(map[string]string)
			for _, label := range metric.GetLabel() {
				values[label.GetName()] = label.GetValue()
			}
			totals[values["from"]+" "+values["fault"]] = metric.GetCounter().GetValue()
		}
	}
	return totals
}
