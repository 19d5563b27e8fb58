// Package metrics exports the Prometheus metrics of an instance.
//
// No metric has a workspace label: with 55,000 workspaces that would create
// millions of series. Per-workspace results are in the decision records and
// in the operator API's status.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"foxtailspoke/decision"
	"foxtailspoke/node"
)

const namespace = "foxtailspoke"

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	registry     *prometheus.Registry
	answers      *prometheus.CounterVec
	added        prometheus.Histogram
	duration     *prometheus.HistogramVec
	attempts     *prometheus.CounterVec
	ejections    *prometheus.CounterVec
	detection    prometheus.Histogram
	confirmation *prometheus.GaugeVec
}

// New returns Metrics with all series registered.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total",
			Help: "Answers to callers by outcome and rule. The rules over-rate and peer-unreachable are refusals for the rate.",
		}, []string{"outcome", "rule"}),
		added: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "added_seconds",
			Help:    "Time from a request's arrival to its answer's first byte, less the backend server's time.",
			Buckets: prometheus.ExponentialBuckets(50e-6, 2, 14),
		}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help:    "Time from a request's arrival to its end, by service.",
			Buckets: prometheus.ExponentialBuckets(1e-3, 2, 14),
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total",
			Help: "Attempts at backend servers, by service and result.",
		}, []string{"service", "result"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "ejection_changes_total",
			Help: "Ejections and returns of backend servers that this instance heard of.",
		}, []string{"change"}),
		detection: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "detection_seconds",
			Help:    "Time from the first bad attempt reported against a backend server to its ejection, by the instance that had it ejected.",
			Buckets: prometheus.ExponentialBuckets(0.125, 2, 12),
		}),
		confirmation: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "confirmation",
			Help: "1 for what confirms that the configuration is the newest.",
		}, []string{"state"}),
	}
	m.registry.MustRegister(m.answers, m.added, m.duration, m.attempts, m.ejections, m.detection, m.confirmation)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler returns the HTTP handler that exposes the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge whose value is read on each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Counter registers a counter whose value is read on each scrape.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Answered implements callers.Metrics.
func (m *Metrics) Answered(o decision.Outcome, r decision.Rule) {
	m.answers.WithLabelValues(string(o), string(r)).Inc()
}

// Added implements callers.Metrics.
func (m *Metrics) Added(d time.Duration) { m.added.Observe(d.Seconds()) }

// Recorded observes the duration of a completed request. Requests without a
// service are not counted.
func (m *Metrics) Recorded(r decision.Record) {
	if r.Service != "" {
		m.duration.WithLabelValues(r.Service).Observe(r.Took.Seconds())
	}
}

// Attempt counts a completed attempt.
func (m *Metrics) Attempt(service, result string) {
	m.attempts.WithLabelValues(service, result).Inc()
}

// Noted updates the metrics for a note of the node.
func (m *Metrics) Noted(e node.Noted) {
	switch e.Note {
	case node.NoteEjected:
		m.ejections.WithLabelValues("ejected").Inc()
	case node.NoteReturned:
		m.ejections.WithLabelValues("returned").Inc()
	case node.NoteDetected:
		m.detection.Observe(e.Took.Seconds())
	case node.NoteConfirmation:
		m.confirmation.Reset()
		m.confirmation.WithLabelValues(e.Subject).Set(1)
	}
}
