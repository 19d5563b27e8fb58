package routing

// Splitter spreads the requests of each route over its services by smooth
// weighted round robin: after any run of requests each service has had its
// share to within one request. Random picks would need hundreds of requests
// until the shares show.
//
// A Splitter isn't safe for concurrent use.
type Splitter struct {
	// Offset is where this instance begins, from 0 to 1. Instances that all
	// began with the heaviest service would keep light ones waiting.
	Offset  float64
	current map[string][]float64
}

// Pick returns the service for the next request of a route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	credits := s.credits(r)
	total, best := 0.0, 0
	for i, share := range r.Services {
		credits[i] += share.Weight
		total += share.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Services[best].Service
}

func (s *Splitter) credits(r *Route) []float64 {
	if s.current == nil {
		s.current = make(map[string][]float64)
	}
	c, ok := s.current[r.Name]
	if ok && len(c) == len(r.Services) {
		return c
	}
	c = make([]float64, len(r.Services))
	for i, share := range r.Services {
		c[i] = share.Weight * s.Offset * float64(1-2*(i%2))
	}
	s.current[r.Name] = c
	return c
}
