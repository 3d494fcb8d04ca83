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
	// callersPerWorkers callers at once for so many workers keep these full at the peaks, so
	// that every worker is needed.
	callersPerWorkers = 8
	workersPerCallers = 3
	// callTimeout is when a caller gives up, as on the sites.
	callTimeout = 1500 * time.Millisecond
	// resendAfter is how long after a call without an answer its job is sent again.
	resendAfter = 1300 * time.Millisecond
	maxSends    = 3
	// longestThought bounds the time between two jobs of a caller.
	longestThought = 100 * time.Millisecond
	// maxTasks is the size of the largest jobs.
	maxTasks = 4
	// cancelShare of the jobs are cancelled, leaveShare have a caller that leaves.
	cancelShare = 0.05
	leaveShare  = 0.05
	// slowShare of the jobs run for so long that silence and lapsed permits find them at work.
	slowShare = 0.25
	// longestStay bounds the time until a job is cancelled or its caller leaves.
	longestStay = 300 * time.Millisecond
)

// errand is one job and how its caller behaves.
type errand struct {
	id, spec string
	tasks    int
	body     []byte
	demanded bool
}

// callers returns how many callers there are.
func (s Size) callers() int {
	return max(callersPerWorkers, callersPerWorkers*s.Workers/workersPerCallers)
}

// call sends jobs one after the other until ctx ends.
func (s *soak) call(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(s.settings.Seed, uint64(n)))
	for ctx.Err() == nil {
		e := &errand{id: fmt.Sprintf("%016x", random.Uint64()), tasks: 1 + random.IntN(maxTasks), demanded: s.demand.Load()}
		e.spec = "spec of " + e.id
		if random.Float64() < slowShare && !e.demanded {
			e.spec = standin.SlowSpec + " " + e.spec
		}
		body, err := standin.Job(e.spec, e.tasks, 0)
		if err != nil {
			s.note(SoakFailure, "a job cannot be encoded: %s", err)
			return
		}
		e.body = body
		stay := time.Duration(random.Int64N(int64(longestStay)))
		switch luck := random.Float64(); {
		case luck < cancelShare && !e.demanded:
			s.cancel(ctx, random, e, stay)
		case luck < cancelShare+leaveShare && !e.demanded:
			s.send(ctx, &s.leavers, s.gateway(random), e)
		default:
			s.insist(ctx, random, e)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(longestThought))))
	}
}

// gateway returns the callers' address of some gateway, behind its forwarder.
func (s *soak) gateway(random *rand.Rand) netip.AddrPort {
	return s.addr(callersPort + forwardedPort + 1 + uint16(random.IntN(s.settings.Size.Gateways)))
}

// insist sends a job again when it gets no answer.
func (s *soak) insist(ctx context.Context, random *rand.Rand, e *errand) {
	for n := range maxSends {
		if n > 0 {
			sleep(ctx, resendAfter)
		}
		if ctx.Err() != nil {
			return
		}
		status, answer := s.send(ctx, &s.callers, s.gateway(random), e)
		if e.demanded && ctx.Err() == nil && (status != http.StatusOK || !strings.Contains(answer, "completed")) {
			s.note(JobNotServed, "job %s of %d tasks got %d %s while all is calm", e.id, e.tasks, status, answer)
		}
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			return
		}
	}
}

// send sends a job once and returns the answer; the status is zero when there is none.
func (s *soak) send(ctx context.Context, callers *standin.Callers, to netip.AddrPort, e *errand) (int, string) {
	s.ledger.JobSubmitted(e.id, e.spec, e.tasks)
	status, answer, err := callers.Call(ctx, http.MethodPost, to, standin.Prefix+e.id, e.body)
	switch {
	case err != nil:
		return 0, err.Error()
	case status == http.StatusOK && strings.Contains(answer, "completed"):
		s.ledger.JobCompleted(time.Now(), e.id)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		s.ledger.JobRefused(e.id)
	}
	return status, answer
}

// cancel sends a job and cancels it after a time.
func (s *soak) cancel(ctx context.Context, random *rand.Rand, e *errand, stay time.Duration) {
	to := s.gateway(random)
	answered := make(chan struct{})
	go func() {
		s.send(ctx, &s.callers, to, e)
		close(answered)
	}()
	sleep(ctx, stay)
	_, answer, err := s.callers.Call(ctx, http.MethodDelete, to, standin.Prefix+e.id, nil)
	if err == nil && strings.Contains(answer, "cancelled") {
		s.ledger.JobCancelled(time.Now(), e.id)
	}
	<-answered
}
