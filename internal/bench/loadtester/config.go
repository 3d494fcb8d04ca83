// Package loadtester runs an open-loop load test against a cell and measures what callers
// see. Each job is submitted at its scheduled time, whether or not earlier jobs were
// answered, and its latency is measured from that time. A slow answer therefore neither
// delays the jobs after it nor hides the latency that they see.
package loadtester

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
)

// Config describes a load test. It implements loader.Settings.
type Config struct {
	// CallerAddrs and EntryAdminAddrs are the addresses of the entries for callers and
	// for operators, by the name of the entry. AgentAdminAddrs are the addresses of the
	// agents for operators, by the name of the agent.
	CallerAddrs, EntryAdminAddrs, AgentAdminAddrs map[string]netip.AddrPort
	// The workspace and the templates must be declared at the entries.
	Workspace, UrgentTemplate, LongTemplate string
	// TasksPerSecond is the mean rate of tasks outside the peak.
	TasksPerSecond float64
	// Duration is how long jobs are submitted.
	Duration    time.Duration
	TasksPerJob int
	// MinUrgentRun and MaxUrgentRun bound the run times of the tasks of urgent jobs,
	// before StragglerFactor is applied.
	MinUrgentRun, MaxUrgentRun time.Duration
	// LongShare is the share of jobs that are not urgent. Each of their tasks runs for
	// LongRun.
	LongShare float64
	LongRun   time.Duration
	// StragglerShare is the share of urgent tasks that run StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor float64
	// The rate is PeakFactor times as high for PeakDuration, from PeakAfter on. There is
	// no peak if PeakFactor is 1.
	PeakFactor              float64
	PeakAfter, PeakDuration time.Duration
	// Deadline is the deadline of each job: how long its caller waits for the answer.
	Deadline time.Duration
	// Seed determines the arrivals. The same seed gives the same load.
	Seed int
}

// DefaultConfig returns a load test of mostly urgent jobs and some long ones, at half of
// the capacity of 11 workers with 8 slots each.
func DefaultConfig() *Config {
	return &Config{
		CallerAddrs:     make(map[string]netip.AddrPort),
		EntryAdminAddrs: make(map[string]netip.AddrPort),
		AgentAdminAddrs: make(map[string]netip.AddrPort),
		Workspace:       "nails_and_tacks",
		UrgentTemplate:  "stock_lookup",
		LongTemplate:    "nightly_report",
		TasksPerSecond:  150,
		Duration:        20 * time.Second,
		TasksPerJob:     4,
		MinUrgentRun:    50 * time.Millisecond,
		MaxUrgentRun:    500 * time.Millisecond,
		LongShare:       0.02,
		LongRun:         3 * time.Second,
		StragglerShare:  0.01,
		StragglerFactor: 10,
		PeakFactor:      1,
		Deadline:        10 * time.Second,
		Seed:            1,
	}
}

// Role returns loader.RoleLoad.
func (cfg *Config) Role() loader.Role { return loader.RoleLoad }

