// Package exporter serves the metrics, health and readiness of a process over HTTP.
package exporter

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
)

// Endpoints holds what the endpoints of a process report.
type Endpoints struct {
	Metrics *metrics.Set
	// Ready returns nil if the process can serve requests, or the reason why it cannot.
	Ready func() error
}

// Run serves /metrics, /healthz and /readyz on ln until ctx ends.
func Run(ctx context.Context, ln net.Listener, endpoints Endpoints) error {
	h := listener.NewServer(ln)
	h.GET("/metrics", func(_ context.Context, rc *app.RequestContext) {
		rc.SetContentType("text/plain; version=0.0.4")
		endpoints.Metrics.WritePrometheus(rc)
		metrics.WriteProcessMetrics(rc)
	})
	h.GET("/healthz", func(_ context.Context, rc *app.RequestContext) {
		rc.String(consts.StatusOK, "ok\n")
	})
	h.GET("/readyz", func(_ context.Context, rc *app.RequestContext) {
		if err := endpoints.Ready(); err != nil {
			rc.String(consts.StatusServiceUnavailable, "%s\n", err)
			return
		}
		rc.String(consts.StatusOK, "ok\n")
	})
	return h.Run(ctx)
}
