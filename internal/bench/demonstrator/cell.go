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

// loopback is where every port of a cell opens, at a free number.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// CellConfig says what a cell consists of.
type CellConfig struct {
	Entries int
	Agents  int
	// Backend is the settings of every stand-in backend server.
	Backend loader.StandInBackend
	// Entry and Agent are the settings that all have in common.
	Entry loader.Entry
	Agent loader.Agent
	Clock identifier.Clock
	Log   *zap.Logger
}

// Cell is a whole system inside this process, over loopback sockets.
type Cell struct {
	// CallerAddrs are the addresses where jobs are taken.
	CallerAddrs []netip.AddrPort
	Backends    []*emulator.Server
	Store       *faker.Store

	plan     CellConfig
	platform netip.AddrPort
	stop     []context.CancelFunc
	ended    chan error
}

// Start starts the roles of a cell. Close must be called in the end.
func Start(ctx context.Context, plan CellConfig) (*Cell, error) {
	c := &Cell{plan: plan, Store: &faker.Store{}, ended: make(chan error, 1+plan.Entries+2*plan.Agents)}
	if err := c.begin(ctx); err != nil {
		return nil, errors.Wrap(errors.WithMessage(err, "start a cell"), "check that loopback ports are free")
	}
	return c, nil
}

func (c *Cell) begin(ctx context.Context) error {
	ln, err := listener.Listen(loopback)
	if err != nil {
		return err
	}
	c.platform = listener.Addr(ln)
	c.run(ctx, func(ctx context.Context) error { return (&faker.Server{Store: c.Store}).Run(ctx, ln) })
	for i := range c.plan.Entries {
		if err := c.beginEntry(ctx, i); err != nil {
			return err
		}
	}
	for i := range c.plan.Agents {
		if err := c.beginAgent(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cell) beginEntry(ctx context.Context, i int) error {
	settings := c.plan.Entry
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
	edges, err := entry.NewDependencies(&settings)
	if err != nil {
		return err
	}
	r := entry.New(&settings, c.plan.Log, c.plan.Clock, edges)
	c.run(ctx, func(ctx context.Context) error { return r.Serve(ctx, ports) })
	return nil
}

func (c *Cell) beginAgent(ctx context.Context, i int) error {
	ln, err := listener.Listen(loopback)
	if err != nil {
		return err
	}
	stand := c.plan.Backend
	stand.Seed += i
	server := emulator.New(stand)
	c.Backends = append(c.Backends, server)
	c.run(ctx, func(ctx context.Context) error { return server.Run(ctx, ln) })

	settings := c.plan.Agent
	settings.Name = identifier.Agent("agent-" + strconv.Itoa(i+1))
	settings.DataCentre = dataCentre(i)
	settings.Rack = "rack-" + strconv.Itoa(i/3+1)
	settings.Platform.Addr = c.platform
	settings.Backend = listener.Addr(ln)
	edges, err := agent.NewDependencies(&settings)
	if err != nil {
		return err
	}
	admin, err := listener.Listen(loopback)
	if err != nil {
		return err
	}
	r := agent.New(&settings, c.plan.Log, c.plan.Clock, edges)
	c.run(ctx, func(ctx context.Context) error { return r.Serve(ctx, admin) })
	return nil
}

func dataCentre(i int) identifier.DataCentre {
	return identifier.DataCentre("dc-" + strconv.Itoa(i%3+1))
}

func (c *Cell) run(ctx context.Context, role func(context.Context) error) {
	ctx, stop := context.WithCancel(ctx)
	c.stop = append(c.stop, stop)
	go func() { c.ended <- role(ctx) }()
}

// Close stops the roles, the last started first, and returns the first failure.
func (c *Cell) Close() error {
	var first error
	for i := len(c.stop) - 1; i >= 0; i-- {
		c.stop[i]()
		if err := <-c.ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}
