package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/front/client"
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a job to an entry and print its answer",
		ArgsUsage: "TASK...",
		Description: "Each TASK is a JSON value.\n" +
			"Example: dandeliongrade submit --entry 127.0.0.1:7101 --workspace nails_and_tacks --template stock_lookup '{\"keg\": 1}'",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "IP `ADDRESS:PORT` where the entry accepts jobs", Value: "127.0.0.1:7101"},
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace", Required: true},
			&cli.StringFlag{Name: "template", Usage: "`NAME` of the template", Required: true},
			&cli.StringFlag{Name: "key", Usage: "the job's identity, a UUIDv7; generated if absent"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long to wait for the answer", Value: time.Minute},
		},
		Action: submit,
	}
}

func submit(ctx context.Context, cmd *cli.Command) error {
	addr, err := netip.ParseAddrPort(cmd.String("entry"))
	if err != nil {
		return &usageError{errors.Errorf("--entry %q is not an IP address with a port; write it like 127.0.0.1:7101", cmd.String("entry"))}
	}
	job := client.Job{Workspace: cmd.String("workspace"), Template: cmd.String("template")}
	for i, task := range cmd.Args().Slice() {
		if !json.Valid([]byte(task)) {
			return &usageError{errors.Errorf("task %d is not JSON; write it like '{\"keg\": 1}'", i+1)}
		}
		job.Tasks = append(job.Tasks, json.RawMessage(task))
	}
	key := cmd.String("key")
	if key == "" {
		if key, err = identifier.NewKey(time.Now()); err != nil {
			return err
		}
	}
	c, err := client.New(addr, cmd.Duration("timeout"), 1)
	if err != nil {
		return err
	}
	answer, err := c.Submit(ctx, key, job)
	if err != nil {
		return errors.WithMessage(err, "job "+key)
	}
	out, err := json.MarshalIndent(answer, "", "  ")
	if err != nil {
		return errors.Wrap(err, "print the answer")
	}
	fmt.Fprintln(cmd.Root().Writer, string(out))
	if !answer.Complete() {
		return errors.Errorf("job %s failed; see the outcome of each task above", key)
	}
	return nil
}
