package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

// The settings of the cluster and the job of a demo.
const (
	demoRunTime = 50 * time.Millisecond // of each task
	demoCPU     = 16_000                // of each worker, in millicores
	demoJobID   = "00000000000000aa"
)

// demoPlatform runs gateways and sidecars on stand-ins for the users' platform and
// submits a job through each gateway.
func demoPlatform(ctx context.Context, cmd *cli.Command, log *zap.Logger) error {
	c, err := standin.Start(ctx, standin.ClusterConfig{Gateways: cmd.Int("entries"), Sidecars: cmd.Int("agents"), CPU: demoCPU, RunTime: demoRunTime, Log: log})
	if err != nil {
		return err
	}
	err = submitToAll(ctx, cmd, c)
	if closeErr := c.Close(); err == nil {
		err = closeErr
	}
	return err
}

func submitToAll(ctx context.Context, cmd *cli.Command, c *standin.Cluster) error {
	if err := c.AwaitReady(ctx); err != nil {
		return err
	}
	for i, g := range c.Gateways {
		before := time.Now()
		status, body, err := c.Submit(ctx, g, demoJobID, "stock lookup", cmd.Int("tasks"))
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return errors.Errorf("the job got status %d: %s; run the demo with --log to see why", status, body)
		}
		fmt.Fprintf(cmd.Root().Writer, "gateway %d: a job of %d tasks: %s in %s\n", i+1, cmd.Int("tasks"), body, time.Since(before).Round(time.Millisecond))
	}
	return nil
}
