// Package emulator provides a stand-in for a backend server. It runs tasks by waiting, in a
// limited number of slots, and counts the starts of each task of each submission, so that tests
// can check the guarantees of the system.
package emulator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"golang.org/x/net/netutil"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/job/invoker"
)

// Server is a stand-in backend server. Its settings must not change after New.
type Server struct {
	Settings loader.StandInBackend

	mu     sync.Mutex
	random *rand.Rand
	starts map[string]int
	// slots holds an element for each occupied slot.
	slots   chan struct{}
	refused int
}

// StartLog is what a server has started and refused, as served under /v1/log.
type StartLog struct {
	// Starts counts the starts of each task, under keys of the form "workspace/key#index". A
	// refused task counts as started.
	Starts map[string]int `json:"starts"`
	// Refused counts the starts that were refused because no slot was free.
	Refused int `json:"refused"`
}

// input holds the fields of a task's input that affect its run. The server ignores all others.
type input struct {
	// RunMS replaces the random run time, in milliseconds.
	RunMS *int64 `json:"run_ms"`
	// Fail makes the task fail.
	Fail bool `json:"fail"`
}

// New returns a server with the given settings.
func New(settings loader.StandInBackend) *Server {
	return &Server{
		Settings: settings,
		random:   rand.New(rand.NewPCG(uint64(settings.Seed), 0)),
		starts:   make(map[string]int),
		slots:    make(chan struct{}, settings.Slots),
	}
}

// Run serves tasks on ln until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	h := listener.NewServer(netutil.LimitListener(ln, s.Settings.Connections))
	h.GET("/v1/log", func(_ context.Context, rc *app.RequestContext) {
		rc.JSON(consts.StatusOK, s.Log())
	})
	h.NoRoute(func(_ context.Context, rc *app.RequestContext) { s.handleTask(rc) })
	return h.Run(ctx)
}

// Log returns a copy of the counts so far.
func (s *Server) Log() StartLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := StartLog{Starts: make(map[string]int, len(s.starts)), Refused: s.refused}
	for task, n := range s.starts {
		log.Starts[task] = n
	}
	return log
}

// handleTask runs the task of one request and answers when it has ended.
func (s *Server) handleTask(rc *app.RequestContext) {
	name := string(rc.GetHeader(invoker.HeaderSubmission)) + "#" + string(rc.GetHeader(invoker.HeaderTask))
	var in input
	_ = json.Unmarshal(rc.Request.Body(), &in)
	run, ok := s.startTask(name, in)
	if !ok {
		rc.String(consts.StatusServiceUnavailable, "all slots are busy")
		return
	}
	defer func() { <-s.slots }()
	if in.Fail || s.Settings.FailEverything {
		rc.String(consts.StatusInternalServerError, "failed as told")
		return
	}
	time.Sleep(run)
	rc.JSON(consts.StatusOK, map[string]any{"task": name, "run_ms": run.Milliseconds()})
}

// startTask counts a start, takes a slot and returns the run time of the task. It returns false
// if no slot is free.
func (s *Server) startTask(name string, in input) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[name]++
	select {
	case s.slots <- struct{}{}:
	default:
		s.refused++
		return 0, false
	}
	if in.RunMS != nil {
		return time.Duration(*in.RunMS) * time.Millisecond, true
	}
	return s.drawRunTime(), true
}

// drawRunTime draws a run time from the range in the settings, and stretches it if the task is a
// straggler. The caller holds s.mu.
func (s *Server) drawRunTime() time.Duration {
	run := s.Settings.ShortestRun
	if spread := s.Settings.LongestRun - s.Settings.ShortestRun; spread > 0 {
		run += time.Duration(s.random.Int64N(int64(spread)))
	}
	if s.random.Float64() < s.Settings.Stragglers {
		run = time.Duration(float64(run) * s.Settings.StragglerFactor)
	}
	return run
}
