package executor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

func TestExecutor(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		d := &driver{x: Executor{Fence: 100}, asked: make(map[identifier.Entry]uint64)}
		return d.step
	})
}

// driver drives an executor by the lines of a script.
type driver struct {
	x        Executor
	sequence uint64
	asked    map[identifier.Entry]uint64
	hold     Hold
	begins   map[RunID]StartRun
	halts    map[RunID]StopRun
}

// step knows these lines, in which RUN is a job, an index and a number, such as
// a#0@1:
//
//	register BORN CPU [draining]; restore BORN CPU; left; leave; tick
//	link GATEWAY INCARNATION; unlink GATEWAY; ask GATEWAY; permit GATEWAY
//	want GATEWAY PRIORITY; content GATEWAY
//	start GATEWAY RUN CPU; stop GATEWAY RUN
//	begun RUN REPLY; halted RUN REPLY
//	hold; held [RUN[%PERCENT]]... [N:RUN:HOW]...; unheld REPLY
func (d *driver) step(t *testing.T, now time.Time, words []string) string {
	args := append(words[1:], "", "", "")
	entry := identifier.Entry(args[0])
	var effects []Effect
	switch words[0] {
	case "register":
		d.sequence++
		effects = d.x.WorkerReported(now, readReport(t, args, d.sequence))
	case "restore":
		// A stored time comes back with another location.
		r := readReport(t, args, d.sequence)
		r.StartedAt = r.StartedAt.In(time.FixedZone("stored", 3600))
		effects = d.x.WorkerRestored(now, r)
	case "left":
		effects = d.x.WorkerLeft(now, "w")
	case "leave":
		effects = d.x.Drain()
	case "tick":
		effects = d.x.Tick(now)
	case "link":
		effects = d.x.GatewayLinked(now, entry, identifier.Incarnation(scripter.Number(t, args[1])))
	case "unlink":
		d.x.GatewayUnlinked(entry)
	case "ask":
		d.asked[entry] = d.x.RequestPermit(now, entry).Sequence
	case "permit":
		d.x.HandlePermit(entry, &Permit{Sequence: d.asked[entry]})
	case "want":
		effects = d.x.HandleBacklog(entry, &Backlog{Waiting: true, Priority: scripter.Number(t, args[1])})
	case "content":
		effects = d.x.HandleBacklog(entry, &Backlog{})
	case "start":
		effects = d.x.HandleStart(now, entry, &Start{Run: readRun(t, args[1]), Service: "counter", Demand: specifier.Resources{CPU: scripter.Number(t, args[2])}})
	case "stop":
		effects = d.x.HandleStop(now, entry, &Stop{Run: readRun(t, args[1])})
	case "begun":
		effects = d.x.HandleStartOutcome(now, d.begins[readRun(t, args[0])], readReply(t, args[1]))
	case "halted":
		effects = d.x.HandleStopOutcome(now, d.halts[readRun(t, args[0])], readReply(t, args[1]))
	case "hold":
		h, ok := d.x.NextHold(now)
		d.hold = h
		if !ok {
			return "no hold"
		}
		return fmt.Sprintf("hold fence=%d extend=%t until=%s seen=%d wait=%s", h.Fence, h.ExtendLease, h.LeaseEnd, h.LastSeen, h.Wait)
	case "held":
		effects = d.x.HandleHoldReply(now, d.hold, readHeld(t, d.hold, words[1:]))
	case "unheld":
		effects = d.x.HoldFailed(now, d.hold, readReply(t, args[0]))
	default:
		t.Fatalf("no such step: %s", words[0])
	}
	return d.show(effects)
}

func readReport(t *testing.T, args []string, sequence uint64) WorkerReport {
	return WorkerReport{
		WorkerIncarnation: WorkerIncarnation{Name: "w", StartedAt: time.UnixMilli(int64(scripter.Number(t, args[0])))}, Service: "counter", Draining: args[2] == "draining",
		Capacity: specifier.Resources{CPU: scripter.Number(t, args[1])}, Sequence: sequence,
	}
}

func (d *driver) show(effects []Effect) string {
	var out strings.Builder
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			fmt.Fprintf(&out, "%s: %s\n", e.To, showMessage(e.Message))
		case DeferEnd:
			fmt.Fprintf(&out, "%s later: %s\n", e.To, showMessage(&e.Ended))
		case StartRun:
			if d.begins == nil {
				d.begins = make(map[RunID]StartRun)
			}
			d.begins[e.Run] = e
			fmt.Fprintf(&out, "begin %s until=%s fence=%d\n", e.Run, e.LeaseEnd, e.Fence)
		case StopRun:
			if d.halts == nil {
				d.halts = make(map[RunID]StopRun)
			}
			d.halts[e.Run] = e
			fmt.Fprintf(&out, "halt %s fence=%d\n", e.Run, e.Fence)
		case HoldNow:
			out.WriteString("look\n")
		}
	}
	return out.String()
}

func showMessage(message any) string {
	switch m := message.(type) {
	case *Ended:
		return fmt.Sprintf("ended %s %s %s took=%s others=%d", m.Run, m.Outcome, m.Reason, m.Took, m.UsedByOthers.CPU)
	case *Status:
		if m.Stalled {
			return "status stalled"
		}
		return fmt.Sprintf("status available=%t capacity=%d others=%d", m.Available, m.Capacity.CPU, m.UsedByOthers.CPU)
	case *Load:
		return fmt.Sprintf("load others=%d", m.UsedByOthers.CPU)
	case *Attach:
		var ends []string
		for _, e := range m.Ends {
			ends = append(ends, fmt.Sprintf("%s:%s", e.Run, e.Outcome))
		}
		return fmt.Sprintf("attach available=%t others=%d runs=%s ends=%s", m.Status.Available, m.Status.UsedByOthers.CPU, m.Runs, ends)
	}
	return fmt.Sprintf("%T", message)
}

// readHeld reads runs, and ends of the form N:RUN:HOW. The worker's clock runs with the
// present time.
func readHeld(t *testing.T, h Hold, words []string) HoldReply {
	held := HoldReply{Clock: h.Sent.Sub(scripter.Epoch)}
	for _, w := range words {
		parts := strings.Split(w, ":")
		if len(parts) == 1 {
			name, percent, listed := strings.Cut(w, "%")
			r := RunProgress{Run: readRun(t, name)}
			if listed {
				r.Percent = scripter.Number(t, percent)
			}
			held.Running = append(held.Running, r)
			continue
		}
		held.Ended = append(held.Ended, EndedRun{Number: int64(scripter.Number(t, parts[0])), Run: readRun(t, parts[1]), Outcome: readHow(t, parts[2])})
	}
	return held
}

func readRun(t *testing.T, word string) RunID {
	job, rest, _ := strings.Cut(word, "#")
	index, number, _ := strings.Cut(rest, "@")
	return RunID{Job: specifier.JobID(job), Index: scripter.Number(t, index), Number: uint64(scripter.Number(t, number))}
}

func readReply(t *testing.T, word string) CallOutcome {
	for r := Accepted; r <= StaleFence; r++ {
		if r.String() == word {
			return r
		}
	}
	t.Fatalf("no such reply: %s", word)
	return 0
}

func readHow(t *testing.T, word string) Outcome {
	for h := Done; h <= Refused; h++ {
		if h.String() == word {
			return h
		}
	}
	t.Fatalf("no such end: %s", word)
	return 0
}
