package simulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

const (
	// crashingSpec is the prefix of the spec of a job whose first task crashes each worker that
	// starts it.
	crashingSpec = "crash "
	// crashDelay is the time from the start of such a task to the crash, and crashDowntime the
	// time until the worker is back.
	crashDelay    = 12 * time.Millisecond
	crashDowntime = 3 * time.Second
	// After maxCrashes workers have crashed under a task, it may be started fewer than
	// maxStartsAfterCrashes times more.
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
)

// checkCrashBudget checks that a task which crashes workers is not started again and again.
func (s *simulation) checkCrashBudget(run executor.RunID) {
	task := taskOf(run)
	if s.crashed[task] < maxCrashes {
		return
	}
	s.startsAfterCrashes[task]++
	if s.startsAfterCrashes[task] >= maxStartsAfterCrashes {
		s.violate("task %s is started %d times after it crashed %d workers", task, s.startsAfterCrashes[task], s.crashed[task])
	}
}

// minServedBesideCrashes is the share of the jobs of other classes that have to be served while
// the jobs of one class crash workers.
const minServedBesideCrashes = 0.9

// TestTasksThatCrashWorkers guards against tasks that take down one worker after the other, and
// with them the work of the classes that have no such task.
func TestTasksThatCrashWorkers(t *testing.T) {
	p := pattern{name: "crashing_tasks", factors: [3]float64{1, 1, 1}, crashShare: 0.1}
	for seed := uint64(1); seed <= 3; seed++ {
		s := p.replay(seed)
		assert.Check(t, len(s.violations) == 0, "seed %d: %d violations, the first: %s", seed, len(s.violations), append(s.violations, "")[0])
		for _, c := range classes {
			t.Log(seed, s.tally(c.name))
		}
		for _, c := range classes[1:] {
			served := s.tally(c.name)
			assert.Check(t, served.share(served.inAim+served.late) >= minServedBesideCrashes, "seed %d: %s", seed, served)
		}
	}
}
