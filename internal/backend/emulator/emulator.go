// Package emulator is a stand-in for a backend server. It runs tasks by waiting,
// in a limited number of slots, and keeps a log of every start, by submission and
// task, against which the promises of the system are checked.
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

// Server is a stand-in backend server. The settings are set before use.
type Server struct {
	Settings loader.StandInBackend

	mu      sync.Mutex
	random  *rand.Rand
	starts  map[string]int
	slots   chan struct{}
	refused int
}

// StartLog is what a server has started.
type StartLog struct {
	// Starts counts the starts by submission and task, as "workspace/key#index".
	Starts map[string]int `json:"starts"`
	// Refused counts the tasks that found no free slot.
	Refused int `json:"refused"`
}

// input is the part of a task's input that the stand-in heeds. Anything else is
// echoed only.
type input struct {
	RunMS *int64 `json:"run_ms"`
	Fail  bool   `json:"fail"`
}

// New returns a server that has started nothing.
func New(settings loader.StandInBackend) *Server {
	return &Server{
		Settings: settings,
		random:   rand.New(rand.NewPCG(uint64(settings.Seed), 0)),
		starts:   make(map[string]int),
		slots:    make(chan struct{}, settings.Slots),
	}
}

// Run serves on ln until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	h := listener.NewServer(netutil.LimitListener(ln, s.Settings.Connections))
	h.GET("/v1/log", func(_ context.Context, rc *app.RequestContext) {
		rc.JSON(consts.StatusOK, s.Log())
	})
	h.NoRoute(func(_ context.Context, rc *app.RequestContext) { s.task(rc) })
	return h.Run(ctx)
}

// Log returns what has been started so far.
func (s *Server) Log() StartLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := StartLog{Starts: make(map[string]int, len(s.starts)), Refused: s.refused}
	for task, n := range s.starts {
		log.Starts[task] = n
	}
	return log
}

func (s *Server) task(rc *app.RequestContext) {
	name := string(rc.GetHeader(invoker.HeaderSubmission)) + "#" + string(rc.GetHeader(invoker.HeaderTask))
	var in input
	_ = json.Unmarshal(rc.Request.Body(), &in)
	run, ok := s.begin(name, in)
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

// begin logs a start and takes a slot, and returns how long the task runs.
func (s *Server) begin(name string, in input) (time.Duration, bool) {
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
	return s.drawRun(), true
}

func (s *Server) drawRun() time.Duration {
	run := s.Settings.ShortestRun
	if spread := s.Settings.LongestRun - s.Settings.ShortestRun; spread > 0 {
		run += time.Duration(s.random.Int64N(int64(spread)))
	}
	if s.random.Float64() < s.Settings.Stragglers {
		run = time.Duration(float64(run) * s.Settings.StragglerFactor)
	}
	return run
}
