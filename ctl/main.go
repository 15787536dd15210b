// Command camphorctl is the operators' command line client: it checks, compares
// and publishes sheets, takes data centres out of service and back in, and shows
// the state of routers, upstreams and error budgets.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"camphorpulley.org/base/daemon"
	"camphorpulley.org/base/settings"
	"camphorpulley.org/base/version"
)

func main() {
	app := &cli.Command{
		Name:        "camphorctl",
		Usage:       "operate camphorpulley",
		Version:     version.Version,
		Description: daemon.ExitHelp,
		// The library would exit with its own codes; main prints the error and exits.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			checkCommand(), publishCommand(), showCommand(), diffCommand(),
			serviceCommand("out", "take a data centre out of service"),
			serviceCommand("in", "take a data centre back into service"),
			burnCommand(), fleetCommand(),
		},
	}
	for _, c := range app.Commands {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &usageError{Text: err.Error()}
		}
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// usageError reports a wrong command line, for which the exit code is
// daemon.ExitSettings.
type usageError struct {
	Text string
}

// Error implements error.
func (e *usageError) Error() string { return e.Text }

func exitCode(err error) int {
	var usageErr *usageError
	var sheetErr *settings.Error
	// The library reports unknown commands as ExitCoder errors.
	var libraryErr cli.ExitCoder
	if errors.As(err, &usageErr) || errors.As(err, &sheetErr) || errors.As(err, &libraryErr) {
		return daemon.ExitSettings
	}
	return daemon.ExitFailed
}

// Flags shared by several commands.
var (
	logFlag = &cli.StringFlag{
		Name: "log", Usage: "address of the log service", Sources: cli.EnvVars("CAMPHOR_LOG"),
		Value: "127.0.0.1:21001",
	}
	routersFlag = &cli.StringSliceFlag{
		Name: "router", Usage: "operator address of a router; repeat the flag for more routers",
		Sources: cli.EnvVars("CAMPHOR_ROUTERS"), Value: []string{"127.0.0.1:21103"},
	}
)

func fileArgument() []cli.Argument {
	return []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE"}}
}

// requiredArgument returns a positional argument, or a usageError if it is
// missing or empty.
func requiredArgument(c *cli.Command, name string) (string, error) {
	value := c.StringArg(name)
	if value == "" {
		return "", &usageError{Text: fmt.Sprintf("%s: %s is missing; see camphorctl %s --help", c.Name, name, c.Name)}
	}
	return value, nil
}
