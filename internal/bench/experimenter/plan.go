// Package experimenter puts a load on a cell and measures what its callers see. The
// load is open: jobs are sent when their time has come, whether or not earlier ones
// were answered, and each latency counts from that time, so that a slow answer
// delays no measurement of the next.
package experimenter

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
)

// Plan is a load.
type Plan struct {
	// Callers and Admins are the ports of the cell's entries, and Agents the admin
	// ports of its agents, by name.
	Callers, Admins, Agents map[string]netip.AddrPort
	// Workspaces and the templates must be declared at the entries.
	Workspace, UrgentTemplate, LongTemplate string
	// Rate is how many tasks are sent in a second.
	Rate     float64
	Duration time.Duration
	// Tasks is the number of tasks in a job.
	Tasks int
	// ShortLeast and ShortMost bound the runs of the tasks of urgent jobs.
	ShortLeast, ShortMost time.Duration
	// LongShare is the share of jobs that are not urgent and run LongRun.
	LongShare float64
	LongRun   time.Duration
	// Stragglers is the share of urgent tasks that run StragglerFactor times as long.
	Stragglers      float64
	StragglerFactor float64
	// From PeakAfter on, for PeakFor, the rate is Peak times as high.
	Peak               float64
	PeakAfter, PeakFor time.Duration
	// Deadline is how long the callers wait.
	Deadline time.Duration
	Seed     int
}

// DefaultPlan returns a load of short urgent tasks with some long work, at half of
// the capacity of 11 workers with 8 slots.
func DefaultPlan() *Plan {
	return &Plan{
		Callers:         make(map[string]netip.AddrPort),
		Admins:          make(map[string]netip.AddrPort),
		Agents:          make(map[string]netip.AddrPort),
		Workspace:       "nails_and_tacks",
		UrgentTemplate:  "stock_lookup",
		LongTemplate:    "nightly_report",
		Rate:            150,
		Duration:        20 * time.Second,
		Tasks:           4,
		ShortLeast:      50 * time.Millisecond,
		ShortMost:       500 * time.Millisecond,
		LongShare:       0.02,
		LongRun:         3 * time.Second,
		Stragglers:      0.01,
		StragglerFactor: 10,
		Peak:            1,
		Deadline:        10 * time.Second,
		Seed:            1,
	}
}

// Role returns loader.RoleLoad.
func (p *Plan) Role() loader.Role { return loader.RoleLoad }

// Fields describes the settings file of a load.
func (p *Plan) Fields() checker.Schema {
	ports := func(to map[string]netip.AddrPort, field string) func(string) checker.Schema {
		return func(name string) checker.Schema {
			addr := new(netip.AddrPort)
			set := checker.Require(checker.AddrPort(field, addr, "the port"))
			return checker.Schema{checker.Then(set, func() { to[name] = *addr })}
		}
	}
	return checker.Schema{
		checker.Require(checker.Map("entries", "where the entries take callers", ports(p.Callers, "callers"))),
		checker.Map("entry_admins", "the operators' ports of the entries", ports(p.Admins, "admin")),
		checker.Map("agent_admins", "the operators' ports of the agents", ports(p.Agents, "admin")),
		checker.Name("workspace", &p.Workspace, "the workspace that submits"),
		checker.Name("urgent_template", &p.UrgentTemplate, "the template of urgent jobs"),
		checker.Name("long_template", &p.LongTemplate, "the template of long jobs"),
		checker.Number("rate", &p.Rate, 0.1, 100_000, "tasks a second"),
		checker.Duration("duration", &p.Duration, time.Second, time.Hour, "how long jobs are sent"),
		checker.Integer("tasks", &p.Tasks, 1, 130, "tasks in a job"),
		checker.Duration("short_least", &p.ShortLeast, time.Millisecond, time.Minute, "the shortest run of an urgent task"),
		checker.Duration("short_most", &p.ShortMost, time.Millisecond, time.Minute, "the longest run of an urgent task"),
		checker.Number("long_share", &p.LongShare, 0, 1, "the share of long jobs"),
		checker.Duration("long_run", &p.LongRun, time.Millisecond, 10*time.Minute, "the run of a long task"),
		checker.Number("stragglers", &p.Stragglers, 0, 1, "the share of urgent tasks that run longer"),
		checker.Number("straggler_factor", &p.StragglerFactor, 1, 1000, "how many times as long a straggler runs"),
		checker.Number("peak", &p.Peak, 0.1, 100, "how many times the rate at the peak"),
		checker.Duration("peak_after", &p.PeakAfter, 0, time.Hour, "when the peak begins"),
		checker.Duration("peak_for", &p.PeakFor, 0, time.Hour, "how long the peak lasts"),
		checker.Duration("deadline", &p.Deadline, time.Millisecond, 10*time.Minute, "how long callers wait"),
		checker.Integer("seed", &p.Seed, 0, 1<<31, "the seed of the runs and times"),
	}
}

// Constraints are the conditions on several fields.
func (p *Plan) Constraints() []checker.Constraint {
	return []checker.Constraint{{
		Field:   "short_most",
		Holds:   func() bool { return p.ShortMost >= p.ShortLeast },
		Problem: "it is shorter than the shortest run",
		Remedy:  "choose at least short_least",
	}}
}

// arrival is one job of the load.
type arrival struct {
	// at is when the job is sent, from the beginning.
	at     time.Duration
	urgent bool
	peak   bool
	runs   []time.Duration
	body   []string
}

// ideal is how long the job takes on empty workers.
func (a *arrival) ideal() time.Duration {
	longest := time.Millisecond
	for _, run := range a.runs {
		longest = max(longest, run)
	}
	return longest
}

// arrivals draws all jobs of a plan: a Poisson stream, the same for the same seed.
func (p *Plan) arrivals() []arrival {
	random := rand.New(rand.NewPCG(uint64(p.Seed), 1))
	var all []arrival
	for at := time.Duration(0); at < p.Duration; {
		rate := p.Rate / float64(p.Tasks)
		peak := p.Peak != 1 && at >= p.PeakAfter && at < p.PeakAfter+p.PeakFor
		if peak {
			rate *= p.Peak
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		all = append(all, p.draw(random, at, peak))
	}
	return all
}

func (p *Plan) draw(random *rand.Rand, at time.Duration, peak bool) arrival {
	a := arrival{at: at, peak: peak, urgent: random.Float64() >= p.LongShare}
	for range p.Tasks {
		run := p.LongRun
		if a.urgent {
			run = p.ShortLeast + time.Duration(random.Float64()*float64(p.ShortMost-p.ShortLeast))
			if random.Float64() < p.Stragglers {
				run = time.Duration(float64(run) * p.StragglerFactor)
			}
		}
		a.runs = append(a.runs, run)
		a.body = append(a.body, fmt.Sprintf(`{"run_ms": %d}`, run.Milliseconds()))
	}
	return a
}
