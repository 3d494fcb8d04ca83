package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// Agent holds the settings of an agent.
type Agent struct {
	Name       identifier.Agent
	DataCentre identifier.DataCentre
	Rack       string
	// Backend is the address of the backend server on the same machine. Admin is the
	// address that serves metrics and health.
	Backend, Admin netip.AddrPort
	Platform       PlatformAccess
	Timing         connector.Timing
	// Slots is the number of tasks that run at the same time.
	Slots int
	// Connections bounds the open connections to the backend server.
	Connections int
	// Retention is how long a start is remembered.
	Retention time.Duration
}

// DefaultAgent returns the default settings of an agent.
func DefaultAgent() *Agent {
	return &Agent{
		Platform:    defaultPlatformAccess(),
		Timing:      defaultTiming(),
		Slots:       8,
		Connections: 64,
		Retention:   16 * time.Minute,
	}
}

// Role returns RoleAgent.
func (a *Agent) Role() Role { return RoleAgent }

// Fields returns the schema of the settings file of an agent.
func (a *Agent) Fields() checker.Schema {
	fields := checker.Schema{
		checker.Require(checker.Name("name", &a.Name, "the name of this agent, unique in its cell")),
		checker.Require(checker.Name("data_centre", &a.DataCentre, "the data centre of this agent")),
		checker.Require(checker.Name("rack", &a.Rack, "the rack of this agent")),
		checker.Require(checker.AddrPort("backend", &a.Backend, "the backend server on the same machine")),
		checker.Require(checker.AddrPort("admin", &a.Admin, "where metrics and health are served")),
		checker.Integer("slots", &a.Slots, 1, 1024, "the number of tasks that run at the same time"),
		checker.Integer("connections", &a.Connections, 1, 4096, "the maximum number of connections to the backend server"),
		checker.Duration("retention", &a.Retention, time.Second, 24*time.Hour, "how long a start is remembered, at least the sum of retention and clock_bound of the entries"),
	}
	fields = append(fields, a.Platform.fields()...)
	return append(fields, timingFields(&a.Timing)...)
}

// Constraints returns the conditions on several fields.
func (a *Agent) Constraints() []checker.Constraint {
	return append(timingConstraints(&a.Timing), checker.Constraint{
		Field:   "connections",
		Holds:   func() bool { return a.Connections >= a.Slots },
		Problem: "a slot without a connection cannot run a task",
		Remedy:  "choose at least as many connections as slots",
	})
}
