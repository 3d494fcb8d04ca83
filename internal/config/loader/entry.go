package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// Entry holds the settings of an entry.
type Entry struct {
	Name       identifier.Entry
	DataCentre identifier.DataCentre
	// Callers is the address for requests of callers, Link the address for connections
	// of other processes of the system, Admin the address that serves metrics and health.
	Callers, Link, Admin netip.AddrPort
	Platform             PlatformAccess
	Timing               connector.Timing
	// Partitions is the number of partitions, the same at every entry of a cell.
	Partitions int
	// Lease is how long an entry may rely on its last read of the assignment table to know
	// which partitions it owns.
	Lease time.Duration
	// Refresh is the time between two reads of the assignment table.
	Refresh time.Duration
	// Retention is how long the identity of a job is remembered.
	Retention time.Duration
	// ClockBound is the maximum error of the callers' clocks.
	ClockBound time.Duration
	// MaxWaiting bounds the tasks that wait for a slot.
	MaxWaiting int
	// TypicalRun is the estimated run time of a task whose template has not run yet.
	TypicalRun time.Duration
	// NormalShare is the share of the slots that tasks which are not urgent may use.
	NormalShare float64
	Templates   map[string]*Template
	Workspaces  map[string]*Workspace
}

// PlatformAccess holds the settings of a client of the platform's services.
type PlatformAccess struct {
	Addr    netip.AddrPort
	Timeout time.Duration
}

// Template holds the settings of one kind of task.
type Template struct {
	// Path is the HTTP path at which a backend server accepts these tasks.
	Path string
	// Urgent tasks go before all others.
	Urgent bool
	// Timeout bounds the run time of one task.
	Timeout time.Duration
	// Deadline is how long a caller waits for a job that specifies no deadline.
	Deadline time.Duration
}

// Workspace holds the settings of a workspace that may submit jobs.
type Workspace struct {
	Team string
	// MaxTasks bounds the tasks of one job.
	MaxTasks int
}

// DefaultEntry returns the default settings of an entry.
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

// Fields returns the schema of the settings file of an entry.
func (e *Entry) Fields() checker.Schema {
	fields := checker.Schema{
		checker.Require(checker.Name("name", &e.Name, "the name of this entry, unique in its cell")),
		checker.Require(checker.Name("data_centre", &e.DataCentre, "the data centre of this entry")),
		checker.Require(checker.AddrPort("callers", &e.Callers, "where callers submit jobs")),
		checker.Require(checker.AddrPort("link", &e.Link, "where agents and other entries connect")),
		checker.Require(checker.AddrPort("admin", &e.Admin, "where metrics and health are served")),
		checker.Integer("partitions", &e.Partitions, 1, 4096, "the number of partitions, the same at every entry of a cell"),
		checker.Duration("lease", &e.Lease, 500*time.Millisecond, 30*time.Second, "how long an entry may rely on its last read of the assignment table"),
		checker.Duration("refresh", &e.Refresh, 50*time.Millisecond, 10*time.Second, "the time between two reads of the assignment table, less than half of lease"),
		checker.Duration("retention", &e.Retention, time.Second, 24*time.Hour, "how long the identity of a job is remembered"),
		checker.Duration("clock_bound", &e.ClockBound, 0, time.Minute, "the maximum error of the callers' clocks"),
		checker.Integer("max_waiting", &e.MaxWaiting, 1, 10_000_000, "the maximum number of tasks that wait for a slot"),
		checker.Duration("typical_run", &e.TypicalRun, time.Millisecond, time.Minute, "the estimated run time of a task whose template has not run yet"),
		checker.Number("normal_share", &e.NormalShare, 0, 1, "the share of the slots that tasks which are not urgent may use"),
		checker.Map("templates", "the kinds of tasks", func(name string) checker.Schema {
			t := &Template{Path: "/task", Timeout: 10 * time.Second, Deadline: 30 * time.Second}
			e.Templates[name] = t
			return t.fields()
		}),
		checker.Map("workspaces", "the workspaces that may submit jobs", func(name string) checker.Schema {
			w := &Workspace{MaxTasks: maxTasks}
			e.Workspaces[name] = w
			return w.fields()
		}),
	}
	fields = append(fields, e.Platform.fields()...)
	return append(fields, timingFields(&e.Timing)...)
}

// Constraints returns the conditions on several fields.
func (e *Entry) Constraints() []checker.Constraint {
	return append(timingConstraints(&e.Timing), checker.Constraint{
		Field:   "refresh",
		Holds:   func() bool { return 2*e.Refresh < e.Lease },
		Problem: "one slow read of the assignment table would let the lease expire",
		Remedy:  "choose less than half of lease",
	})
}

// maxTasks is the maximum number of tasks in a job.
const maxTasks = 130

func (t *Template) fields() checker.Schema {
	return checker.Schema{
		checker.Path("path", &t.Path, "where a backend server accepts these tasks"),
		checker.Boolean("urgent", &t.Urgent, "whether these tasks go before all others"),
		checker.Duration("timeout", &t.Timeout, 10*time.Millisecond, 10*time.Minute, "the maximum run time of one task"),
		checker.Duration("deadline", &t.Deadline, 10*time.Millisecond, 10*time.Minute, "how long a caller waits for a job that specifies no deadline"),
	}
}

func (w *Workspace) fields() checker.Schema {
	return checker.Schema{
		checker.Require(checker.Name("team", &w.Team, "the team that owns the workspace")),
		checker.Integer("max_tasks", &w.MaxTasks, 1, maxTasks, "the maximum number of tasks in a job"),
	}
}

func defaultPlatformAccess() PlatformAccess {
	return PlatformAccess{Timeout: 2 * time.Second}
}

func (p *PlatformAccess) fields() checker.Schema {
	return checker.Schema{
		checker.Require(checker.AddrPort("platform", &p.Addr, "the platform's table service")),
		checker.Duration("platform_timeout", &p.Timeout, 10*time.Millisecond, time.Minute, "the timeout of a request to the platform"),
	}
}

func defaultTiming() connector.Timing {
	return connector.Timing{HeartbeatInterval: 250 * time.Millisecond, SilenceTimeout: time.Second}
}

func timingFields(t *connector.Timing) checker.Schema {
	return checker.Schema{
		checker.Duration("heartbeat", &t.HeartbeatInterval, 10*time.Millisecond, 10*time.Second, "the maximum time between two messages on a link"),
		checker.Duration("silence", &t.SilenceTimeout, 50*time.Millisecond, time.Minute, "how long a link may be silent before it is closed"),
	}
}

func timingConstraints(t *connector.Timing) []checker.Constraint {
	return []checker.Constraint{{
		Field:   "silence",
		Holds:   func() bool { return t.SilenceTimeout >= 2*t.HeartbeatInterval },
		Problem: "one late heartbeat would close the link",
		Remedy:  "choose at least twice the heartbeat",
	}}
}
