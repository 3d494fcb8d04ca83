package owner

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

func TestOwner(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		d := &driver{o: New(Settings{Partitions: 1, Retention: time.Minute, ClockBound: time.Second, MaxWaiting: 20, TypicalRun: 100 * time.Millisecond, NormalShare: 0.75})}
		return d.step
	})
}

// driver runs script commands on an owner of one partition.
type driver struct {
	o        *Owner
	sequence uint64
	handover []*Handover
	// epoch is the epoch in the messages NotStarted and Revoked.
	epoch identifier.Epoch
}

// step runs one of these commands:
//
//	epoch EPOCH (sets the epoch of not_started and revoked; claim sets it too)
//	claim EPOCH; serve EPOCH [cutoff]; release; confirm LEASE [READ-LEASE]; tick
//	export; import (the last exported handover)
//	submit KEY TASKS [normal] [budget=D] [age=D] [text=T] [workspace=W]
//	cancel KEY; get KEY
//	link AGENT INCARNATION; unlink AGENT; leaving AGENT
//	grant AGENT INCARNATION SLOTS; recall AGENT INCARNATION SLOTS
//	sealed AGENT INCARNATION TASK OUTCOME
//	final_report AGENT INCARNATION TASK OUTCOME; final_report AGENT INCARNATION last
//	import_final_report AGENT INCARNATION
//	ended AGENT INCARNATION TASK OUTCOME
//	not_started AGENT INCARNATION TASK ATTEMPT REASON
//	revoked AGENT INCARNATION TASK ATTEMPT started|tombstoned [OUTCOME]
func (d *driver) step(t *testing.T, now time.Time, words []string) string {
	args := append(words[1:], "", "", "", "", "")
	agent, task := identifier.Agent(args[0]), parseTask(args[2])
	incarnation := identifier.Incarnation(atoi(args[1]))
	switch words[0] {
	case "claim":
		d.epoch = identifier.Epoch(atoi(args[0]))
		d.o.Claim(starter.Claim{Epoch: d.epoch})
	case "epoch":
		d.epoch = identifier.Epoch(atoi(args[0]))
	case "serve":
		var cutoff time.Time
		if args[1] == "cutoff" {
			cutoff = now
		}
		return format(d.o.Serve(now, starter.Claim{Epoch: identifier.Epoch(atoi(args[0]))}, cutoff))
	case "export":
		d.handover = d.o.ExportHandover(0)
		return formatHandover(d.handover)
	case "import":
		complete := false
		for _, m := range d.handover {
			complete = d.o.ImportHandover(m)
		}
		return fmt.Sprintf("complete %t", complete)
	case "release":
		return format(d.o.Release(0))
	case "confirm":
		until := now.Add(scripter.Duration(t, args[0]))
		readLease := until
		if args[1] != "" {
			readLease = now.Add(scripter.Duration(t, args[1]))
		}
		return format(d.o.ConfirmLease(now, until, readLease))
	case "tick":
		return format(d.o.Tick(now))
	case "submit":
		return format(d.o.Submit(now, d.request(), parseJob(t, now, words[1:])))
	case "get", "cancel":
		m := &Inquire{Submission: identifier.Submission{Workspace: "w", Key: args[0]}, Created: scripter.Epoch, Cancel: words[0] == "cancel"}
		return format(d.o.Inquire(now, d.request(), m))
	case "link":
		return format(d.o.AgentLinked(agent, incarnation))
	case "unlink":
		d.o.AgentUnlinked(agent)
	case "leaving":
		d.o.AgentLeaving(agent)
	case "grant":
		return format(d.o.HandleGrant(now, agent, &allocator.Grant{Incarnation: incarnation, Slots: atoi(args[2])}))
	case "recall":
		return format(d.o.HandleRecall(agent, &allocator.Recall{Incarnation: incarnation, Slots: atoi(args[2])}))
	case "sealed":
		return format(d.o.HandleSealed(agent, &starter.Sealed{Incarnation: incarnation, Records: []starter.Record{
			{Task: task, Epoch: 1, Attempt: 1, Digest: digest(t, task), Result: describer.Result{Outcome: parseOutcome(t, args[3])}},
		}}))
	case "final_report":
		m := &starter.FinalReport{Incarnation: incarnation, Last: args[2] == "last"}
		if !m.Last {
			m.Records = []starter.Record{{Task: task, Epoch: 1, Attempt: 1, Digest: digest(t, task), Result: describer.Result{Outcome: parseOutcome(t, args[3])}}}
		}
		return fmt.Sprintf("complete %t", d.o.HandleFinalReport(now, agent, m))
	case "import_final_report":
		return fmt.Sprintf("complete %t", d.o.ImportFinalReport(agent, incarnation))
	case "ended":
		return format(d.o.HandleEnded(now, agent, &starter.Ended{Incarnation: incarnation, Task: task, Result: describer.Result{Outcome: parseOutcome(t, args[3])}, GrantedSlots: 1}))
	case "not_started":
		m := &starter.NotStarted{Incarnation: incarnation, Task: task, Epoch: d.epoch, Attempt: uint32(atoi(args[3])), Reason: parseReason(t, args[4]), GrantedSlots: 1}
		return format(d.o.HandleNotStarted(now, agent, m))
	case "revoked":
		m := &starter.Revoked{Incarnation: incarnation, Task: task, Epoch: d.epoch, Attempt: uint32(atoi(args[3])), Started: args[4] == "started"}
		if m.Started {
			m.Result.Outcome = parseOutcome(t, args[5])
		}
		return format(d.o.HandleRevoked(now, agent, m))
	default:
		t.Fatalf("unknown command %v", words)
	}
	return ""
}

