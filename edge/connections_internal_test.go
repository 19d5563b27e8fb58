package edge

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against ports that together take all descriptors, or a machine's memory, with idle connections.
func TestConnectionLimits(t *testing.T) {
	for _, descriptors := range []int64{600, 1024, 4100, 1 << 20} {
		for _, megabytes := range []int64{136, 184, 284} {
			sum := 0
			for _, s := range []connectionShare{callersShare, forwardingShare, directoryShare, readinessShare, metricsShare} {
				n := connectionLimit(s, descriptors, megabytes<<20)
				must.LessEq(t, megabytes<<20/8, int64(n)*connectionBytes)
				sum += n
			}
			must.LessEq(t, int(descriptors)*4/5, sum)
		}
	}
	must.LessEq(t, 0.9, float64(connectionSharesSum))
	must.Eq(t, 1230, connectionLimit(callersShare, 4100, 0))
	must.Eq(t, minConnections, connectionLimit(metricsShare, 16, 0))
}
