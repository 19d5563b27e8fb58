package routing

// Splitter spreads the requests of each route over its services by smooth
// weighted round robin: after any number of requests each service has had its
// share to within one request. Random selection would need hundreds of requests
// to approach the weights.
//
// A Splitter is not safe for concurrent use.
type Splitter struct {
	// Offset, from 0 to 1, shifts the initial weights of this instance. If all
	// instances started with the heaviest service, services with low weights
	// would get their first requests late.
	Offset  float64
	weights map[string][]float64
}

// Pick returns the service for the next request of a route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	weights := s.currentWeights(r)
	total, best := 0.0, 0
	for i, share := range r.Services {
		weights[i] += share.Weight
		total += share.Weight
		if weights[i] > weights[best] {
			best = i
		}
	}
	weights[best] -= total
	return r.Services[best].Service
}

func (s *Splitter) currentWeights(r *Route) []float64 {
	if s.weights == nil {
		s.weights = make(map[string][]float64)
	}
	w, ok := s.weights[r.Name]
	if ok && len(w) == len(r.Services) {
		return w
	}
	w = make([]float64, len(r.Services))
	for i, share := range r.Services {
		w[i] = share.Weight * s.Offset * float64(1-2*(i%2))
	}
	s.weights[r.Name] = w
	return w
}
