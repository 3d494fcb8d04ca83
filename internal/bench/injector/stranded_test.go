package prover

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// TestAgentThatKnowsOnlyADeadEntry kills the one entry that an agent knows, before it
// could tell of a second one. The agent must find the second by itself, so that it is
// sealed and nothing is uncertain.
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
		a := c.submit(c.entries[1], describer.Job{
			Submission: identifier.Submission{Workspace: "w", Key: "k"}, Created: time.Now(),
			Template: "stock", Urgent: true, Budget: 20 * time.Second, Timeout: time.Second, Inputs: make([][]byte, 4),
		})
		<-a.answered
		assert.Assert(t, a.answer.Complete, "%+v", a.answer)
		assert.Equal(t, c.close(), "")
	})
}
