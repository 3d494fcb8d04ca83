package claimer

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

func TestClaimer(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		c := &cluster{claimers: make(map[string]*Claimer), plans: make(map[string]plan)}
		return c.step
	})
}

// cluster is several entries that share one assignment record.
type cluster struct {
	record   Assignment
	version  uint64
	claimers map[string]*Claimer
	plans    map[string]plan
}

// plan is the assignment that an entry wants, and the version that it has read.
type plan struct {
	next    Assignment
	version uint64
}

// step runs one of these commands, where E and OTHER are names of entries:
//
//	join E: start E, then read, plan and write until E plans no change
//	start E; read E; plan E; write E; leave E; hear E OTHER; report E OTHER
//	reach E all|some; seen E OTHER VERSION
//
// The command plan stores the assignment that the entry wants, and write writes it if the
// record has not changed since the entry last read it.
func (c *cluster) step(t *testing.T, now time.Time, words []string) string {
	name := words[1]
	claimer := c.claimers[name]
	switch words[0] {
	case "join":
		c.step(t, now, []string{"start", name})
		c.step(t, now, []string{"read", name})
		for c.step(t, now, []string{"plan", name}) != "no change" {
			c.step(t, now, []string{"write", name})
			c.step(t, now, []string{"read", name})
		}
		return formatAssignment(c.record)
	case "start":
		claimer = &Claimer{Self: identifier.Entry(name), Partitions: 6, SilenceTimeout: time.Second}
		claimer.ChooseIncarnation(now, c.record.Entries[identifier.Entry(name)].Incarnation)
		c.claimers[name] = claimer
	case "read":
		change, _ := claimer.Observe(now, c.record, c.version)
		return formatChange(change)
	case "plan":
		next, changed := claimer.Plan(now)
		c.plans[name] = plan{next, claimer.Version()}
		if !changed {
			return "no change"
		}
		return formatAssignment(next)
	case "write":
		p := c.plans[name]
		if p.version != c.version {
			return "conflict"
		}
		c.record = p.next
		c.version++
		return "version " + strconv.FormatUint(c.version, 10)
	case "leave":
		claimer.Leave()
	case "seen":
		v, _ := strconv.ParseUint(words[3], 10, 64)
		claimer.RecordSeenVersion(identifier.Entry(words[2]), v)
		return fmt.Sprintf("acknowledged %t", claimer.Acknowledged())
	case "reach":
		claimer.SetReachesAllAgents(words[2] == "all")
	case "report":
		claimer.ReportedAlive(now, identifier.Entry(words[2]))
	case "hear":
		claimer.Heard(now, identifier.Entry(words[2]))
	default:
		t.Fatalf("unknown command %v", words)
	}
	return ""
}

func formatChange(c Change) string {
	var lines []string
	for _, claimed := range c.Claimed {
		lines = append(lines, fmt.Sprintf("claimed %d, epoch %d, first owner %t", claimed.Partition, claimed.Epoch, claimed.FirstOwner))
	}
	for _, p := range c.Lost {
		lines = append(lines, fmt.Sprintf("lost %d", p))
	}
	return strings.Join(lines, "\n")
}

func formatAssignment(a Assignment) string {
	var words []string
	for _, name := range a.EntryNames() {
		words = append(words, fmt.Sprintf("%s(leaving %t)", name, a.Entries[name].Leaving))
	}
	for _, o := range a.Partitions {
		words = append(words, fmt.Sprintf("%s:%d", o.Owner, o.Epoch))
	}
	return strings.Join(words, " ")
}
