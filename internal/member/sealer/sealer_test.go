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
			if words[0] == "start" {
				takeover = start(t, now, words[1:])
				return ""
			}
			return step(t, takeover, now, words)
		}
	})
}

// start starts a takeover with a roster of agents such as a1:2, a1:2:replaced=10s or
// a1:2:left=1m, where the duration says how long ago that was. A word such as
// final_report=a1:2 means that the entry has the final report of that incarnation.
func start(t *testing.T, now time.Time, words []string) *Takeover {
	var roster []registrar.Registration
	finalReports := make(map[string]bool)
	for _, word := range words {
		if name, ok := strings.CutPrefix(word, "final_report="); ok {
			finalReports[name] = true
			continue
		}
		parts := strings.Split(word, ":")
		n, _ := strconv.Atoi(parts[1])
		r := registrar.Registration{Agent: identifier.Agent(parts[0]), Incarnation: identifier.Incarnation(n), Registered: now.Add(-time.Hour)}
		if len(parts) > 2 {
			what, ago, _ := strings.Cut(parts[2], "=")
			at := now.Add(-scripter.Duration(t, ago))
			if what == "left" {
				r.Left = at
			} else {
				r.Replaced, r.Registered = r.Incarnation-1, at
			}
		}
		roster = append(roster, r)
	}
	importFinalReport := func(agent identifier.Agent, incarnation identifier.Incarnation) bool {
		return finalReports[fmt.Sprintf("%s:%d", agent, incarnation)]
	}
	return New(now, []starter.Claim{{Partition: 3, Epoch: 5}}, roster, importFinalReport, 3*time.Second, time.Second, time.Minute)
}

// step runs one of these commands:
//
//	linked AGENT INCARNATION; sealed AGENT INCARNATION EPOCH [part]
//	has_final_report AGENT INCARNATION; require_all; done
func step(t *testing.T, takeover *Takeover, now time.Time, words []string) string {
	var agent identifier.Agent
	var incarnation identifier.Incarnation
	if len(words) > 2 {
		n, _ := strconv.Atoi(words[2])
		agent, incarnation = identifier.Agent(words[1]), identifier.Incarnation(n)
	}
	switch words[0] {
	case "has_final_report":
		takeover.MarkFinalReport(agent, incarnation)
		return ""
	case "require_all":
		takeover.RequireAllAgents()
		return ""
	case "linked":
		return fmt.Sprintf("asked %t", takeover.SealFor(agent, incarnation) != nil)
	case "sealed":
		epoch, _ := strconv.Atoi(words[3])
		claims := []starter.Claim{{Partition: 3, Epoch: identifier.Epoch(epoch)}}
		return fmt.Sprintf("expected %t", takeover.HandleSealed(agent, &starter.Sealed{Incarnation: incarnation, Claims: claims, Last: words[len(words)-1] != "part"}))
	case "done":
		done, recordsLost := takeover.Done(now)
		return fmt.Sprintf("%t, records lost %t", done, recordsLost)
	}
	t.Fatalf("unknown command %v", words)
	return ""
}
