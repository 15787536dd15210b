// Command fleet simulates a fleet of hundreds of routers in simulated time: it runs the
// decisions of package core/fleet against simulated upstreams and links, without a
// network, and prints what the routers send, where requests go, and which limits of
// the scenario were exceeded.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"camphorpulley.org/base/settings"
	"camphorpulley.org/base/version"
)

// exitFailed is the exit code if a limit was exceeded or a scenario could not be run.
const exitFailed = 1

func main() {
	app := &cli.Command{
		Name: "fleet", Usage: "simulates a fleet of routers without a network", Version: version.Version,
		Description: "Exit codes: 0 all limits were kept, 1 one was exceeded or a scenario could not be run.",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run scenarios and check their limits", ArgsUsage: "FILE...",
				Description: "Example: fleet run --routers 30,100,300 lab/fleet/testdata/hot-chat.ini",
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "routers", Usage: "numbers of routers, each in place of the scenario's; upstreams and load grow alike"},
					&cli.Uint64Flag{Name: "seed", Usage: "seed in place of the scenario's"},
				},
				Action: runScenarios,
			},
			{Name: "check", Usage: "check scenario files", ArgsUsage: "FILE...", Action: checkScenarios},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func checkScenarios(_ context.Context, c *cli.Command) error {
	for _, path := range c.Args().Slice() {
		if _, err := settings.Load[Scenario](path); err != nil {
			return err
		}
	}
	return nil
}

func runScenarios(_ context.Context, c *cli.Command) error {
	failed := false
	for _, path := range c.Args().Slice() {
		s, err := settings.Load[Scenario](path)
		if err != nil {
			return err
		}
		if seed := c.Uint64("seed"); seed != 0 {
			s.Run.Seed = seed
		}
		sizes := c.IntSlice("routers")
		if len(sizes) == 0 {
			sizes = []int{s.Fleet.Routers}
		}
		for _, routers := range sizes {
			scaled := s.scaledTo(routers)
			r := newSimulation(scaled).run()
			fmt.Printf("scenario=%s %s\n", path, r)
			if over := r.exceeded(scaled.Limits); len(over) > 0 {
				failed = true
				fmt.Println("  " + strings.Join(over, "\n  "))
			}
		}
	}
	if failed {
		return cli.Exit("limits were exceeded", exitFailed)
	}
	return nil
}

// scaledTo returns the scenario with another number of routers; the upstreams and the
// load of each router stay the same.
func (s Scenario) scaledTo(routers int) Scenario {
	factor := float64(routers) / float64(s.Fleet.Routers)
	s.Fleet.Routers = routers
	s.Pools = append([]PoolSection(nil), s.Pools...)
	for i := range s.Pools {
		s.Pools[i].Upstreams = max(1, int(float64(s.Pools[i].Upstreams)*factor+0.5))
	}
	s.Loads = append([]LoadSection(nil), s.Loads...)
	for i := range s.Loads {
		s.Loads[i].Rate *= factor
		s.Loads[i].Prompts = int(float64(s.Loads[i].Prompts)*factor + 0.5)
	}
	return s
}
