package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// Entry is the settings of an entry.
type Entry struct {
	Name       identifier.Entry
	DataCentre identifier.DataCentre
	// Callers is where callers' requests arrive, Link where other processes of
	// the system dial, Admin where operators look.
	Callers, Link, Admin netip.AddrPort
	Platform             Platform
	Timing               connector.Timing
	// Partitions is the same at every entry of a cell.
	Partitions int
	// Lease is how long one reading of the table confirms what an entry owns.
	Lease time.Duration
	// Refresh is the time between two readings of the table.
	Refresh    time.Duration
	Retention  time.Duration
	ClockBound time.Duration
	MaxWaiting int
	TypicalRun time.Duration
	// NormalShare is the share of the slots that work which is not urgent may use.
	NormalShare float64
	Templates   map[string]*Template
	Workspaces  map[string]*Workspace
}

// Platform says how to reach the platform's services.
type Platform struct {
	Addr    netip.AddrPort
	Timeout time.Duration
}

// Template is a kind of work.
type Template struct {
	// Path is where a backend server takes this work.
	Path string
	// Urgent work goes before all other work.
	Urgent bool
	// Timeout bounds the run of one task.
	Timeout time.Duration
	// Deadline is how long a caller waits for a job that names no deadline.
	Deadline time.Duration
}

// Workspace is a shop that may submit.
type Workspace struct {
	Team string
	// MaxTasks bounds the tasks of one job.
	MaxTasks int
}

// DefaultEntry returns the settings of an entry before its file is read.
func DefaultEntry() *Entry {
	return &Entry{
		Platform:    defaultPlatformAccess(),
		Timing:      defaultTiming(),
		Partitions:  64,
		Lease:       3 * time.Second,
		Refresh:     500 * time.Millisecond,
		Retention:   15 * time.Minute,
		ClockBound:  5 * time.Second,
		MaxWaiting:  100_000,
		TypicalRun:  250 * time.Millisecond,
		NormalShare: 0.5,
		Templates:   make(map[string]*Template),
		Workspaces:  make(map[string]*Workspace),
	}
}

// Role returns RoleEntry.
func (e *Entry) Role() Role { return RoleEntry }

// Fields describes the settings file of an entry.
func (e *Entry) Fields() checker.Object {
	fields := checker.Object{
		checker.Require(checker.Name("name", &e.Name, "the name of this entry, unique in its cell")),
		checker.Require(checker.Name("data_centre", &e.DataCentre, "the data centre that this entry is in")),
		checker.Require(checker.AddrPort("callers", &e.Callers, "where callers send their jobs")),
		checker.Require(checker.AddrPort("link", &e.Link, "where agents and other entries dial this one")),
		checker.Require(checker.AddrPort("admin", &e.Admin, "where operators read metrics and health")),
		checker.Integer("partitions", &e.Partitions, 1, 4096, "the number of partitions, the same at every entry of a cell"),
		checker.Duration("lease", &e.Lease, 500*time.Millisecond, 30*time.Second, "how long a reading of the table confirms what an entry owns"),
		checker.Duration("refresh", &e.Refresh, 50*time.Millisecond, 10*time.Second, "the time between two readings of the table, less than half of lease"),
		checker.Duration("retention", &e.Retention, time.Second, 24*time.Hour, "how long an identity is remembered"),
		checker.Duration("clock_bound", &e.ClockBound, 0, time.Minute, "how far callers' clocks may be wrong"),
		checker.Integer("max_waiting", &e.MaxWaiting, 1, 10_000_000, "how many tasks may wait for a slot"),
		checker.Duration("typical_run", &e.TypicalRun, time.Millisecond, time.Minute, "the run of a task of a template that has not run yet"),
		checker.Number("normal_share", &e.NormalShare, 0, 1, "the share of the slots that work which is not urgent may use"),
		checker.Map("templates", "the kinds of work", func(name string) checker.Object {
			t := &Template{Path: "/task", Timeout: 10 * time.Second, Deadline: 30 * time.Second}
			e.Templates[name] = t
			return t.fields()
		}),
		checker.Map("workspaces", "the shops that may submit", func(name string) checker.Object {
			w := &Workspace{MaxTasks: maxTasks}
			e.Workspaces[name] = w
			return w.fields()
		}),
	}
	fields = append(fields, e.Platform.fields()...)
	return append(fields, timingFields(&e.Timing)...)
}

// Relations are the conditions on several fields.
func (e *Entry) Relations() []checker.Relation {
	return append(timingRelations(&e.Timing), checker.Relation{
		Field:   "refresh",
		Holds:   func() bool { return 2*e.Refresh < e.Lease },
		Problem: "one slow reading of the table would end the lease",
		Remedy:  "choose less than half of lease",
	})
}

// maxTasks is the largest number of tasks in a job.
const maxTasks = 130

func (t *Template) fields() checker.Object {
	return checker.Object{
		checker.Path("path", &t.Path, "where a backend server takes this work"),
		checker.Boolean("urgent", &t.Urgent, "whether this work goes before all other work"),
		checker.Duration("timeout", &t.Timeout, 10*time.Millisecond, 10*time.Minute, "the longest run of one task"),
		checker.Duration("deadline", &t.Deadline, 10*time.Millisecond, 10*time.Minute, "how long a caller waits for a job that names no deadline"),
	}
}

func (w *Workspace) fields() checker.Object {
	return checker.Object{
		checker.Require(checker.Name("team", &w.Team, "the team that the workspace belongs to")),
		checker.Integer("max_tasks", &w.MaxTasks, 1, maxTasks, "the largest number of tasks in a job"),
	}
}

func defaultPlatformAccess() Platform {
	return Platform{Timeout: 2 * time.Second}
}

func (p *Platform) fields() checker.Object {
	return checker.Object{
		checker.Require(checker.AddrPort("platform", &p.Addr, "the platform's table service")),
		checker.Duration("platform_timeout", &p.Timeout, 10*time.Millisecond, time.Minute, "when a request to the platform is given up"),
	}
}

func defaultTiming() connector.Timing {
	return connector.Timing{HeartbeatInterval: 250 * time.Millisecond, SilenceTimeout: time.Second}
}

func timingFields(t *connector.Timing) checker.Object {
	return checker.Object{
		checker.Duration("heartbeat", &t.HeartbeatInterval, 10*time.Millisecond, 10*time.Second, "the longest pause between two messages on a link"),
		checker.Duration("silence", &t.SilenceTimeout, 50*time.Millisecond, time.Minute, "when a link without a message is dropped"),
	}
}

func timingRelations(t *connector.Timing) []checker.Relation {
	return []checker.Relation{{
		Field:   "silence",
		Holds:   func() bool { return t.SilenceTimeout >= 2*t.HeartbeatInterval },
		Problem: "one late heartbeat would drop the link",
		Remedy:  "choose at least twice the heartbeat",
	}}
}
