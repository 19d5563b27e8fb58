package health

// marginals are counts of bad attempts: the total, and the sums by reporter
// and by workspace.
type marginals struct {
	all        float64
	reporters  map[string]float64
	workspaces map[string]float64
}

func newMarginals() marginals {
	return marginals{reporters: map[string]float64{}, workspaces: map[string]float64{}}
}

func (m *marginals) add(s source, n float64) {
	m.all += n
	m.reporters[s.reporter] += n
	m.workspaces[s.workspace] += n
}

func (m *marginals) scale(f float64) {
	m.all *= f
	scale(m.reporters, f)
	scale(m.workspaces, f)
}

func scale[K comparable](m map[K]float64, f float64) {
	for k := range m {
		m[k] *= f
	}
}

// attemptCounts counts the attempts of one workspace, at one server or at
// all servers.
type attemptCounts struct {
	attempts float64
	bad      float64
}

// workspaceStats counts the attempts of one workspace at one server.
type workspaceStats struct {
	attemptCounts
	// reporters holds the bad attempts by reporting instance.
	reporters map[string]float64
}

func (p *workspaceStats) scale(f float64) {
	p.attempts *= f
	p.bad *= f
	scale(p.reporters, f)
}
