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
		w := &world{claimers: make(map[string]*Claimer), plans: make(map[string]plan)}
		return w.step
	})
}

// world is several entries that share one record.
type world struct {
	record   Assignment
	version  uint64
	claimers map[string]*Claimer
	plans    map[string]plan
}

type plan struct {
	next    Assignment
	version uint64
}

// step knows these lines:
//
//	join E: begins, and reads, plans and writes until E is content
//	begin E; read E; plan E; write E; leave E; hear E OTHER; report E OTHER;
//	reach E all|some;//	seen E OTHER VERSION
//
// Plan keeps what the entry wants to write, and write carries it out if the record
// has not changed since the entry's last reading.
func (w *world) step(t *testing.T, now time.Time, words []string) string {
	name := words[1]
	c := w.claimers[name]
	switch words[0] {
	case "join":
		w.step(t, now, []string{"begin", name})
		w.step(t, now, []string{"read", name})
		for w.step(t, now, []string{"plan", name}) != "content" {
			w.step(t, now, []string{"write", name})
			w.step(t, now, []string{"read", name})
		}
		return show(w.record)
	case "begin":
		c = &Claimer{Self: identifier.Entry(name), Partitions: 6, SilenceTimeout: time.Second}
		c.ChooseIncarnation(now, w.record.Entries[identifier.Entry(name)].Incarnation)
		w.claimers[name] = c
	case "read":
		change, _ := c.Observe(now, w.record, w.version)
		return showChange(change)
	case "plan":
		next, changed := c.Plan(now)
		w.plans[name] = plan{next, c.Version()}
		if !changed {
			return "content"
		}
		return show(next)
	case "write":
		p := w.plans[name]
		if p.version != w.version {
			return "conflict"
		}
		w.record = p.next
		w.version++
		return "version " + strconv.FormatUint(w.version, 10)
	case "leave":
		c.Leave()
	case "seen":
		v, _ := strconv.ParseUint(words[3], 10, 64)
		c.RecordSeenVersion(identifier.Entry(words[2]), v)
		return fmt.Sprintf("acknowledged %t", c.Acknowledged())
	case "reach":
		c.SetReachesAllAgents(words[2] == "all")
	case "report":
		c.ReportedAlive(now, identifier.Entry(words[2]))
	case "hear":
		c.Heard(now, identifier.Entry(words[2]))
	default:
		t.Fatalf("unknown step %v", words)
	}
	return ""
}

func showChange(c Change) string {
	var lines []string
	for _, claimed := range c.Claimed {
		lines = append(lines, fmt.Sprintf("claimed %d, epoch %d, fresh %t", claimed.Partition, claimed.Epoch, claimed.FirstOwner))
	}
	for _, p := range c.Lost {
		lines = append(lines, fmt.Sprintf("lost %d", p))
	}
	return strings.Join(lines, "\n")
}

func show(a Assignment) string {
	var words []string
	for _, name := range a.EntryNames() {
		words = append(words, fmt.Sprintf("%s(leaving %t)", name, a.Entries[name].Leaving))
	}
	for _, o := range a.Partitions {
		words = append(words, fmt.Sprintf("%s:%d", o.Owner, o.Epoch))
	}
	return strings.Join(words, " ")
}