func (d *driver) request() RequestID {
	d.sequence++
	return RequestID{Entry: "e", Sequence: d.sequence}
}

// parseJob parses the arguments of a submit command. The identity is created at
// scripter.Epoch, or at the given age before now.
func parseJob(t *testing.T, now time.Time, words []string) describer.Job {
	j := describer.Job{
		Submission: identifier.Submission{Workspace: "w", Key: words[0]},
		Created:    scripter.Epoch,
		Urgent:     true,
		Budget:     10 * time.Second,
	}
	text := "x"
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "normal":
			j.Urgent = false
		case "budget":
			j.Budget = scripter.Duration(t, value)
		case "age":
			j.Created = now.Add(-scripter.Duration(t, value))
		case "text":
			text = value
		case "workspace":
			j.Submission.Workspace = value
		default:
			t.Fatalf("unknown option %s", word)
		}
	}
	for range atoi(words[1]) {
		j.Inputs = append(j.Inputs, []byte(text))
	}
	return j
}

// digest returns the digest of a job of two tasks, which the cases with records of
// earlier owners submit.
func digest(t *testing.T, task identifier.Task) uint64 {
	j := parseJob(t, scripter.Epoch, []string{task.Submission.Key, "2"})
	return j.Digest()
}

// parseTask parses a task such as job#0 or w/job#0.
func parseTask(text string) identifier.Task {
	name, index, _ := strings.Cut(text, "#")
	workspace, key, found := strings.Cut(name, "/")
	if !found {
		workspace, key = "w", name
	}
	return identifier.Task{Submission: identifier.Submission{Workspace: workspace, Key: key}, Index: atoi(index)}
}

func parseOutcome(t *testing.T, text string) describer.Outcome {
	for o := describer.Pending; o <= describer.MayHaveRun; o++ {
		if o.String() == text {
			return o
		}
	}
	t.Fatalf("unknown outcome %q", text)
	return 0
}

func parseReason(t *testing.T, text string) starter.Reason {
	for r := starter.Accepted; r <= starter.Unreachable; r++ {
		if r.String() == text {
			return r
		}
	}
	t.Fatalf("unknown reason %q", text)
	return 0
}

func atoi(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// format formats effects, one per line.
func format(effects []Effect) string {
	var lines []string
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			lines = append(lines, fmt.Sprintf("reply %d: %s", e.To.Sequence, formatReply(e.Reply)))
		case Send:
			lines = append(lines, fmt.Sprintf("%s: %s", e.Agent, formatMessage(e.Message)))
		}
	}
	return strings.Join(lines, "\n")
}

func formatReply(r Reply) string {
	switch {
	case r.Moved:
		return "moved"
	case r.Running:
		return "running"
	case r.Answer.Refusal != nil:
		return fmt.Sprintf("refused, %s, not run %t, retry after %s", r.Answer.Refusal.Kind, r.Answer.Refusal.NotRun, r.Answer.Refusal.RetryAfter)
	}
	var outcomes []string
	for _, result := range r.Answer.Results {
		outcomes = append(outcomes, result.Outcome.String())
	}
	return fmt.Sprintf("complete %t: %s", r.Answer.Complete, strings.Join(outcomes, " "))
}

func formatMessage(m any) string {
	switch m := m.(type) {
	case *starter.Start:
		return fmt.Sprintf("start %s, incarnation %d, epoch %d, attempt %d, %d waiting", m.Task, m.Incarnation, m.Epoch, m.Attempt, m.Waiting)
	case *starter.Revoke:
		return fmt.Sprintf("revoke %s, incarnation %d, epoch %d, attempt %d", m.Task, m.Incarnation, m.Epoch, m.Attempt)
	case *allocator.Want:
		return fmt.Sprintf("want, %d waiting", m.Waiting)
	case *allocator.Return:
		return fmt.Sprintf("return %d slots", m.Slots)
	}
	return fmt.Sprintf("%T", m)
}

func formatHandover(messages []*Handover) string {
	var lines []string
	for _, m := range messages {
		line := fmt.Sprintf("handover of epoch %d, cutoff %t, last %t:", m.Epoch, !m.Cutoff.IsZero(), m.Last)
		for _, r := range m.Records {
			for _, t := range r.Tasks {
				line += fmt.Sprintf(" %s#%d(%s %s)", r.Submission, t.Index, t.Agent, t.Result.Outcome)
			}
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

func TestReleaseRemovesAllStateOfJobs(t *testing.T) {
	d := &driver{o: New(Settings{Partitions: 1, Retention: time.Minute, MaxWaiting: 10})}
	d.o.Claim(starter.Claim{Epoch: 1})
	d.o.Serve(scripter.Epoch, starter.Claim{Epoch: 1}, time.Time{})
	d.o.Submit(scripter.Epoch, d.request(), parseJob(t, scripter.Epoch, []string{"a", "3"}))
	d.o.Release(0)
	assert.Equal(t, d.o.IdentityCount(), 0)
	assert.Equal(t, d.o.OpenJobs(), 0)
	assert.Equal(t, len(d.o.sentTasks), 0)
}
