package executor

import "time"

const (
	// crashRetention is how long a crash is reported to gateways that link anew. Callers
	// submit the jobs of a gateway that was lost to others within seconds.
	crashRetention = time.Minute
	// maxCrashes limits the crashes that are reported to a gateway that links anew.
	maxCrashes = 16
)

// recordedCrash is a crash of the worker.
type recordedCrash struct {
	at    time.Time
	crash Crash
}

// recordExit records that the present worker's process has ended, and reports it to all linked
// gateways. A worker that was about to leave has not crashed. Where the next
// incarnation may have answered a start order, the run is not known to have been on the worker.
func (x *Executor) recordExit(now time.Time, ground Ground) []Effect {
	exited := WorkerExited{Worker: x.worker.WorkerIncarnation, Announced: x.worker.leaving()}
	crash := Crash{Worker: exited.Worker.Name, StartedAt: exited.Worker.StartedAt}
	for _, run := range x.sortedRuns() {
		e := x.runs[run]
		if e.phase == queued || !e.worker.Equal(exited.Worker) {
			continue
		}
		exited.Runs = append(exited.Runs, run)
		// A run that the worker did not list while it was alive cannot have crashed it.
		if !e.missing {
			crash.Runs = append(crash.Runs, CrashedRun{Run: run, Queue: e.queue, Delivered: e.delivered() && (e.confirmed || !ground.restarted())})
		}
	}
	effects := []Effect{exited}
	if len(crash.Runs) == 0 || exited.Announced {
		return effects
	}
	x.crashes = append(x.crashes, recordedCrash{now, crash})
	if len(x.crashes) > maxCrashes {
		x.crashes = x.crashes[1:]
	}
	for _, gateway := range x.linkedGateways() {
		effects = append(effects, Send{gateway, &crash})
	}
	return effects
}

// delivered reports whether the worker is known to have started the run. An order without an
// answer shows nothing: the worker may have left it unanswered, or have been dead already.
func (e *execution) delivered() bool {
	return e.confirmed || e.phase == running || e.phase == stopping
}

// recentCrashes returns the crashes of the last crashRetention, as reported at now.
func (x *Executor) recentCrashes(now time.Time) []Crash {
	var crashes []Crash
	for _, r := range x.crashes {
		if age := now.Sub(r.at); age < crashRetention {
			r.crash.Age = age
			crashes = append(crashes, r.crash)
		}
	}
	return crashes
}
