// Command dandeliongrade dispatches sub-second tasks. One binary has all the roles;
// see docs/OPERATIONS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
)

// The exit codes for failures.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in a flag, an argument or a setting.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args)
	// A repeated signal must not change the exit code while the process exits.
	signal.Ignore(os.Interrupt, syscall.SIGTERM)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	err := root().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var usage *usageError
	var settingsErrs checker.ErrorList
	if errors.As(err, &usage) || errors.As(err, &settingsErrs) {
		return exitUsage
	}
	return exitFailed
}

func root() *cli.Command {
	c := &cli.Command{
		Name:  "dandeliongrade",
		Usage: "dispatch sub-second tasks, urgent ones first, each exactly once",
		Commands: []*cli.Command{
			entryCommand(), agentCommand(), gatewayCommand(), sidecarCommand(), platformCommand(), backendCommand(),
			submitCommand(), loadCommand(), configCommand(), demoCommand(), soakCommand(), versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	reportUsageErrors(c)
	return c
}

// reportUsageErrors makes c and its subcommands return a usageError for wrong flags and
// for unknown commands.
func reportUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return &usageError{errors.Errorf("%s; see %s --help", err, cmd.FullName())}
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return &usageError{errors.Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.FullName())}
			}
			return cli.ShowSubcommandHelp(cmd)
		}
	}
	for _, sub := range c.Commands {
		reportUsageErrors(sub)
	}
}

// settingsArg returns the only argument, the name of a settings file.
func settingsArg(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", &usageError{errors.Errorf("give one settings file; see %s --help", cmd.FullName())}
	}
	return cmd.Args().First(), nil
}
