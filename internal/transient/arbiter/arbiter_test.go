package arbiter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

func TestArbiter(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		a := &Arbiter{Self: Process{"g0", 1}}
		return func(t *testing.T, now time.Time, words []string) string { return step(t, a, now, words) }
	})
}

// step runs one of these commands at the arbiter of gateway g0, where NUMBER is that of a claim:
//
//	link GATEWAY INCARNATION; unlink GATEWAY INCARNATION; arbiters JOB...
//	answered GATEWAY; unanswered GATEWAY
//	claim GATEWAY INCARNATION JOB NUMBER VALIDITY [renewal]; yield GATEWAY INCARNATION JOB NUMBER
//	tick
func step(t *testing.T, a *Arbiter, now time.Time, words []string) string {
	process := func() Process {
		return Process{identifier.Entry(words[1]), identifier.Incarnation(scripter.Number(t, words[2]))}
	}
	switch words[0] {
	case "link":
		a.PeerLinked(now, process())
	case "unlink":
		a.PeerUnlinked(now, process())
	case "answered":
		a.Answered(identifier.Entry(words[1]))
	case "unanswered":
		return fmt.Sprintf("suspended=%t", a.Unanswered(now, identifier.Entry(words[1])))
	case "arbiters":
		var names []string
		for _, id := range words[1:] {
			line := fmt.Sprintf("%s: %v", id, a.ArbitersOf(now, specifier.JobID(id)))
			if suspended := a.SuspendedOf(now, specifier.JobID(id)); len(suspended) > 0 {
				line += fmt.Sprintf(", suspended %v", suspended)
			}
			names = append(names, line)
		}
		return strings.Join(names, "\n")
	case "claim":
		m := &Claim{Job: specifier.JobID(words[3]), Number: uint64(scripter.Number(t, words[4])), Validity: scripter.Duration(t, words[5]), Renewal: len(words) > 6}
		return format(a.HandleClaim(now, process(), m))
	case "yield":
		return format(a.HandleYield(process(), &Yield{Job: specifier.JobID(words[3]), Number: uint64(scripter.Number(t, words[4]))}))
	case "tick":
		changed := a.Tick(now)
		return fmt.Sprintf("%d claims, changed=%t", a.Claims(), changed)
	default:
		t.Fatalf("unknown command %q", words[0])
	}
	return ""
}

// format returns a line for each message.
func format(effects []Send) string {
	var out strings.Builder
	for _, e := range effects {
		switch m := e.Message.(type) {
		case *Grant:
			fmt.Fprintf(&out, "%s: grant %s %d\n", e.To, m.Job, m.Number)
		case *Contested:
			fmt.Fprintf(&out, "%s: contested %s %d\n", e.To, m.Job, m.Number)
		case *Recall:
			fmt.Fprintf(&out, "%s: recall %s %d\n", e.To, m.Job, m.Number)
		}
	}
	return out.String()
}
