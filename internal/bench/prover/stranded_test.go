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
		w := newEmptyWorld(t)
		w.entries = append(w.entries, w.startEntry(0))
		time.Sleep(100 * time.Millisecond)
		w.agents = append(w.agents, w.startAgent(0))
		time.Sleep(930 * time.Millisecond)
		w.entries = append(w.entries, w.startEntry(1))
		time.Sleep(20 * time.Millisecond)
		w.kill(w.entries[0])
		a := w.submit(w.entries[1], describer.Job{
			Submission: identifier.Submission{Workspace: "w", Key: "k"}, Created: time.Now(),
			Template: "stock", Urgent: true, Budget: 20 * time.Second, Timeout: time.Second, Inputs: make([][]byte, 4),
		})
		<-a.given
		assert.Assert(t, a.answer.Complete, "%+v", a.answer)
		assert.Equal(t, w.close(), "")
	})
}
