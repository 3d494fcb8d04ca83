// Package server serves the HTTP interface for callers. It parses requests, checks them
// against the configured templates and workspaces, and writes responses. The jobs themselves
// are handled by an implementation of Jobs.
package server

import (
	"context"
	_ "embed" // for OpenAPIDocument
	"net"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzserver "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// OpenAPIDocument is the OpenAPI document of the HTTP interface.
//
//go:embed openapi.json
var OpenAPIDocument []byte

// Jobs admits jobs and returns their answers.
type Jobs interface {
	// Submit submits a job and waits for its answer.
	Submit(ctx context.Context, job describer.Job) describer.Answer
	// Inquire returns the answer of a job, or reports that it is still running. If
	// cancel is set, it cancels the tasks that have not been sent to an agent. The
	// argument created is when the identity was created, or zero if that is not known.
	Inquire(ctx context.Context, s identifier.Submission, created time.Time, cancel bool) (answer describer.Answer, running bool)
}

// Server is the HTTP server for callers. Its fields are set before use.
type Server struct {
	Jobs       Jobs
	Clock      identifier.Clock
	Templates  map[string]*loader.Template
	Workspaces map[string]*loader.Workspace
}

// maxIDsPerRequest bounds the number of identities that one request can ask for.
const maxIDsPerRequest = 1000

// Run serves on ln until ctx ends, and then waits for the requests in flight.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	h := listener.NewServer(ln, hertzserver.WithUseRawPath(true), hertzserver.WithUnescapePathValues(true))
	h.POST("/v1/jobs", s.postJob)
	h.GET("/v1/jobs/:key", s.getJob)
	h.DELETE("/v1/jobs/:key", s.deleteJob)
	h.POST("/v1/submission-ids", s.postIDs)
	h.GET("/v1/openapi.json", func(_ context.Context, rc *app.RequestContext) {
		rc.Data(consts.StatusOK, "application/json", OpenAPIDocument)
	})
	h.NoRoute(func(_ context.Context, rc *app.RequestContext) {
		writeProblem(rc, consts.StatusNotFound, badRequest("there is nothing at this path", "read GET /v1/openapi.json for the paths"))
	})
	h.NoMethod(func(_ context.Context, rc *app.RequestContext) {
		writeProblem(rc, consts.StatusMethodNotAllowed, badRequest("the path does not take this method", "read GET /v1/openapi.json for the methods"))
	})
	return h.Run(ctx)
}

// postJob handles POST /v1/jobs.
func (s *Server) postJob(ctx context.Context, rc *app.RequestContext) {
	job, refusal := s.readJob(rc)
	if refusal == nil {
		writeAnswer(rc, job.Submission, s.Jobs.Submit(ctx, job))
		return
	}
	if refusal.NotRun {
		writeRefusal(rc, refusal)
		return
	}
	s.refuseUnlessAdmitted(ctx, rc, &job, refusal)
}

// refuseUnlessAdmitted refuses a job that the current configuration does not allow. If the job
// was admitted under an earlier configuration, the caller gets its answer instead.
func (s *Server) refuseUnlessAdmitted(ctx context.Context, rc *app.RequestContext, job *describer.Job, refusal *refuser.Refusal) {
	answer, running := s.Jobs.Inquire(ctx, job.Submission, job.Created, false)
	switch {
	case running:
		writeRunning(rc, job.Submission)
	case answer.Refusal == nil:
		writeAnswer(rc, job.Submission, answer)
	default:
		refusal.NotRun = answer.Refusal.NotRun
		writeRefusal(rc, refusal)
	}
}

// getJob handles GET /v1/jobs/:key.
func (s *Server) getJob(ctx context.Context, rc *app.RequestContext) {
	s.inquire(ctx, rc, false)
}

// deleteJob handles DELETE /v1/jobs/:key, which cancels a job.
func (s *Server) deleteJob(ctx context.Context, rc *app.RequestContext) {
	s.inquire(ctx, rc, true)
}

// inquire writes the answer of the job that the request names, or that it is still running.
func (s *Server) inquire(ctx context.Context, rc *app.RequestContext, cancel bool) {
	sub := identifier.Submission{Workspace: rc.Query("workspace"), Key: rc.Param("key")}
	created, _ := identifier.KeyTime(sub.Key)
	answer, running := s.Jobs.Inquire(ctx, sub, created, cancel)
	if running {
		writeRunning(rc, sub)
		return
	}
	writeAnswer(rc, sub, answer)
}

// postIDs handles POST /v1/submission-ids, which creates identities.
func (s *Server) postIDs(_ context.Context, rc *app.RequestContext) {
	count := 1
	if text := rc.Query("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxIDsPerRequest {
			writeRefusal(rc, badRequest("count is not a number from 1 to "+strconv.Itoa(maxIDsPerRequest), "ask for fewer at a time"))
			return
		}
		count = n
	}
	keys := make([]string, count)
	for i := range keys {
		key, err := identifier.NewKey(s.Clock())
		if err != nil {
			writeProblem(rc, consts.StatusInternalServerError, badRequest(err.Error(), "try again"))
			return
		}
		keys[i] = key
	}
	rc.JSON(consts.StatusOK, idsBody{keys})
}

// retryAfter formats d for the header Retry-After: in whole seconds, rounded up, at least
// one.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(max((d+time.Second-1)/time.Second, 1)))
}

// badRequest returns a refusal that states that nothing was run.
func badRequest(detail, remedy string) *refuser.Refusal {
	return &refuser.Refusal{Kind: refuser.BadRequest, Detail: detail, Remedy: remedy, NotRun: true}
}
