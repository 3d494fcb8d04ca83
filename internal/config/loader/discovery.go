package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// Discovery says how a process on the users' platform finds the gateways.
type Discovery struct {
	// Store is the platform's table store.
	Store netip.AddrPort
	// Seeds are machines that may run a gateway, by any of their addresses;
	// SeedLinkPort is the link port of a gateway there.
	Seeds        []netip.AddrPort
	SeedLinkPort int
}

func (d *Discovery) fields() checker.Object {
	return checker.Object{
		checker.Require(checker.AddrPort("store", &d.Store, "the platform's table store")),
		checker.AddrPorts("seeds", &d.Seeds, "machines that may run a gateway"),
		checker.Integer("seed_link_port", &d.SeedLinkPort, 1, 65535, "the link port of the gateways on the seeds"),
	}
}

// SeedLinks returns the link addresses of the seeds.
func (d *Discovery) SeedLinks() []netip.AddrPort {
	links := make([]netip.AddrPort, len(d.Seeds))
	for i, s := range d.Seeds {
		links[i] = netip.AddrPortFrom(s.Addr(), uint16(d.SeedLinkPort))
	}
	return links
}

// quickTiming is the pace of links that carry transient jobs: a heartbeat renews the
// permit several times in its length, and a silent link is dropped before it ends.
func quickTiming() connector.Timing {
	return connector.Timing{HeartbeatInterval: 100 * time.Millisecond, SilenceTimeout: 400 * time.Millisecond}
}
