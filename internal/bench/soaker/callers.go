package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

const (
	// callersPerGroup concurrent callers for each workersPerGroup workers fill these at peaks,
	// so that every worker is needed.
	callersPerGroup = 8
	workersPerGroup = 3
	// callTimeout is when a caller gives up, as callers do in production.
	callTimeout = 1500 * time.Millisecond
	// resendDelay is how long after a call without an answer its job is sent again, up to
	// maxSends times in all.
	resendDelay = 1300 * time.Millisecond
	maxSends    = 3
	// maxThinkTime bounds the pause between two jobs of a caller.
	maxThinkTime = 100 * time.Millisecond
	// maxTasks is the number of tasks of the largest jobs.
	maxTasks = 4
	// cancelShare of the jobs are cancelled, abandonShare have a caller that gives up early, and
	// sends the job again like the others.
	cancelShare  = 0.05
	abandonShare = 0.15
	// slowJobShare of the jobs run for so long that silent connections and lapsed permits occur
	// while they run.
	slowJobShare = 0.25
	// maxCallerWait bounds the time until a job is cancelled. Callers that give up early do so
	// after half of it.
	maxCallerWait = 300 * time.Millisecond
)

// job is a job as its caller sends it.
type job struct {
	id, spec string
	tasks    int
	body     []byte
	// mustServe is set when the job was made after the service must have recovered.
	mustServe bool
}

// callerCount returns the number of concurrent callers.
func (s Size) callerCount() int {
	return max(callersPerGroup, callersPerGroup*s.Workers/workersPerGroup)
}

// runCaller sends jobs one after the other until ctx ends. The seed and the number n of the
// caller determine its random draws.
func (s *soak) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(s.settings.Seed, uint64(n)))
	for ctx.Err() == nil {
		j := &job{id: fmt.Sprintf("%016x", random.Uint64()), tasks: 1 + random.IntN(maxTasks), mustServe: s.mustServe.Load()}
		j.spec = "spec of " + j.id
		if random.Float64() < slowJobShare && !j.mustServe {
			j.spec = standin.SlowSpecPrefix + " " + j.spec
		}
		body, err := standin.JobBody(j.spec, j.tasks, 0)
		if err != nil {
			s.addViolation(SoakFailure, "encode a job: %s", err)
			return
		}
		j.body = body
		wait := time.Duration(random.Int64N(int64(maxCallerWait)))
		switch draw := random.Float64(); {
		case draw < cancelShare && !j.mustServe:
			s.sendAndCancel(ctx, random, j, wait)
		case draw < cancelShare+abandonShare && !j.mustServe:
			s.sendUntilAnswered(ctx, random, j, &s.impatientCallers)
		default:
			s.sendUntilAnswered(ctx, random, j, &s.callers)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxThinkTime))))
	}
}

// randomGateway returns the address of the forwarder for callers of a random gateway.
func (s *soak) randomGateway(random *rand.Rand) netip.AddrPort {
	return s.addr(callersPort + forwarderPortOffset + 1 + uint16(random.IntN(s.settings.Size.Gateways)))
}

// sendUntilAnswered sends a job, and sends it again while it gets no answer or a gateway error
// that leaves its outcome open.
func (s *soak) sendUntilAnswered(ctx context.Context, random *rand.Rand, j *job, callers *standin.CallerClient) {
	for n := range maxSends {
		if n > 0 {
			sleep(ctx, resendDelay)
		}
		if ctx.Err() != nil {
			return
		}
		began := time.Now()
		status, answer := s.send(ctx, callers, s.randomGateway(random), j)
		if j.mustServe && ctx.Err() == nil && (status != http.StatusOK || !strings.Contains(answer, "completed")) {
			s.jobNotServed(began, time.Now(), "job %s of %d tasks got %d %s in the fault-free period", j.id, j.tasks, status, answer)
		}
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			return
		}
	}
}

// jobNotServed records a violation, unless the machine stood still between the beginning and the
// end of the call.
func (s *soak) jobNotServed(began, ended time.Time, format string, args ...any) {
	if s.pulse.stoodStill(began, ended) {
		s.unjudged.Add(1)
		return
	}
	s.checker.AddViolation(ended, JobNotServed, format, args...)
}

// send sends a job once and returns status and answer. Without an answer the status is zero and
// the text is the error.
func (s *soak) send(ctx context.Context, callers *standin.CallerClient, to netip.AddrPort, j *job) (int, string) {
	s.checker.JobSubmitted(j.id, j.spec, j.tasks)
	status, answer, err := callers.Call(ctx, http.MethodPost, to, standin.Prefix+j.id, j.body)
	switch {
	case err != nil:
		return 0, err.Error()
	case status == http.StatusOK && strings.Contains(answer, "completed"):
		s.checker.JobCompleted(time.Now(), j.id)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		s.checker.JobRefused(j.id)
	}
	return status, answer
}

// sendAndCancel sends a job and cancels it at the same gateway after a wait.
func (s *soak) sendAndCancel(ctx context.Context, random *rand.Rand, j *job, wait time.Duration) {
	to := s.randomGateway(random)
	answered := make(chan struct{})
	go func() {
		s.send(ctx, &s.callers, to, j)
		close(answered)
	}()
	sleep(ctx, wait)
	_, answer, err := s.callers.Call(ctx, http.MethodDelete, to, standin.Prefix+j.id, nil)
	if err == nil && strings.Contains(answer, "cancelled") {
		s.checker.JobCancelled(time.Now(), j.id)
	}
	<-answered
}
