// Package deps keeps the module's requirements in go.mod until every one of
// them is imported by the package that needs it. It goes away then.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-faster/errors"
	_ "github.com/go-faster/jx"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/ogen-go/ogen"
	_ "github.com/ogen-go/ogen/middleware"
	_ "github.com/ogen-go/ogen/ogenerrors"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/tailscale/hujson"
	_ "github.com/thejerf/suture/v4"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/trace"
	_ "go.uber.org/goleak"
	_ "pgregory.net/rapid"
)
