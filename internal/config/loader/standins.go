package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
)

// StandInPlatform holds the settings of the stand-in for the platform's services.
type StandInPlatform struct {
	Listen netip.AddrPort
}

// DefaultStandInPlatform returns the default settings.
func DefaultStandInPlatform() *StandInPlatform {
	return &StandInPlatform{}
}

// Role returns RolePlatform.
func (p *StandInPlatform) Role() Role { return RolePlatform }

// Fields returns the schema of the settings file.
func (p *StandInPlatform) Fields() checker.Schema {
	return checker.Schema{
		checker.Require(checker.AddrPort("listen", &p.Listen, "where the stand-in listens")),
	}
}

// Constraints returns the conditions on several fields.
func (p *StandInPlatform) Constraints() []checker.Constraint { return nil }

// StandInBackend holds the settings of the stand-in for a backend server.
type StandInBackend struct {
	Listen netip.AddrPort
	// Slots is the number of tasks that run at the same time.
	Slots int
	// Connections is the number of connections that the stand-in accepts.
	Connections int
	// ShortestRun and LongestRun bound the run time of a task.
	ShortestRun, LongestRun time.Duration
	// Stragglers is the share of tasks that run StragglerFactor times as long.
	Stragglers      float64
	StragglerFactor float64
	// FailEverything makes every task fail immediately.
	FailEverything bool
	// Seed seeds the random run times.
	Seed int
}

// DefaultStandInBackend returns the default settings.
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

// Fields returns the schema of the settings file.
func (b *StandInBackend) Fields() checker.Schema {
	return checker.Schema{
		checker.Require(checker.AddrPort("listen", &b.Listen, "where the stand-in listens")),
		checker.Integer("slots", &b.Slots, 1, 1024, "the number of tasks that run at the same time"),
		checker.Integer("connections", &b.Connections, 1, 4096, "the number of connections that are accepted"),
		checker.Duration("shortest_run", &b.ShortestRun, 0, time.Minute, "the shortest run time of a task"),
		checker.Duration("longest_run", &b.LongestRun, 0, time.Minute, "the longest run time of a task"),
		checker.Number("stragglers", &b.Stragglers, 0, 1, "the share of tasks that run longer"),
		checker.Number("straggler_factor", &b.StragglerFactor, 1, 1000, "how many times as long as other tasks a straggler runs"),
		checker.Boolean("fail_everything", &b.FailEverything, "whether every task fails immediately"),
		checker.Integer("seed", &b.Seed, 0, 1<<31, "the seed of the random run times"),
	}
}

// Constraints returns the conditions on several fields.
func (b *StandInBackend) Constraints() []checker.Constraint {
	return []checker.Constraint{{
		Field:   "longest_run",
		Holds:   func() bool { return b.LongestRun >= b.ShortestRun },
		Problem: "shorter than shortest_run",
		Remedy:  "choose a duration of at least shortest_run",
	}}
}
