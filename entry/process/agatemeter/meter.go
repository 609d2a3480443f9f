// Package agatemeter provides the Prometheus metrics of an entry whose backend
// servers answer callers themselves.
package agatemeter

import (
	"iter"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"agatereach/core/process/agatecheck"
	"agatereach/core/process/agatehedge"
	"agatereach/core/process/agatesteer"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
)

// namespace is the prefix of the name of every metric.
const namespace = "agatereach"

// Outcome is the result of a read of the store, as a label value.
type Outcome string

// The outcomes of a read.
const (
	// OK is a read that returned an answer.
	OK Outcome = "ok"
	// Compacted is a watch whose history the store no longer holds.
	Compacted Outcome = "compacted"
	// Failed is a read that failed for any other reason.
	Failed Outcome = "failed"
)

// Loss is the place at which a datagram was dropped, as a label value.
type Loss string

// The places of losses.
const (
	// PacketQueue is the full queue of callers' packets.
	PacketQueue Loss = "packets"
	// NoticeQueue is the full queue of other entries' notices.
	NoticeQueue Loss = "notices"
	// Unreadable is a datagram to the port for notices that could not be decoded.
	Unreadable Loss = "unreadable"
	// Oversized is a caller's packet that is too long to be forwarded.
	Oversized Loss = "oversized"
)

// Meter holds the metrics. It is safe for concurrent use.
type Meter struct {
	registry      *prometheus.Registry
	verdicts      map[agatesteer.Reason]prometheus.Counter
	checks        map[agatecheck.Result]prometheus.Counter
	coldFlows     prometheus.Counter
	hedged        map[agatehedge.Doubt]prometheus.Counter
	malformed     prometheus.Counter
	losses        *prometheus.CounterVec
	reads         *prometheus.CounterVec
	readTime      prometheus.Histogram
	batchTime     prometheus.Histogram
	flows         prometheus.Gauge
	version       prometheus.Gauge
	era           prometheus.Gauge
	revision      prometheus.Gauge
	confirmed     prometheus.Gauge
	servers       *prometheus.GaugeVec
	evacuated     *prometheus.GaugeVec
	peers         prometheus.Gauge
	shares        *prometheus.GaugeVec
	startDuration prometheus.Gauge
}

// New returns metrics with all values at 0. dropped returns the number of log lines
// dropped so far.
func New(dropped func() uint64) *Meter {
	verdicts := counters("verdicts_total", "Segments of callers, by what decided about them.", "reason")
	checks := counters("checks_total", "Checks of backend servers, by result.", "result")
	hedged := counters("hedged_total", "SYNs sent to a second server as well, by the doubt about the first.", "doubt")
	m := &Meter{
		registry:      prometheus.NewRegistry(),
		checks:        make(map[agatecheck.Result]prometheus.Counter),
		hedged:        make(map[agatehedge.Doubt]prometheus.Counter),
		verdicts:      make(map[agatesteer.Reason]prometheus.Counter),
		coldFlows:     counter("cold_flows_total", "SYNs given to cold servers of services with a limit."),
		malformed:     counter("malformed_total", "Packets that could not be read."),
		losses:        counters("losses_total", "Datagrams dropped, by place.", "place"),
		reads:         counters("store_reads_total", "Reads of the store, by outcome.", "outcome"),
		readTime:      histogram("store_read_seconds", "Time that a read of the store took, with its waiting.", 0.004, 12),
		batchTime:     histogram("batch_seconds", "Time that a batch of packets took.", 0.00001, 16),
		flows:         gauge("flows", "Flows that are followed."),
		version:       gauge("config_version", "Version of the configuration in force."),
		era:           gauge("catalog_era", "Era of the store that the revision belongs to."),
		revision:      gauge("catalog_revision", "Revision of the store up to which nothing is missing."),
		confirmed:     gauge("confirmed_timestamp_seconds", "Time at which the catalog was last known to be the newest."),
		servers:       gauges("servers", "Backend servers, by state.", "state"),
		evacuated:     gauges("evacuated_centres", "Data centres that are evacuated, 1 each.", "centre"),
		peers:         gauge("peers", "Other entries that are known."),
		shares:        gauges("admitted_share", "Admitted share of the new flows, by service and priority.", "service", "priority"),
		startDuration: gauge("start_seconds", "Time from the start of the process to its first catalog."),
	}
	for _, reason := range agatesteer.Reasons() {
		m.verdicts[reason] = verdicts.WithLabelValues(string(reason))
	}
	for _, result := range agatecheck.Results() {
		m.checks[result] = checks.WithLabelValues(string(result))
	}
	for _, doubt := range agatehedge.Doubts() {
		m.hedged[doubt] = hedged.WithLabelValues(string(doubt))
	}
	m.registry.MustRegister(
		verdicts, checks, hedged, m.coldFlows, m.malformed, m.losses, m.reads, m.readTime, m.batchTime, m.flows, m.version, m.era, m.revision,
		m.confirmed, m.servers, m.evacuated, m.peers, m.shares, m.startDuration,
		counterFunc("log_dropped_total", "Log lines that were dropped.", dropped),
	)
	return m
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func counterFunc(name, help string, count func() uint64) prometheus.CounterFunc {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(count()) })
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// histogram returns a histogram with count buckets, of which the first ends at first
// and each other one at twice the end of the one before.
func histogram(name, help string, first float64, count int) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(first, 2, count),
	})
}

