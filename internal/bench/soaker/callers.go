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
	// callersPerGroup callers at once for so many workers keep these full at the peaks, so
	// that every worker is needed.
	callersPerGroup = 8
	workersPerGroup = 3
	// callTimeout is when a caller gives up, as on the sites.
	callTimeout = 1500 * time.Millisecond
	// resendDelay is how long after a call without an answer its job is sent again.
	resendDelay = 1300 * time.Millisecond
	maxSends    = 3
	// maxThinkTime bounds the time between two jobs of a caller.
	maxThinkTime = 100 * time.Millisecond
	// maxTasks is the size of the largest jobs.
	maxTasks = 4
	// cancelShare of the jobs are cancelled, leaveShare have a caller that leaves.
	cancelShare = 0.05
	abandonShare  = 0.05
	// slowJobShare of the jobs run for so long that silence and lapsed permits find them at work.
	slowJobShare = 0.25
	// maxCallerWait bounds the time until a job is cancelled or its caller leaves.
	maxCallerWait = 300 * time.Millisecond
)

// job is one job and how its caller behaves.
type job struct {
	id, spec string
	tasks    int
	body     []byte
	mustServe bool
}

// callerCount returns how many callerCount there are.
func (s Size) callerCount() int {
	return max(callersPerGroup, callersPerGroup*s.Workers/workersPerGroup)
}

// runCaller sends jobs one after the other until ctx ends.
func (s *soak) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(s.settings.Seed, uint64(n)))
	for ctx.Err() == nil {
		e := &job{id: fmt.Sprintf("%016x", random.Uint64()), tasks: 1 + random.IntN(maxTasks), mustServe: s.mustServe.Load()}
		e.spec = "spec of " + e.id
		if random.Float64() < slowJobShare && !e.mustServe {
			e.spec = standin.SlowSpec + " " + e.spec
		}
		body, err := standin.Job(e.spec, e.tasks, 0)
		if err != nil {
			s.addBreach(SoakFailure, "a job cannot be encoded: %s", err)
			return
		}
		e.body = body
		stay := time.Duration(random.Int64N(int64(maxCallerWait)))
		switch luck := random.Float64(); {
		case luck < cancelShare && !e.mustServe:
			s.sendAndCancel(ctx, random, e, stay)
		case luck < cancelShare+abandonShare && !e.mustServe:
			s.send(ctx, &s.impatientCallers, s.randomGateway(random), e)
		default:
			s.sendUntilAnswered(ctx, random, e)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxThinkTime))))
	}
}

// randomGateway returns the callers' address of some randomGateway, behind its forwarder.
func (s *soak) randomGateway(random *rand.Rand) netip.AddrPort {
	return s.addr(callersPort + forwarderPortOffset + 1 + uint16(random.IntN(s.settings.Size.Gateways)))
}

// sendUntilAnswered sends a job again when it gets no answer.
func (s *soak) sendUntilAnswered(ctx context.Context, random *rand.Rand, e *job) {
	for n := range maxSends {
		if n > 0 {
			sleep(ctx, resendDelay)
		}
		if ctx.Err() != nil {
			return
		}
		status, answer := s.send(ctx, &s.callers, s.randomGateway(random), e)
		if e.mustServe && ctx.Err() == nil && (status != http.StatusOK || !strings.Contains(answer, "completed")) {
			s.addBreach(JobNotServed, "job %s of %d tasks got %d %s while all is calm", e.id, e.tasks, status, answer)
		}
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			return
		}
	}
}

// send sends a job once and returns the answer; the status is zero when there is none.
func (s *soak) send(ctx context.Context, callers *standin.Callers, to netip.AddrPort, e *job) (int, string) {
	s.checker.JobSubmitted(e.id, e.spec, e.tasks)
	status, answer, err := callers.Call(ctx, http.MethodPost, to, standin.Prefix+e.id, e.body)
	switch {
	case err != nil:
		return 0, err.Error()
	case status == http.StatusOK && strings.Contains(answer, "completed"):
		s.checker.JobCompleted(time.Now(), e.id)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		s.checker.JobRefused(e.id)
	}
	return status, answer
}

// sendAndCancel sends a job and cancels it after a time.
func (s *soak) sendAndCancel(ctx context.Context, random *rand.Rand, e *job, stay time.Duration) {
	to := s.randomGateway(random)
	answered := make(chan struct{})
	go func() {
		s.send(ctx, &s.callers, to, e)
		close(answered)
	}()
	sleep(ctx, stay)
	_, answer, err := s.callers.Call(ctx, http.MethodDelete, to, standin.Prefix+e.id, nil)
	if err == nil && strings.Contains(answer, "cancelled") {
		s.checker.JobCancelled(time.Now(), e.id)
	}
	<-answered
}
