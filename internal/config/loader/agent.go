package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// Agent is the settings of an agent.
type Agent struct {
	Name       identifier.Agent
	DataCentre identifier.DataCentre
	Rack       string
	// Backend is the backend server beside this agent, Admin where operators
	// look.
	Backend, Admin netip.AddrPort
	Platform       PlatformAccess
	Timing         connector.Timing
	// Slots is how many tasks run at once.
	Slots int
	// Connections bounds the open connections to the backend server.
	Connections int
	Retention   time.Duration
}

// DefaultAgent returns the settings of an agent before its file is read.
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

// Fields describes the settings file of an agent.
func (a *Agent) Fields() checker.Schema {
	fields := checker.Schema{
		checker.Require(checker.Name("name", &a.Name, "the name of this agent, unique in its cell")),
		checker.Require(checker.Name("data_centre", &a.DataCentre, "the data centre that this agent is in")),
		checker.Require(checker.Name("rack", &a.Rack, "the rack that this agent is in")),
		checker.Require(checker.AddrPort("backend", &a.Backend, "the backend server beside this agent")),
		checker.Require(checker.AddrPort("admin", &a.Admin, "where operators read metrics and health")),
		checker.Integer("slots", &a.Slots, 1, 1024, "how many tasks run at once"),
		checker.Integer("connections", &a.Connections, 1, 4096, "the most connections to the backend server"),
		checker.Duration("retention", &a.Retention, time.Second, 24*time.Hour, "how long a start is remembered, at least retention and clock_bound of the entries together"),
	}
	fields = append(fields, a.Platform.fields()...)
	return append(fields, timingFields(&a.Timing)...)
}

// Constraints are the conditions on several fields.
func (a *Agent) Constraints() []checker.Constraint {
	return append(timingRelations(&a.Timing), checker.Constraint{
		Field:   "connections",
		Holds:   func() bool { return a.Connections >= a.Slots },
		Problem: "a slot without a connection can run nothing",
		Remedy:  "choose at least as many connections as slots",
	})
}
