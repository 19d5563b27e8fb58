package locality

// Demand counts the first attempts of all instances by service and data centre. It isn't safe
// for concurrent use.
type Demand struct {
	counts    map[uint32]map[string]int
	instances map[uint32]*instanceTotals
}

// instanceTotals are the last totals that an instance has reported in a run.
type instanceTotals struct {
	epoch  uint32
	totals map[uint32]uint16
}

// NewDemand returns a counter without requests.
func NewDemand() *Demand {
	return &Demand{counts: make(map[uint32]map[string]int), instances: make(map[uint32]*instanceTotals)}
}

// Add counts requests to a service from a data centre; "" is an unknown one.
func (d *Demand) Add(service uint32, dataCentre string, n int) {
	if dataCentre == "" || n == 0 {
		return
	}
	byCentre, ok := d.counts[service]
	if !ok {
		byCentre = make(map[string]int)
		d.counts[service] = byCentre
	}
	byCentre[dataCentre] += n
}

// Run identifies a run of an instance, and where it is.
type Run struct {
	Instance, Epoch uint32
	DataCentre      string
}

// ApplyTotal counts what an instance reports to have sent to a service since its start, modulo
// 65536. The first total of a run counts nothing: the time in which it came about is unknown.
func (d *Demand) ApplyTotal(run Run, service uint32, total uint16) {
	known, ok := d.instances[run.Instance]
	if !ok || known.epoch != run.Epoch {
		known = &instanceTotals{epoch: run.Epoch, totals: make(map[uint32]uint16)}
		d.instances[run.Instance] = known
	}
	last, counted := known.totals[service]
	n := total - last
	if counted && n >= 1<<15 {
		// The message was sent before the one with the last total.
		return
	}
	known.totals[service] = total
	if counted {
		d.Add(service, run.DataCentre, int(n))
	}
}

// Forget drops the totals of an instance that is silent.
func (d *Demand) Forget(instance uint32) { delete(d.instances, instance) }

// Take returns the requests by service and data centre since the last call.
func (d *Demand) Take() map[uint32]map[string]int {
	counts := d.counts
	d.counts = make(map[uint32]map[string]int)
	return counts
}
