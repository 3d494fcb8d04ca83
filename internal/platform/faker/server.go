package faker

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
)

// Server serves a Store over HTTP, and injects faults.
type Server struct {
	Store  *Store
	faults faultState
}

// Run serves on ln until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	h := listener.NewServer(ln)
	h.PUT("/v1/faults", s.putFaults)
	g := h.Group("/v1", s.injectFaults)
	g.GET("/table/record", s.getRecord)
	g.GET("/table/records", s.getRecords)
	g.POST("/table/transactions", s.postTransaction)
	g.POST("/objects/:name", s.postObject)
	g.GET("/objects/:name", s.getObject)
	return h.Run(ctx)
}

// injectFaults applies the faults that precede the effect of a request.
func (s *Server) injectFaults(ctx context.Context, rc *app.RequestContext) {
	time.Sleep(s.faults.delay())
	if s.faults.current().Down {
		rc.AbortWithStatus(consts.StatusServiceUnavailable)
		return
	}
	rc.Next(ctx)
}

func (s *Server) putFaults(_ context.Context, rc *app.RequestContext) {
	var f Faults
	if err := json.Unmarshal(rc.Request.Body(), &f); err != nil {
		rc.String(consts.StatusBadRequest, "%s", err)
		return
	}
	s.faults.replace(f)
	rc.JSON(consts.StatusOK, f)
}

func (s *Server) getRecord(_ context.Context, rc *app.RequestContext) {
	r, err := s.Store.Get(rc.Query("key"))
	writeAnswer(rc, r, err)
}

func (s *Server) getRecords(_ context.Context, rc *app.RequestContext) {
	writeAnswer(rc, s.Store.Scan(rc.Query("prefix")), nil)
}

func (s *Server) postTransaction(_ context.Context, rc *app.RequestContext) {
	var t storer.Transaction
	if err := json.Unmarshal(rc.Request.Body(), &t); err != nil {
		rc.String(consts.StatusBadRequest, "%s", err)
		return
	}
	err := s.Store.Transact(t)
	if err == nil && s.faults.loseNextReply() {
		rc.AbortWithStatus(consts.StatusGatewayTimeout)
		return
	}
	writeAnswer(rc, struct{}{}, err)
}

func (s *Server) postObject(_ context.Context, rc *app.RequestContext) {
	s.Store.PutObject(rc.Param("name"), json.RawMessage(rc.Request.Body()))
	writeAnswer(rc, struct{}{}, nil)
}

func (s *Server) getObject(_ context.Context, rc *app.RequestContext) {
	value, err := s.Store.GetObject(rc.Param("name"))
	writeAnswer(rc, value, err)
}

// writeAnswer answers with a value, or with the status for err.
func writeAnswer(rc *app.RequestContext, value any, err error) {
	switch {
	case errors.Is(err, storer.ErrNotFound):
		rc.String(consts.StatusNotFound, "%s", err)
	case errors.Is(err, storer.ErrConflict):
		rc.String(consts.StatusConflict, "%s", err)
	default:
		rc.JSON(consts.StatusOK, value)
	}
}
