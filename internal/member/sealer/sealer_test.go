package sealer

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

func TestSealer(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		var takeover *Takeover
		return func(t *testing.T, now time.Time, words []string) string {
			if words[0] == "begin" {
				takeover = begin(t, now, words[1:])
				return ""
			}
			return step(t, takeover, now, words)
		}
	})
}

// begin reads a roster of members such as a1:2, a1:2:replaced=10s or a1:2:left=1m,
// with how long ago that was. A word such as finalReport=a1:2 says whose records are
// here.
func begin(t *testing.T, now time.Time, words []string) *Takeover {
	var roster []registrar.Registration
	finalReports := make(map[string]bool)
	for _, word := range words {
		if name, ok := strings.CutPrefix(word, "finalReport="); ok {
			finalReports[name] = true
			continue
		}
		parts := strings.Split(word, ":")
		n, _ := strconv.Atoi(parts[1])
		m := registrar.Registration{Agent: identifier.Agent(parts[0]), Incarnation: identifier.Incarnation(n), Registered: now.Add(-time.Hour)}
		if len(parts) > 2 {
			what, ago, _ := strings.Cut(parts[2], "=")
			at := now.Add(-scripter.Duration(t, ago))
			if what == "left" {
				m.Left = at
			} else {
				m.Replaced, m.Registered = m.Incarnation-1, at
			}
		}
		roster = append(roster, m)
	}
	useFinalReport := func(agent identifier.Agent, incarnation identifier.Incarnation) bool {
		return finalReports[fmt.Sprintf("%s:%d", agent, incarnation)]
	}
	return New(now, []starter.Claim{{Partition: 3, Epoch: 5}}, roster, useFinalReport, 3*time.Second, time.Second, time.Minute)
}

// step knows these lines: linked AGENT INCARNATION, sealed AGENT INCARNATION EPOCH [part],
// hasFinalReport AGENT INCARNATION, strict, done.
func step(t *testing.T, takeover *Takeover, now time.Time, words []string) string {
	var agent identifier.Agent
	var incarnation identifier.Incarnation
	if len(words) > 2 {
		n, _ := strconv.Atoi(words[2])
		agent, incarnation = identifier.Agent(words[1]), identifier.Incarnation(n)
	}
	switch words[0] {
	case "hasFinalReport":
		takeover.MarkFinalReport(agent, incarnation)
		return ""
	case "strict":
		takeover.RequireAllAgents()
		return ""
	case "linked":
		return fmt.Sprintf("asked %t", takeover.SealFor(agent, incarnation) != nil)
	case "sealed":
		epoch, _ := strconv.Atoi(words[3])
		claims := []starter.Claim{{Partition: 3, Epoch: identifier.Epoch(epoch)}}
		return fmt.Sprintf("awaited %t", takeover.HandleSealed(agent, &starter.Sealed{Incarnation: incarnation, Claims: claims, Last: words[len(words)-1] != "part"}))
	case "done":
		done, cautious := takeover.Done(now)
		return fmt.Sprintf("%t, cautious %t", done, cautious)
	}
	t.Fatalf("unknown step %v", words)
	return ""
}
