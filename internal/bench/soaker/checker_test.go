package soaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
)

func TestLedger(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		l := &Checker{TasksPerWorker: 2}
		return func(t *testing.T, now time.Time, words []string) string { return step(t, l, now, words) }
	})
}

// step knows these lines:
//
//	demand; used WORKER
//	submit JOB TASKS; refused JOB; cancelled JOB; completed JOB
//	began WORKER TASK RUN [SPEC]; ended WORKER TASK RUN HOW; close
//
// The spec of a job is its name.
func step(t *testing.T, l *Checker, now time.Time, words []string) string {
	known := len(l.breaches)
	args := append(words[1:], "", "", "")
	switch words[0] {
	case "submit":
		l.JobSubmitted(args[0], args[0], scripter.Number(t, args[1]))
	case "refused":
		l.JobRefused(args[0])
	case "cancelled":
		l.JobCancelled(now, args[0])
	case "completed":
		l.JobCompleted(now, args[0])
	case "began":
		spec, _, _ := strings.Cut(args[1], ".")
		if args[3] != "" {
			spec = args[3]
		}
		l.RunStarted(now, args[0], args[1], uint64(scripter.Number(t, args[2])), spec)
	case "ended":
		l.RunEnded(args[0], args[1], uint64(scripter.Number(t, args[2])), args[3])
	case "demand":
		l.StartFaultFree()
	case "used":
		l.CheckWorkerUsed(now, args[0])
	case "close":
		l.Finish(now)
	default:
		t.Fatalf("no such step: %s", words[0])
	}
	var out strings.Builder
	for _, b := range l.breaches[known:] {
		fmt.Fprintf(&out, "%s: %s\n", b.Rule, b.Detail)
	}
	return out.String()
}
