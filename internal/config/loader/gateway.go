package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// Gateway is the settings of a gateway.
type Gateway struct {
	Name       identifier.Entry
	DataCentre identifier.DataCentre
	// Callers is where callers' requests arrive, Ready where the balancer asks whether
	// more may come, Link where other processes of the system dial, Admin where
	// operators look.
	Callers, Ready, Link, Admin netip.AddrPort
	// Advertised is where others reach Link when something forwards to it. Its zero value
	// stands for Link itself.
	Advertised netip.AddrPort
	Discovery
	Timing connector.Timing
	// Grace is how long after the signal to stop the process is killed.
	Grace time.Duration
}

// DefaultGateway returns the settings of a gateway before its file is read.
func DefaultGateway() *Gateway {
	return &Gateway{Timing: quickTiming(), Grace: 6 * time.Second}
}

// LinkAddr returns the address that other processes dial.
func (g *Gateway) LinkAddr() netip.AddrPort {
	if g.Advertised.IsValid() {
		return g.Advertised
	}
	return g.Link
}

// Role returns RoleGateway.
func (g *Gateway) Role() Role { return RoleGateway }

// Fields describes the settings file of a gateway.
func (g *Gateway) Fields() checker.Schema {
	fields := checker.Schema{
		checker.Require(checker.Name("name", &g.Name, "the name of this gateway, unique among all")),
		checker.Require(checker.Name("data_centre", &g.DataCentre, "the data centre that this gateway is in")),
		checker.Require(checker.AddrPort("callers", &g.Callers, "where callers send their jobs")),
		checker.Require(checker.AddrPort("ready", &g.Ready, "where the balancer asks whether more callers may come")),
		checker.Require(checker.AddrPort("link", &g.Link, "where agents and other gateways dial this one")),
		checker.AddrPort("link_advertised", &g.Advertised, "where others dial this gateway, when something forwards to its link port"),
		checker.Require(checker.AddrPort("admin", &g.Admin, "where operators read metrics and health")),
		checker.Duration("grace", &g.Grace, 100*time.Millisecond, 10*time.Minute, "how long after the signal to stop the process is killed"),
	}
	fields = append(fields, g.Discovery.fields()...)
	return append(fields, timingFields(&g.Timing)...)
}

// Constraints are the conditions on several fields.
func (g *Gateway) Constraints() []checker.Constraint {
	return timingRelations(&g.Timing)
}
