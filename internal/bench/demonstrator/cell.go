package demonstrator

import (
	"context"
	"net/netip"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	agent "github.com/dandeliongrade/dandeliongrade/internal/agent/runner"
	"github.com/dandeliongrade/dandeliongrade/internal/backend/emulator"
	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	entry "github.com/dandeliongrade/dandeliongrade/internal/entry/runner"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/faker"
)

// loopback is the address that every listener of a cell binds to. The kernel chooses a free
// port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// CellConfig configures a cell.
type CellConfig struct {
	Entries int
	Agents  int
	// Backend holds the settings of every stand-in backend server, except that each has a seed
	// of its own.
	Backend loader.StandInBackend
	// Entry and Agent hold the settings that all entries and all agents share. Names, addresses
	// and data centres are set by Start.
	Entry loader.Entry
	Agent loader.Agent
	Clock identifier.Clock
	Log   *zap.Logger
}

// Cell is a whole cell inside this process: entries, agents, backend servers and the platform,
// connected over loopback sockets.
type Cell struct {
	// CallerAddrs are the addresses at which the entries accept jobs.
	CallerAddrs []netip.AddrPort
	Backends    []*emulator.Server
	Store       *faker.Store

	cfg      CellConfig
	platform netip.AddrPort
	// cancels holds the functions that end the roles, in the order of their starts.
	cancels []context.CancelFunc
	// ended receives the result of each role that has ended.
	ended chan error
}

// Start starts the roles of a cell. The caller must close the cell.
func Start(ctx context.Context, cfg CellConfig) (*Cell, error) {
	c := &Cell{cfg: cfg, Store: &faker.Store{}, ended: make(chan error, 1+cfg.Entries+2*cfg.Agents)}
	if err := c.start(ctx); err != nil {
		return nil, errors.Wrap(errors.WithMessage(err, "start a cell"), "check that loopback ports are free")
	}
	return c, nil
}

func (c *Cell) start(ctx context.Context) error {
	ln, err := listener.Listen(loopback)
	if err != nil {
		return err
	}
	c.platform = listener.Addr(ln)
	c.run(ctx, func(ctx context.Context) error { return (&faker.Server{Store: c.Store}).Run(ctx, ln) })
	for i := range c.cfg.Entries {
		if err := c.startEntry(ctx, i); err != nil {
			return err
		}
	}
	for i := range c.cfg.Agents {
		if err := c.startAgent(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cell) startEntry(ctx context.Context, i int) error {
	settings := c.cfg.Entry
	settings.Name = identifier.Entry("entry-" + strconv.Itoa(i+1))
	settings.DataCentre = dataCentre(i)
	settings.Platform.Addr = c.platform
	settings.Callers, settings.Link, settings.Admin = loopback, loopback, loopback
	ports, err := entry.Listen(&settings)
	if err != nil {
		return err
	}
	settings.Link = listener.Addr(ports.Link)
	c.CallerAddrs = append(c.CallerAddrs, listener.Addr(ports.Callers))
	deps, err := entry.NewDependencies(&settings)
	if err != nil {
		return err
	}
	r := entry.New(&settings, c.cfg.Log, c.cfg.Clock, deps)
	c.run(ctx, func(ctx context.Context) error { return r.Serve(ctx, ports) })
	return nil
}

// startAgent starts an agent and its backend server.
func (c *Cell) startAgent(ctx context.Context, i int) error {
	ln, err := listener.Listen(loopback)
	if err != nil {
		return err
	}
	backend := c.cfg.Backend
	backend.Seed += i
	server := emulator.New(backend)
	c.Backends = append(c.Backends, server)
	c.run(ctx, func(ctx context.Context) error { return server.Run(ctx, ln) })

	settings := c.cfg.Agent
	settings.Name = identifier.Agent("agent-" + strconv.Itoa(i+1))
	settings.DataCentre = dataCentre(i)
	settings.Rack = "rack-" + strconv.Itoa(i/3+1)
	settings.Platform.Addr = c.platform
	settings.Backend = listener.Addr(ln)
	deps, err := agent.NewDependencies(&settings)
	if err != nil {
		return err
	}
	admin, err := listener.Listen(loopback)
	if err != nil {
		return err
	}
	r := agent.New(&settings, c.cfg.Log, c.cfg.Clock, deps)
	c.run(ctx, func(ctx context.Context) error { return r.Serve(ctx, admin) })
	return nil
}

// dataCentre spreads entries, and likewise agents, over three data centres.
func dataCentre(i int) identifier.DataCentre {
	return identifier.DataCentre("dc-" + strconv.Itoa(i%3+1))
}

// run runs a role in a goroutine of its own until Close.
func (c *Cell) run(ctx context.Context, role func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	c.cancels = append(c.cancels, cancel)
	go func() { c.ended <- role(ctx) }()
}

// Close stops the roles in reverse order of their start and returns the first error.
func (c *Cell) Close() error {
	var first error
	for i := len(c.cancels) - 1; i >= 0; i-- {
		c.cancels[i]()
		if err := <-c.ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}
