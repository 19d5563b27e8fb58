package edge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"foxtailspoke/evidence"
	"foxtailspoke/freshness"
)

const namespace = "foxtailspoke_edge"

// metrics of one instance. No label is a workspace or a server: there are
// thousands of each, and every value would add a time series. The logs have their
// details.
type metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	durations         *prometheus.HistogramVec
	attempts          *prometheus.CounterVec
	serviceAttempts   *prometheus.CounterVec
	forwarded         *prometheus.CounterVec
	datagrams         prometheus.Counter
	datagramsReceived prometheus.Counter
	serverEnds        *prometheus.CounterVec
	stalls            prometheus.Counter
	configAges        prometheus.Histogram
	onReplaced        prometheus.Counter
	onExpired         *prometheus.CounterVec

	crossDataCentreBytes *prometheus.CounterVec
	memoryMetrics
}

func newMetrics(e *Edge) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Callers' requests by the rule that ended them.",
		}, []string{"rule"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's headers to its answer, by rule.",
			Buckets: prometheus.ExponentialBuckets(1e-3, 2, 14),
		}, []string{"rule"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at backend servers by result.",
		}, []string{"result"}),
		serviceAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "service_attempts_total",
			Help: "Attempts that this instance began, by service; \"first\" of a request or \"retry\".",
		}, []string{"service", "attempt"}),
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "forwarded_total", Help: "Requests of this instance that others were asked to forward, by outcome.",
		}, []string{"outcome"}),
		datagrams: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "datagrams_total", Help: "Datagrams written to other instances.",
		}),
		datagramsReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "datagrams_received_total", Help: "Datagrams read from other instances.",
		}),
	}
	m.serverEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "server_ends_total", Help: "Ends of backend servers during requests of this instance, by how they were noticed.",
	}, []string{"proof"})
	m.stalls = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "stalls_total", Help: "Times at which the process did not run for half a second or longer.",
	})
	m.configAges = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_configuration_age_seconds",
		Help:    "Age of the proof that the configuration is the newest, when a request is handled.",
		Buckets: []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.75, 2, 2.5, 3, 4, 5},
	})
	m.onReplaced = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "requests_by_replaced_configuration_total",
		Help: "Requests handled by a configuration that another instance had announced as replaced.",
	})
	m.onExpired = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "requests_by_expired_copies_total",
		Help: "Requests handled by copies of the store whose proof was older than allowed, by why that was accepted.",
	}, []string{"reason"})
	m.gauge("configuration_replaced_seconds", "Time since another instance announced a newer configuration than the one in force; 0 if none did.", e.locked(func() float64 {
		return e.replacedFor(evidence.Config, e.now()).Seconds()
	}))
	m.crossDataCentreBytes = newCrossDataCentreBytes()
	m.registry.MustRegister(m.crossDataCentreBytes)
	m.registry.MustRegister(m.requests, m.durations, m.attempts, m.serviceAttempts, m.forwarded, m.datagrams, m.datagramsReceived, m.serverEnds, m.stalls, m.configAges, m.onReplaced, m.onExpired)
	m.gauge("rounds_total", "Rounds sent to listeners and other relays.", e.locked(func() float64 {
		return float64(e.state.messenger.Hub().Rounds())
	}))
	m.gauge("listeners", "Instances that this one sends rounds to.", e.locked(func() float64 {
		return float64(e.state.messenger.Hub().Subscribers())
	}))
	m.gauge("store_calls_total", "Calls of the platform's store.", func() float64 { return float64(e.store.Calls()) })
	m.gauge("server_connections_total", "Connections opened to backend servers.", func() float64 { return float64(e.pool.ConnectionsOpened()) })
	m.gauge("log_lines_left_out_total", "Log lines that the bound or a full buffer kept back.", func() float64 {
		return float64(e.budget.Suppressed() + e.logWriter.Dropped())
	})
	m.gauge("configuration_age_seconds", "Age of the proof that the configuration in force is the newest.", e.locked(func() float64 {
		return e.configAge(e.now()).Seconds()
	}))
	m.gauge("configuration_version", "Version of the configuration in force.", e.locked(func() float64 {
		if e.state.table == nil {
			return 0
		}
		return float64(e.state.table.Version)
	}))
	m.gauge("rate_share", "Part of the workspaces' rates that this instance may count on.", e.locked(func() float64 {
		return e.state.usage.RateShare
	}))
	m.gauge("servers", "Backend servers in the list.", e.locked(func() float64 { return float64(e.state.serverList.Len()) }))
	m.gauge("suspect_servers", "Backend servers that more likely fail than not.", e.locked(func() float64 {
		n := 0
		for _, v := range e.state.placer.ServerStatuses(e.now()) {
			if v.Risk > suspectRisk {
				n++
			}
		}
		return float64(n)
	}))
	m.gauge("limited_servers", "Backend servers that name a limit in their answers.", e.locked(func() float64 {
		return float64(e.state.throttle.LimitedServers())
	}))
	m.gauge("servers_backing_off", "Backend servers whose Retry-After keeps this instance from sending requests.", e.locked(func() float64 {
		return float64(e.state.backoffs.Count(e.now()))
	}))
	m.gauge("withheld_requests", "Requests that aren't sent to backend servers, as too many ended under them.", e.locked(func() float64 {
		now := e.now()
		return float64(e.state.quarantine.WithheldCount(e.knowsSuspectRequests(now), now))
	}))
	m.gauge("partitioned", "1 if this instance fails to connect to any backend server, otherwise 0.", e.locked(func() float64 {
		if e.state.reach.Partitioned() {
			return 1
		}
		return 0
	}))
	m.gauge("forwarding", "Requests of other instances that this one is forwarding.", func() float64 { return float64(e.forwarding.Load()) })
	m.gauge("instances_alive", "Other instances that are heard.", e.locked(func() float64 {
		n := 0
		for _, p := range e.state.messenger.Fleet().All() {
			if p.Alive {
				n++
			}
		}
		return float64(n)
	}))
	m.registry.MustRegister(&serviceCollector{e})
	m.memoryMetrics = newMemoryMetrics(e, m)
	return m
}

func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// locked wraps a function so that it reads the state with the lock held.
func (e *Edge) locked(read func() float64) func() float64 {
	return func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return read()
	}
}

// handler serves the metrics on every path except those of the status and the
// configuration.
func (m *metrics) handler(status http.HandlerFunc, configuration http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, status)
	mux.Handle("GET "+PathConfiguration, configuration)
	mux.Handle("/", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}

// observeCopies records the age of the configuration, unless it is unknown, and whether
// the copies by which a request is handled are replaced or expired.
func (m *metrics) observeCopies(age time.Duration, copies copyState) {
	if age != freshness.UnknownAge {
		m.configAges.Observe(age.Seconds())
	}
	if copies.replacedFor > 0 {
		m.onReplaced.Inc()
	}
	if copies.exemption != freshness.NotExempt {
		m.onExpired.WithLabelValues(string(copies.exemption)).Inc()
	}
}

func (m *metrics) observeRequest(rule Rule, took time.Duration) {
	m.requests.WithLabelValues(string(rule)).Inc()
	m.durations.WithLabelValues(string(rule)).Observe(took.Seconds())
}
