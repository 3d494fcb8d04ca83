package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// otherRun is a run of a task because of which an agent has refused another one as a duplicate.
type otherRun struct {
	agent identifier.Agent
	// retryAt is when the agent is asked next. Until over, the run may go on without the agent.
	retryAt, over time.Time
}

// duplicatePause is the time between two starts at an agent that refuses them as duplicates.
const duplicatePause = 50 * time.Millisecond

// noteDuplicate records that an agent has refused a task because it has another run of it.
func (t *task) noteDuplicate(now time.Time, a identifier.Agent) {
	t.other = otherRun{a, now.Add(duplicatePause), now.Add(executor.RunsOverAfter)}
	t.avoidAgent = ""
}

// held reports whether a task may only be started where another run of it was. While its worker is
// available, only the agent that has the run can tell when it is over.
func (c *Coordinator) held(now time.Time, t *task) bool {
	if t.other.agent == "" {
		return false
	}
	a := c.agents[t.other.agent]
	return now.Before(t.other.over) || a != nil && a.attached && a.status.Available
}

// asks reports whether a start of the task at an agent only asks it whether its other run of the task is
// over. That is done also in an evacuated data centre: the agent knows of the evacuation, because it was
// told before on the same link, and refuses the start as a duplicate until then. It is also done for a task
// of a confined queue where the agent is no lane any more: the task would wait until its deadline otherwise.
func (t *task) asks(a *agent) bool {
	return t.other.agent == a.name
}

// allows reports whether a task may be started at an agent.
func (c *Coordinator) allows(now time.Time, t *task, a identifier.Agent) bool {
	return !c.held(now, t) || a == t.other.agent && !now.Before(t.other.retryAt)
}
