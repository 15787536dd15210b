// Command soak runs real routers as separate processes between stand-ins of the
// users' platform, harms them at random by a seed, and checks the promises from
// what callers and runners see.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/version"
	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/store"
)

// exitBroken means that a promise was broken.
const exitBroken = 1

func main() {
	app := &cli.Command{
		Name: "soak", Usage: "runs routers under faults and checks the promises", Version: version.Version,
		Description: "Exit codes: 0 all promises were kept, 1 one was broken or the soak could not run.",
		Commands: []*cli.Command{{
			Name: "run", Usage: "run one or more seeds, one after another",
			Description: "Example: soak run --seed 1 --count 50 --for 12s",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
				&cli.IntFlag{Name: "count", Value: 1, Usage: "how many seeds"},
				&cli.StringFlag{Name: "seeds", Usage: "a file of seeds, one at the beginning of each line, in place of the flags above"},
				&cli.DurationFlag{Name: "for", Value: 12 * time.Second, Usage: "how long faults happen"},
				&cli.IntFlag{Name: "routers", Value: 4, Usage: "how many routers"},
				&cli.IntFlag{Name: "callers", Value: 24, Usage: "how many callers"},
				&cli.StringFlag{Name: "program", Value: "bin/camphorpulley-platform", Usage: "the router's program"},
				&cli.StringFlag{Name: "dir", Value: "run/soak", Usage: "the folder for settings and logs"},
				&cli.BoolFlag{Name: "unread", Usage: "the routers' logs go to pipes that nobody reads"},
				&cli.BoolFlag{Name: "planned", Usage: "planned work alone, for every seed"},
				&cli.StringFlag{Name: "level", Value: "warn", Usage: "info also logs each fault"},
			},
			Action: run,
		}},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBroken)
	}
}

// plannedEvery is which seeds have planned work alone.
const plannedEvery = 4

func run(ctx context.Context, c *cli.Command) error {
	seeds, err := seedsOf(c)
	if err != nil {
		return err
	}
	broken := 0
	for _, seed := range seeds {
		o := options{
			seed: seed, length: c.Duration("for"), routers: c.Int("routers"), callers: c.Int("callers"),
			planned: c.Bool("planned") || seed%plannedEvery == 0, unread: c.Bool("unread"), program: c.String("program"),
			dir: filepath.Join(c.String("dir"), strconv.FormatUint(seed, 10)), logLevel: c.String("level"),
		}
		s := &soak{options: o, log: logs.New(o.logLevel), ledger: &ledger.Ledger{}, store: &store.Store{}}
		counts, violations, err := s.run(ctx)
		if err != nil {
			return err
		}
		report(seed, counts, violations)
		if len(violations) > 0 {
			broken++
		}
	}
	fmt.Printf("%d passed, %d failed\n", len(seeds)-broken, broken)
	if broken > 0 {
		return cli.Exit("promises were broken", exitBroken)
	}
	return nil
}

// seedsOf returns the seeds that the command line asks for.
func seedsOf(c *cli.Command) ([]uint64, error) {
	var seeds []uint64
	if file := c.String("seeds"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			if strings.HasPrefix(line, "#") {
				continue
			}
			first, _, _ := strings.Cut(line, " ")
			seed, err := strconv.ParseUint(first, 10, 64)
			if err != nil {
				return nil, err
			}
			seeds = append(seeds, seed)
		}
		return seeds, nil
	}
	for i := range c.Int("count") {
		seeds = append(seeds, c.Uint64("seed")+uint64(i))
	}
	return seeds, nil
}

// shownViolations is how many violations of a seed are printed.
const shownViolations = 10

func report(seed uint64, counts map[string]int, violations []ledger.Violation) {
	fmt.Printf("seed=%d", seed)
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf(" %s=%d", outcome, counts[outcome])
	}
	fmt.Printf(" violations=%d\n", len(violations))
	for _, v := range violations[:min(len(violations), shownViolations)] {
		fmt.Printf("  %s %s: %s\n", v.At.Format("15:04:05.000"), v.Promise, v.Detail)
	}
}
