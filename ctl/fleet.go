package main

import (
	"context"
	"fmt"

	"camphorpulley.org/base/wrap"

	"github.com/urfave/cli/v3"

	"camphorpulley.org/core/fleet"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "show the state of routers that run on the users' platform",
		Description: "The addresses of the routers are their metrics addresses.\n" +
			"Example: camphorctl fleet --router 10.1.0.40:9464 --upstreams",
		Flags: []cli.Flag{
			routersFlag, &cli.BoolFlag{Name: "upstreams", Usage: "print each router's state of the upstreams, with the reason if one gets little or no work"},
			&cli.BoolFlag{Name: "rollouts", Usage: "print each router's state of the roll-outs, with what the conductor has counted"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return showFleet(c) },
	}
}

func showFleet(c *cli.Command) error {
	routers := c.StringSlice("router")
	statuses, err := fetchAll[fleet.Status](routers, "/status")
	if err != nil {
		return err
	}
	printStatuses := printFleetRouters
	if c.Bool("upstreams") {
		printStatuses = printFleetUpstreams
	}
	if c.Bool("rollouts") {
		printStatuses = printFleetRollouts
	}
	if err := printStatuses(statuses); err != nil {
		return wrap.Err(err, "fleet")
	}
	if len(statuses) < len(routers) {
		return errPartial
	}
	return nil
}

func printFleetRouters(statuses []fleet.Status) error {
	var rows [][]any
	for _, s := range statuses {
		seenPeers, longestSilenceMS := 0, int64(0)
		for _, p := range s.Peers {
			if p.LastSeenAgoMS >= 0 {
				seenPeers++
			}
			longestSilenceMS = max(longestSilenceMS, p.LastSeenAgoMS)
		}
		rows = append(rows, []any{
			s.Router, s.DataCentre, s.Version, s.Readiness, s.Reader, s.EntriesAgeMS, s.MessageDelayMS,
			fmt.Sprintf("%d of %d", seenPeers, len(s.Peers)), longestSilenceMS,
		})
	}
	return printTable([]any{
		"router", "data centre", "version", "not ready", "reader", "entries ms old", "messages ms late", "peers heard", "longest silence ms",
	}, rows)
}

func printFleetUpstreams(statuses []fleet.Status) error {
	var rows [][]any
	for _, s := range statuses {
		for _, u := range s.Upstreams {
			rows = append(rows, []any{
				s.Router, u.ID, u.Pool, u.DataCentre, u.Exclusion, u.RemainingMS, u.LocalRequests, u.Load, fmt.Sprintf("%.2f", u.FailureRate), u.LastSeenAgoMS, u.CachedTokens, u.Pace,
			})
		}
	}
	return printTable([]any{
		"router", "upstream", "pool", "data centre", "left alone", "for ms", "own", "load", "failing", "alive ms ago", "tokens", "pace",
	}, rows)
}

func printFleetRollouts(statuses []fleet.Status) error {
	var rows [][]any
	for _, s := range statuses {
		for _, r := range s.Rollouts {
			rows = append(rows, []any{
				s.Router, r.Pool, r.Target, r.Stage, fmt.Sprintf("%.2f", r.Share), r.AgeMS, r.DurationMS, r.Conductor, r.IssuedAgeMS, r.Exposed,
				fmt.Sprintf("%d of %d", r.OldBad, r.OldAnswers), fmt.Sprintf("%d of %d", r.NewBad, r.NewAnswers), r.Written, r.Reason,
			})
		}
	}
	return printTable([]any{
		"router", "pool", "target", "stage", "share", "age ms", "duration ms", "conductor", "heard ms ago", "exposed", "old bad", "new bad", "written", "reason",
	}, rows)
}