// CountVerdict counts a verdict by its reason.
func (m *Meter) CountVerdict(reason agatesteer.Reason) { m.verdicts[reason].Inc() }

// CountCheck counts a check of a backend server by its result.
func (m *Meter) CountCheck(result agatecheck.Result) { m.checks[result].Inc() }

// CountColdFlow counts a SYN given to a cold server whose service has a limit.
func (m *Meter) CountColdFlow() { m.coldFlows.Inc() }

// CountHedged counts a SYN that was sent to a second server as well.
func (m *Meter) CountHedged(doubt agatehedge.Doubt) { m.hedged[doubt].Inc() }

// CountMalformed counts a packet that could not be decoded.
func (m *Meter) CountMalformed() { m.malformed.Inc() }

// CountLoss counts a dropped datagram.
func (m *Meter) CountLoss(place Loss) { m.losses.WithLabelValues(string(place)).Inc() }

// ObserveBatch records the time taken by a batch of packets, and the number of flows
// tracked after it.
func (m *Meter) ObserveBatch(duration time.Duration, flows int) {
	m.batchTime.Observe(duration.Seconds())
	m.flows.Set(float64(flows))
}

// ObserveRead records the outcome and duration of a read of the store.
func (m *Meter) ObserveRead(outcome Outcome, duration time.Duration) {
	m.reads.WithLabelValues(string(outcome)).Inc()
	m.readTime.Observe(duration.Seconds())
}

// SetCatalog records the version, era and revision of the catalog in force, and its
// servers by state, and the data centres that are evacuated.
func (m *Meter) SetCatalog(catalog *agatecatalog.Catalog) {
	m.version.Set(float64(catalog.Version()))
	m.era.Set(float64(catalog.Position().Era))
	m.revision.Set(float64(catalog.Revision()))
	m.evacuated.Reset()
	for _, evacuation := range catalog.Evacuations() {
		if evacuation.Active {
			m.evacuated.WithLabelValues(evacuation.Centre).Set(1)
		}
	}
	m.servers.Reset()
	counts := make(map[agateinstance.State]int)
	for instance := range catalog.All() {
		counts[instance.State]++
	}
	for state, n := range counts {
		m.servers.WithLabelValues(string(state)).Set(float64(n))
	}
}

// SetConfirmed records the last time at which the catalog was known to be current.
func (m *Meter) SetConfirmed(at time.Time) { m.confirmed.Set(float64(at.UnixMilli()) / 1000) }

// SetPeers records the number of other entries known.
func (m *Meter) SetPeers(n int) { m.peers.Set(float64(n)) }

// SetShares records the admitted shares of the services with admission control.
func (m *Meter) SetShares(shares iter.Seq[agatesteer.Share]) {
	m.shares.Reset()
	for each := range shares {
		m.shares.WithLabelValues(each.Service, strconv.Itoa(each.Priority)).Set(each.Share)
	}
}

// SetStartDuration records the time from the start of the process to its first catalog.
func (m *Meter) SetStartDuration(duration time.Duration) { m.startDuration.Set(duration.Seconds()) }

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
