// Package agatemeter provides the metrics of an entry whose backend servers
// answer callers themselves.
package agatemeter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"agatereach/core/process/agatesteer"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
)

// namespace starts the name of every metric.
const namespace = "agatereach"

// Outcome says how a read of the store ended.
type Outcome string

// The outcomes of a read.
const (
	// OK brought an answer.
	OK Outcome = "ok"
	// Compacted found that the history is gone.
	Compacted Outcome = "compacted"
	// Failed brought no answer.
	Failed Outcome = "failed"
)

// Loss says where a datagram was dropped.
type Loss string

// The places of a loss.
const (
	// Packets is the ring of callers' packets.
	Packets Loss = "packets"
	// Notices is the ring of other entries' notices.
	Notices Loss = "notices"
	// Unreadable is a datagram to other entries' port that is no notice.
	Unreadable Loss = "unreadable"
	// Oversized is a caller's packet that is longer than any that is passed on.
	Oversized Loss = "oversized"
)

// Meter holds the metrics. It is safe for concurrent use.
type Meter struct {
	registry  *prometheus.Registry
	verdicts  map[agatesteer.Reason]prometheus.Counter
	malformed prometheus.Counter
	losses    *prometheus.CounterVec
	reads     *prometheus.CounterVec
	readTime  prometheus.Histogram
	handled   prometheus.Histogram
	flows     prometheus.Gauge
	version   prometheus.Gauge
	revision  prometheus.Gauge
	confirmed prometheus.Gauge
	servers   *prometheus.GaugeVec
	peers     prometheus.Gauge
	start     prometheus.Gauge
}

// New returns metrics that all stand at 0. dropped returns the number of log
// lines that were dropped.
func New(dropped func() uint64) *Meter {
	verdicts := counters("verdicts_total", "Segments of callers, by what decided about them.", "reason")
	m := &Meter{
		registry:  prometheus.NewRegistry(),
		verdicts:  make(map[agatesteer.Reason]prometheus.Counter),
		malformed: counter("malformed_total", "Packets that could not be read."),
		losses:    counters("losses_total", "Datagrams dropped, by place.", "place"),
		reads:     counters("store_reads_total", "Reads of the store, by outcome.", "outcome"),
		readTime:  histogram("store_read_seconds", "Time that a read of the store took, with its waiting.", 0.004, 12),
		handled:   histogram("batch_seconds", "Time that a batch of packets took.", 0.00001, 16),
		flows:     gauge("flows", "Flows that are followed."),
		version:   gauge("config_version", "Version of the configuration in force."),
		revision:  gauge("catalog_revision", "Revision of the store up to which nothing is missing."),
		confirmed: gauge("confirmed_timestamp_seconds", "Time at which the catalog was last known to be the newest."),
		servers:   gauges("servers", "Backend servers, by state.", "state"),
		peers:     gauge("peers", "Other entries that are known."),
		start:     gauge("start_seconds", "Time from the start of the process to its first catalog."),
	}
	for _, reason := range agatesteer.Reasons() {
		m.verdicts[reason] = verdicts.WithLabelValues(string(reason))
	}
	m.registry.MustRegister(
		verdicts, m.malformed, m.losses, m.reads, m.readTime, m.handled, m.flows, m.version, m.revision,
		m.confirmed, m.servers, m.peers, m.start,
		countFunc("log_dropped_total", "Log lines that were dropped.", dropped),
	)
	return m
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func gauges(name, help, label string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func countFunc(name, help string, count func() uint64) prometheus.CounterFunc {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(count()) })
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// histogram returns a histogram whose count buckets double from the first one.
func histogram(name, help string, first float64, count int) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(first, 2, count),
	})
}

// Verdict counts a verdict.
func (m *Meter) Verdict(reason agatesteer.Reason) { m.verdicts[reason].Inc() }

// Malformed counts a packet that could not be read.
func (m *Meter) Malformed() { m.malformed.Inc() }

// Lost counts a datagram that was dropped.
func (m *Meter) Lost(place Loss) { m.losses.WithLabelValues(string(place)).Inc() }

// Batch notes how long a batch of packets took, and how many flows are followed.
func (m *Meter) Batch(took time.Duration, flows int) {
	m.handled.Observe(took.Seconds())
	m.flows.Set(float64(flows))
}

// Read notes how a read of the store ended.
func (m *Meter) Read(outcome Outcome, took time.Duration) {
	m.reads.WithLabelValues(string(outcome)).Inc()
	m.readTime.Observe(took.Seconds())
}

// Catalog notes the catalog in force.
func (m *Meter) Catalog(catalog *agatecatalog.Catalog) {
	m.version.Set(float64(catalog.Version()))
	m.revision.Set(float64(catalog.Revision()))
	m.servers.Reset()
	counts := make(map[agateinstance.State]int)
	for instance := range catalog.All() {
		counts[instance.State]++
	}
	for state, n := range counts {
		m.servers.WithLabelValues(string(state)).Set(float64(n))
	}
}

// Confirmed notes when the catalog was known to be the newest.
func (m *Meter) Confirmed(at time.Time) { m.confirmed.Set(float64(at.UnixMilli()) / 1000) }

// Peers notes the number of other entries.
func (m *Meter) Peers(n int) { m.peers.Set(float64(n)) }

// Started notes how long the start took.
func (m *Meter) Started(took time.Duration) { m.start.Set(took.Seconds()) }

// Handler serves the metrics in the text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
