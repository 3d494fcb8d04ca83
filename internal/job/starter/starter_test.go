package starter

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

func TestStarter(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		s := &Starter{Incarnation: 7, Retention: time.Minute}
		return func(t *testing.T, now time.Time, words []string) string { return step(t, s, now, words) }
	})
}

// step runs one of these commands:
//
//	lease ENTRY DURATION                  request a lease and receive the reply at once
//	request ENTRY SEQUENCE                send a lease request
//	reply ENTRY SEQUENCE DURATION         receive a lease reply
//	start ENTRY TASK EPOCH ATTEMPT [incarnation=6] [no_slot]
//	end TASK                              the task succeeds
//	unreachable TASK                      the call did not reach the backend server
//	revoke ENTRY TASK EPOCH ATTEMPT
//	seal ENTRY EPOCH
//	fence ENTRY EPOCH                     raise the fence as read from the table service
//	unlink ENTRY
//	drain
//	expire
func step(t *testing.T, s *Starter, now time.Time, words []string) string {
	entry := func() identifier.Entry { return identifier.Entry(words[1]) }
	switch words[0] {
	case "lease":
		s.RecordLeaseRequest(now, entry(), 1)
		s.HandleLeaseReply(entry(), &LeaseReply{Sequence: 1, Remaining: scripter.Duration(t, words[2])})
		return ""
	case "request":
		s.RecordLeaseRequest(now, entry(), number(t, words[2]))
		return ""
	case "reply":
		s.HandleLeaseReply(entry(), &LeaseReply{Sequence: number(t, words[2]), Remaining: scripter.Duration(t, words[3])})
		return ""
	case "start":
		m := &Start{Incarnation: 7, Task: task(words[2]), Epoch: identifier.Epoch(number(t, words[3])), Attempt: uint32(number(t, words[4])), Digest: 99}
		slot := true
		for _, w := range words[5:] {
			slot = slot && w != "no_slot"
			if w == "incarnation=6" {
				m.Incarnation = 6
			}
		}
		return s.Start(now, entry(), m, slot).String()
	case "end":
		to := s.End(task(words[1]), describer.Result{Outcome: describer.Succeeded})
		return fmt.Sprintf("report to %q, %d running", to, s.Running())
	case "unreachable":
		to, m := s.MarkUnreachable(task(words[1]))
		return fmt.Sprintf("report to %q: %s, epoch %d, attempt %d", to, m.Reason, m.Epoch, m.Attempt)
	case "revoke":
		m, ok := s.Revoke(now, entry(), &Revoke{Incarnation: 7, Task: task(words[2]), Epoch: identifier.Epoch(number(t, words[3])), Attempt: uint32(number(t, words[4]))})
		return fmt.Sprintf("answered %t, started %t, %s", ok, m.Started, m.Result.Outcome)
	case "seal":
		replies := s.Seal(entry(), &Seal{Incarnation: 7, Claims: []Claim{{Partition: 0, Epoch: identifier.Epoch(number(t, words[2]))}}})
		n := 0
		for _, m := range replies {
			n += len(m.Records)
		}
		return fmt.Sprintf("answered %t, %d records", len(replies) > 0, n)
	case "fence":
		s.RaiseFence(entry(), Claim{Partition: 0, Epoch: identifier.Epoch(number(t, words[2]))})
		return ""
	case "unlink":
		s.Unlink(entry())
		return ""
	case "drain":
		s.Drain()
		return ""
	case "expire":
		s.Expire(now)
		return fmt.Sprintf("%d records", s.Records())
	}
	t.Fatalf("unknown command %v", words)
	return ""
}

// task parses a task such as job#0. Its workspace is w.
func task(text string) identifier.Task {
	key, index, _ := strings.Cut(text, "#")
	i, _ := strconv.Atoi(index)
	return identifier.Task{Submission: identifier.Submission{Workspace: "w", Key: key}, Index: i}
}

func number(t *testing.T, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}
