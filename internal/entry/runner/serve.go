package runner

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/front/server"
	"github.com/dandeliongrade/dandeliongrade/internal/report/exporter"
)

// Ports are the open ports of an entry.
type Ports struct {
	Callers, Link, Admin net.Listener
}

// Listen opens the ports that the settings name.
func Listen(settings *loader.Entry) (Ports, error) {
	var ports Ports
	var err error
	if ports.Callers, err = listener.Listen(settings.Callers); err != nil {
		return ports, err
	}
	if ports.Link, err = listener.Listen(settings.Link); err != nil {
		return ports, err
	}
	ports.Admin, err = listener.Listen(settings.Admin)
	return ports, err
}

// Serve runs the entry together with its servers for callers and operators.
func (r *Runner) Serve(ctx context.Context, ports Ports) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, stopCallers := context.WithCancel(background)
	defer stopCallers()
	front := server.Server{Jobs: r, Clock: r.clock, Templates: r.settings.Templates, Workspaces: r.settings.Workspaces}
	answered := make(chan error, 1)
	go func() { answered <- front.Run(callers, ports.Callers) }()
	served := make(chan error, 1)
	go func() { served <- exporter.Run(background, ports.Admin, r.pages()) }()

	var frontErr error
	err := r.Run(ctx, ports.Link, func() {
		stopCallers()
		frontErr = <-answered
	})
	stop()
	if err == nil {
		err = <-served
	}
	if err == nil {
		err = frontErr
	}
	return errors.Wrap(err, "run an entry")
}
