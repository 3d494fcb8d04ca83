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
	"github.com/dandeliongrade/dandeliongrade/internal/platform/keeper"
)

// Server is the stand-in behind HTTP.
type Server struct {
	Store  *Store
	faults switchboard
}

// Run serves on ln until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	h := listener.NewServer(ln)
	h.PUT("/v1/faults", s.putFaults)
	g := h.Group("/v1", s.fail)
	g.GET("/table/record", s.getRecord)
	g.GET("/table/records", s.getRecords)
	g.POST("/table/transactions", s.postTransaction)
	g.POST("/objects/:name", s.postObject)
	g.GET("/objects/:name", s.getObject)
	return h.Run(ctx)
}

// fail carries out the faults that come before a request takes effect.
func (s *Server) fail(ctx context.Context, rc *app.RequestContext) {
	time.Sleep(s.faults.delay())
	if s.faults.get().Down {
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
	s.faults.set(f)
	rc.JSON(consts.StatusOK, f)
}

func (s *Server) getRecord(_ context.Context, rc *app.RequestContext) {
	r, err := s.Store.Get(rc.Query("key"))
	answer(rc, r, err)
}

func (s *Server) getRecords(_ context.Context, rc *app.RequestContext) {
	answer(rc, s.Store.Scan(rc.Query("prefix")), nil)
}

func (s *Server) postTransaction(_ context.Context, rc *app.RequestContext) {
	var t keeper.Transaction
	if err := json.Unmarshal(rc.Request.Body(), &t); err != nil {
		rc.String(consts.StatusBadRequest, "%s", err)
		return
	}
	err := s.Store.Transact(t)
	if err == nil && s.faults.loseReply() {
		rc.AbortWithStatus(consts.StatusGatewayTimeout)
		return
	}
	answer(rc, struct{}{}, err)
}

func (s *Server) postObject(_ context.Context, rc *app.RequestContext) {
	s.Store.PutObject(rc.Param("name"), json.RawMessage(rc.Request.Body()))
	answer(rc, struct{}{}, nil)
}

func (s *Server) getObject(_ context.Context, rc *app.RequestContext) {
	value, err := s.Store.GetObject(rc.Param("name"))
	answer(rc, value, err)
}

func answer(rc *app.RequestContext, value any, err error) {
	switch {
	case errors.Is(err, keeper.ErrNotFound):
		rc.String(consts.StatusNotFound, "%s", err)
	case errors.Is(err, keeper.ErrConflict):
		rc.String(consts.StatusConflict, "%s", err)
	default:
		rc.JSON(consts.StatusOK, value)
	}
}
