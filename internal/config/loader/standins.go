package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
)

// StandInPlatform is the settings of the stand-in for the platform's services.
type StandInPlatform struct {
	Listen netip.AddrPort
}

// DefaultStandInPlatform returns the settings before the file is read.
func DefaultStandInPlatform() *StandInPlatform {
	return &StandInPlatform{}
}

// Role returns RolePlatform.
func (p *StandInPlatform) Role() Role { return RolePlatform }

// Fields describes the settings file.
func (p *StandInPlatform) Fields() checker.Schema {
	return checker.Schema{
		checker.Require(checker.AddrPort("listen", &p.Listen, "where the stand-in serves")),
	}
}

// Constraints are the conditions on several fields.
func (p *StandInPlatform) Constraints() []checker.Constraint { return nil }

// StandInBackend is the settings of the stand-in for a backend server.
type StandInBackend struct {
	Listen netip.AddrPort
	Slots  int
	// Connections is how many connections the stand-in takes.
	Connections int
	// ShortestRun and LongestRun bound the run of a task.
	ShortestRun, LongestRun time.Duration
	// Stragglers is the share of tasks that run StragglerFactor times as long.
	Stragglers      float64
	StragglerFactor float64
	// FailEverything makes every task fail at once.
	FailEverything bool
	Seed           int
}

// DefaultStandInBackend returns the settings before the file is read.
func DefaultStandInBackend() *StandInBackend {
	return &StandInBackend{
		Slots:           8,
		Connections:     64,
		ShortestRun:     50 * time.Millisecond,
		LongestRun:      time.Second,
		StragglerFactor: 10,
		Seed:            1,
	}
}

// Role returns RoleBackend.
func (b *StandInBackend) Role() Role { return RoleBackend }

// Fields describes the settings file.
func (b *StandInBackend) Fields() checker.Schema {
	return checker.Schema{
		checker.Require(checker.AddrPort("listen", &b.Listen, "where the stand-in serves")),
		checker.Integer("slots", &b.Slots, 1, 1024, "how many tasks run at once"),
		checker.Integer("connections", &b.Connections, 1, 4096, "how many connections are taken"),
		checker.Duration("shortest_run", &b.ShortestRun, 0, time.Minute, "the shortest run of a task"),
		checker.Duration("longest_run", &b.LongestRun, 0, time.Minute, "the longest run of a task"),
		checker.Number("stragglers", &b.Stragglers, 0, 1, "the share of tasks that run longer"),
		checker.Number("straggler_factor", &b.StragglerFactor, 1, 1000, "how many times as long a straggler runs"),
		checker.Boolean("fail_everything", &b.FailEverything, "whether every task fails at once"),
		checker.Integer("seed", &b.Seed, 0, 1<<31, "the seed of the run times"),
	}
}

// Constraints are the conditions on several fields.
func (b *StandInBackend) Constraints() []checker.Constraint {
	return []checker.Constraint{{
		Field:   "longest_run",
		Holds:   func() bool { return b.LongestRun >= b.ShortestRun },
		Problem: "it is shorter than the shortest run",
		Remedy:  "choose at least shortest_run",
	}}
}
