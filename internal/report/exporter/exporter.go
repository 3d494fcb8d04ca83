// Package meter serves the pages of a process that operators and machines read:
// metrics, health and readiness.
package exporter

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
)

// Endpoints are what a process shows.
type Endpoints struct {
	Metrics *metrics.Set
	// Ready returns nil when the process can serve, else why not.
	Ready func() error
}

// Run serves the pages on ln until ctx ends.
func Run(ctx context.Context, ln net.Listener, pages Endpoints) error {
	h := listener.New(ln)
	h.GET("/metrics", func(_ context.Context, rc *app.RequestContext) {
		rc.SetContentType("text/plain; version=0.0.4")
		pages.Metrics.WritePrometheus(rc)
		metrics.WriteProcessMetrics(rc)
	})
	h.GET("/healthz", func(_ context.Context, rc *app.RequestContext) {
		rc.String(consts.StatusOK, "ok\n")
	})
	h.GET("/readyz", func(_ context.Context, rc *app.RequestContext) {
		if err := pages.Ready(); err != nil {
			rc.String(consts.StatusServiceUnavailable, "%s\n", err)
			return
		}
		rc.String(consts.StatusOK, "ok\n")
	})
	return h.Run(ctx)
}
