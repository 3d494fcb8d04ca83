package executor

// initialFenceStep is the step by which a fencing token is raised after the first refusal.
// The first token of an agent is its start time in milliseconds, and clocks are usually
// set back by seconds.
const initialFenceStep = 1 << 10

// raiseFence raises the fencing token after a refusal, by a step that doubles with each
// refusal. It does so only until the worker is fenced: a worker that refuses a token which it
// has accepted before is controlled by another agent.
func (x *Executor) raiseFence(h Hold) []Effect {
	w := x.worker
	if w == nil || !w.WorkerIncarnation.Equal(h.Worker) || w.fenced || w.fence != h.Fence {
		return nil
	}
	x.fenceStep = max(initialFenceStep, 2*x.fenceStep)
	x.Fence += x.fenceStep
	w.fence = x.Fence
	return []Effect{HoldNow{}}
}

// fenceOff raises the fencing token after a call that extends the lease got no answer. The worker
// may carry the call out seconds later and count the extension from then, when the lease is
// meant to lapse. It refuses the call once it has seen the higher token.
func (x *Executor) fenceOff(worker WorkerIncarnation, fence uint64) {
	if w := x.worker; w != nil && w.WorkerIncarnation.Equal(worker) && w.fence == fence {
		x.Fence++
		w.fence = x.Fence
	}
}
