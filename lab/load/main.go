// Command load sends chat requests through routers, or directly to an engine,
// and measures response times, prompt cache hits, failures and the distribution
// of load over the engines.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"camphorpulley.org/base/daemon"
	"camphorpulley.org/base/version"
)

func main() {
	app := &cli.Command{
		Name:        "load",
		Usage:       "send load to loopback addresses and measure the responses",
		Version:     version.Version,
		Description: "Exit codes: 0 done, 1 failed or a flag is wrong.",
		Commands:    []*cli.Command{chatsCommand(), overheadCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitFailed)
	}
}

func chatsCommand() *cli.Command {
	return &cli.Command{
		Name:  "chats",
		Usage: "send the requests of multi-turn chats at a constant rate",
		Description: "Prints the figures of each phase as lines of key=value. Each phase starts when the duration " +
			"of the phase before it has passed.\n" +
			"Example: lab-load chats --target 127.0.0.1:21101 --model psalm-8b --token token-matara --phase steady=5s",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "address of a router; each request goes to one at random", Required: true},
			&cli.StringSliceFlag{Name: "engine", Usage: "address of an engine whose load is sampled"},
			&cli.StringSliceFlag{Name: "token", Usage: "bearer token of a client account; the first has the most chats", Required: true},
			&cli.StringFlag{Name: "model", Usage: "model name in the requests", Required: true},
			&cli.StringFlag{Name: "policy", Usage: "policy name printed with the figures", Value: "fleet"},
			&cli.StringSliceFlag{Name: "phase", Usage: "phase as NAME=DURATION; repeat for more, in order", Required: true},
			&cli.Float64Flag{Name: "rate", Usage: "requests per second", Value: 50},
			&cli.IntFlag{Name: "chats", Usage: "number of chats", Value: 200},
			&cli.IntFlag{Name: "words", Usage: "words in each user message", Value: 60},
			&cli.IntFlag{Name: "tokens", Usage: "tokens in each completion", Value: 20},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random choices", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			phases, err := parsePhases(c.StringSlice("phase"))
			if err != nil {
				return err
			}
			w := workload{
				Targets: c.StringSlice("target"), Engines: c.StringSlice("engine"), BearerTokens: c.StringSlice("token"),
				Model: c.String("model"), Policy: c.String("policy"), Phases: phases,
				Rate: c.Float64("rate"), Chats: c.Int("chats"), MessageWords: c.Int("words"),
				MaxTokens: c.Int("tokens"), Seed: c.Uint64("seed"),
			}
			if err := w.validate(); err != nil {
				return err
			}
			w.run(time.Now())
			return nil
		},
	}
}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:        "overhead",
		Usage:       "compare the time to first token through a router with that of an engine called directly",
		Description: "Example: lab-load overhead --target 127.0.0.1:21101 --engine 127.0.0.1:21300 --model psalm-8b --token token-matara",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Usage: "address of the router", Required: true},
			&cli.StringFlag{Name: "engine", Usage: "address of the engine", Required: true},
			&cli.StringFlag{Name: "token", Usage: "bearer token", Required: true},
			&cli.StringFlag{Name: "model", Usage: "model name in the requests", Required: true},
			&cli.Float64Flag{Name: "rate", Usage: "requests per second to each of the two", Value: 100},
			&cli.DurationFlag{Name: "time", Usage: "duration of the measurement", Value: 5 * time.Second},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return overheadTest{
				Target: c.String("target"), Engine: c.String("engine"), Token: c.String("token"),
				Model: c.String("model"), Rate: c.Float64("rate"), Duration: c.Duration("time"),
			}.run()
		},
	}
}