// Fields describes the settings file of a load test.
func (cfg *Config) Fields() checker.Schema {
	addrs := func(to map[string]netip.AddrPort, field string) func(string) checker.Schema {
		return func(name string) checker.Schema {
			addr := new(netip.AddrPort)
			set := checker.Require(checker.AddrPort(field, addr, "the port"))
			return checker.Schema{checker.Then(set, func() { to[name] = *addr })}
		}
	}
	return checker.Schema{
		checker.Require(checker.Map("entries", "where the entries take callers", addrs(cfg.CallerAddrs, "callers"))),
		checker.Map("entry_admins", "the operators' ports of the entries", addrs(cfg.EntryAdminAddrs, "admin")),
		checker.Map("agent_admins", "the operators' ports of the agents", addrs(cfg.AgentAdminAddrs, "admin")),
		checker.Name("workspace", &cfg.Workspace, "the workspace that submits"),
		checker.Name("urgent_template", &cfg.UrgentTemplate, "the template of urgent jobs"),
		checker.Name("long_template", &cfg.LongTemplate, "the template of long jobs"),
		checker.Number("rate", &cfg.TasksPerSecond, 0.1, 100_000, "tasks a second"),
		checker.Duration("duration", &cfg.Duration, time.Second, time.Hour, "how long jobs are sent"),
		checker.Integer("tasks", &cfg.TasksPerJob, 1, 130, "tasks in a job"),
		checker.Duration("short_least", &cfg.MinUrgentRun, time.Millisecond, time.Minute, "the shortest run of an urgent task"),
		checker.Duration("short_most", &cfg.MaxUrgentRun, time.Millisecond, time.Minute, "the longest run of an urgent task"),
		checker.Number("long_share", &cfg.LongShare, 0, 1, "the share of long jobs"),
		checker.Duration("long_run", &cfg.LongRun, time.Millisecond, 10*time.Minute, "the run of a long task"),
		checker.Number("stragglers", &cfg.StragglerShare, 0, 1, "the share of urgent tasks that run longer"),
		checker.Number("straggler_factor", &cfg.StragglerFactor, 1, 1000, "how many times as long a straggler runs"),
		checker.Number("peak", &cfg.PeakFactor, 0.1, 100, "how many times the rate at the peak"),
		checker.Duration("peak_after", &cfg.PeakAfter, 0, time.Hour, "when the peak begins"),
		checker.Duration("peak_for", &cfg.PeakDuration, 0, time.Hour, "how long the peak lasts"),
		checker.Duration("deadline", &cfg.Deadline, time.Millisecond, 10*time.Minute, "how long callers wait"),
		checker.Integer("seed", &cfg.Seed, 0, 1<<31, "the seed of the runs and times"),
	}
}

// Constraints returns the conditions that several fields must meet together.
func (cfg *Config) Constraints() []checker.Constraint {
	return []checker.Constraint{{
		Field:   "short_most",
		Holds:   func() bool { return cfg.MaxUrgentRun >= cfg.MinUrgentRun },
		Problem: "it is shorter than the shortest run",
		Remedy:  "choose at least short_least",
	}}
}

// arrival is one job of the load.
type arrival struct {
	// at is when the job is submitted, relative to the start of the load.
	at     time.Duration
	urgent bool
	peak   bool
	// runs and inputs are the run times and the inputs of the tasks.
	runs   []time.Duration
	inputs []string
}

// idealLatency returns how long the job takes on idle workers: the run time of its longest
// task, but at least 1 ms.
func (a *arrival) idealLatency() time.Duration {
	longest := time.Millisecond
	for _, run := range a.runs {
		longest = max(longest, run)
	}
	return longest
}

// arrivals generates all jobs of the load. They arrive as a Poisson process.
func (cfg *Config) arrivals() []arrival {
	random := rand.New(rand.NewPCG(uint64(cfg.Seed), 1))
	var all []arrival
	for at := time.Duration(0); at < cfg.Duration; {
		rate := cfg.TasksPerSecond / float64(cfg.TasksPerJob)
		peak := cfg.PeakFactor != 1 && at >= cfg.PeakAfter && at < cfg.PeakAfter+cfg.PeakDuration
		if peak {
			rate *= cfg.PeakFactor
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		all = append(all, cfg.newArrival(random, at, peak))
	}
	return all
}

// newArrival generates a job that arrives at the given time.
func (cfg *Config) newArrival(random *rand.Rand, at time.Duration, peak bool) arrival {
	a := arrival{at: at, peak: peak, urgent: random.Float64() >= cfg.LongShare}
	for range cfg.TasksPerJob {
		run := cfg.LongRun
		if a.urgent {
			run = cfg.MinUrgentRun + time.Duration(random.Float64()*float64(cfg.MaxUrgentRun-cfg.MinUrgentRun))
			if random.Float64() < cfg.StragglerShare {
				run = time.Duration(float64(run) * cfg.StragglerFactor)
			}
		}
		a.runs = append(a.runs, run)
		a.inputs = append(a.inputs, fmt.Sprintf(`{"run_ms": %d}`, run.Milliseconds()))
	}
	return a
}
