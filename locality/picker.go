package locality

// Picker selects the data centre for each request by smooth weighted round-robin: after any
// number of requests each data centre has had its share to within about one request. Random
// selection would vary by the square root of that number. It isn't safe for concurrent use.
type Picker struct {
	own     string
	offset  float64
	weights map[string]float64
}

// NewPicker returns a picker for the requests of a data centre. An offset from 0 to 1 shifts
// the first request that leaves; if it were the same at all instances, all would send it at
// about the same moment.
func NewPicker(own string, offset float64) *Picker {
	return &Picker{own: own, offset: offset, weights: make(map[string]float64)}
}

// Pick returns the data centre for the next request. allowed has those that it may be sent to,
// nil means all. It returns "" for a request that may not stay, as the plan says nothing about
// it.
func (p *Picker) Pick(to []Share, allowed map[string]bool) string {
	if allowed != nil && !allowed[p.own] {
		return ""
	}
	leaving, best := 0.0, p.own
	bestWeight := 0.0
	for i, s := range to {
		if allowed != nil && !allowed[s.DataCentre] {
			continue
		}
		leaving += s.Share
		w := p.weight(s.DataCentre, i) + s.Share
		p.weights[s.DataCentre] = w
		if best == p.own || w > bestWeight {
			best, bestWeight = s.DataCentre, w
		}
	}
	if leaving == 0 {
		return p.own
	}
	own := p.weights[p.own] + 1 - leaving
	p.weights[p.own] = own
	if own >= bestWeight {
		best = p.own
	}
	p.weights[best]--
	return best
}

// weight returns the weight of a data centre before the next request. With the initial weights
// its first request comes anywhere within its interval, as the offset says.
func (p *Picker) weight(dataCentre string, index int) float64 {
	w, ok := p.weights[dataCentre]
	if ok {
		return w
	}
	shift := (p.offset - 0.5) * float64(1-2*(index%2))
	p.weights[p.own] -= shift
	return shift
}
