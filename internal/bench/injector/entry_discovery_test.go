package injector

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// TestAgentThatKnowsOnlyADeadEntry guards against an agent that cannot be sealed after a
// takeover. A second entry starts, and the only entry that the agent knows is killed before
// it tells the agent about the second one. The agent must find the second entry by itself.
// Otherwise it is not sealed and the job cannot get a complete answer.
func TestAgentThatKnowsOnlyADeadEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEmptyCell(t)
		c.entries = append(c.entries, c.startEntry(0))
		time.Sleep(100 * time.Millisecond)
		c.agents = append(c.agents, c.startAgent(0))
		time.Sleep(930 * time.Millisecond)
		c.entries = append(c.entries, c.startEntry(1))
		time.Sleep(20 * time.Millisecond)
		c.kill(c.entries[0])
		r := c.submit(c.entries[1], describer.Job{
			Submission: identifier.Submission{Workspace: "w", Key: "k"}, Created: time.Now(),
			Template: "stock", Urgent: true, Budget: 20 * time.Second, Timeout: time.Second, Inputs: make([][]byte, 4),
		})
		<-r.answered
		assert.Assert(t, r.answer.Complete, "%+v", r.answer)
		assert.Equal(t, c.close(), "")
	})
}
