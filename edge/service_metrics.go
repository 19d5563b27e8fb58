package edge

import "github.com/prometheus/client_golang/prometheus"

// serviceCollector exports the gauges of each service.
type serviceCollector struct{ edge *Edge }

func serviceGauge(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "service", name), help, []string{"service"}, nil)
}

var (
	retryRequestsDesc  = serviceGauge("window_requests", "Requests of the fleet in the window of the limit on retries.")
	retriesDesc        = serviceGauge("window_retries", "Retries of the fleet in that window.")
	allowedDesc        = serviceGauge("retries_allowed", "Retries that this instance allows in that window.")
	healthyInUseDesc   = serviceGauge("healthy_servers_in_use", "Expected share of the healthy backend servers that received a request in the last two seconds.")
	admittedShareDesc  = serviceGauge("admitted_share", "Share of the requests that is admitted; less than 1 while servers are full.")
	rejectedByFullDesc = serviceGauge("rejected_by_full_servers", "Share of the fleet's attempts in the last two seconds that full backend servers rejected.")
	leavingShareDesc   = serviceGauge("leaving_share", "Share of this data centre's requests that leaves it by plan.")
)

// Describe implements prometheus.Collector.
func (c *serviceCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{retryRequestsDesc, retriesDesc, allowedDesc, healthyInUseDesc, admittedShareDesc, rejectedByFullDesc, leavingShareDesc} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c *serviceCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range c.edge.Status().Services {
		for desc, v := range map[*prometheus.Desc]float64{
			retryRequestsDesc:  float64(s.Requests),
			retriesDesc:        float64(s.Retries),
			allowedDesc:        s.RetriesAllowed,
			healthyInUseDesc:   s.HealthyInUse,
			admittedShareDesc:  s.AdmittedShare,
			rejectedByFullDesc: s.RejectedByFull,
			leavingShareDesc:   s.LeavingShare,
		} {
			metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, v, s.Service)
		}
	}
}
