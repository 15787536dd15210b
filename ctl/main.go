// Command camphorctl is the operators' client: it checks and publishes the
// sheet, takes data centres out of service and in, and shows what is in force.
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
		Name:           "camphorctl",
		Usage:          "operate camphorpulley",
		Version:        version.Version,
		Description:    daemon.ExitHelp,
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

// usageError reports a command line that is wrong.
type usageError struct {
	Text string
}

// Error implements error.
func (e *usageError) Error() string { return e.Text }

func exitCode(err error) int {
	var usage *usageError
	var file *settings.Error
	// The command line library's own errors are about unknown commands.
	var library cli.ExitCoder
	if errors.As(err, &usage) || errors.As(err, &file) || errors.As(err, &library) {
		return daemon.ExitSettings
	}
	return daemon.ExitFailed
}

// Flags that several commands have.
var (
	logFlag = &cli.StringFlag{
		Name: "log", Usage: "address of the platform's log", Sources: cli.EnvVars("CAMPHOR_LOG"),
		Value: "127.0.0.1:21001",
	}
	routersFlag = &cli.StringSliceFlag{
		Name: "router", Usage: "operator address of a router; may be given again",
		Sources: cli.EnvVars("CAMPHOR_ROUTERS"), Value: []string{"127.0.0.1:21103"},
	}
)

func fileArgument() []cli.Argument {
	return []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE"}}
}

// argument returns an argument that must be given.
func argument(c *cli.Command, name string) (string, error) {
	value := c.StringArg(name)
	if value == "" {
		return "", &usageError{Text: fmt.Sprintf("%s: %s is missing; see camphorctl %s --help", c.Name, name, c.Name)}
	}
	return value, nil
}
