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
		Usage: "show what routers on the users' platform believe",
		Description: "The router addresses are those of the metrics.\n" +
			"Example: camphorctl fleet --router 10.1.0.40:9464 --upstreams",
		Flags: []cli.Flag{
			routersFlag, &cli.BoolFlag{Name: "upstreams", Usage: "print the upstreams as each router sees them, and why one is left alone"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return showFleet(c) },
	}
}

func showFleet(c *cli.Command) error {
	routers := c.StringSlice("router")
	all, err := gather[fleet.Status](routers, "/status")
	if err != nil {
		return err
	}
	table := fleetTable
	if c.Bool("upstreams") {
		table = fleetUpstreams
	}
	if err := table(all); err != nil {
		return wrap.Err(err, "fleet")
	}
	if len(all) < len(routers) {
		return errPartial
	}
	return nil
}

func fleetTable(all []fleet.Status) error {
	var rows [][]any
	for _, s := range all {
		heard, silence := 0, int64(0)
		for _, p := range s.Peers {
			if p.SilentMS >= 0 {
				heard++
			}
			silence = max(silence, p.SilentMS)
		}
		rows = append(rows, []any{
			s.Router, s.DataCentre, s.Version, s.Ready, s.Reader, s.KnownMS, fmt.Sprintf("%d of %d", heard, len(s.Peers)), silence,
		})
	}
	return printTable([]any{
		"router", "data centre", "version", "not ready", "reader", "entries ms old", "peers heard", "longest silence ms",
	}, rows)
}

func fleetUpstreams(all []fleet.Status) error {
	var rows [][]any
	for _, s := range all {
		for _, u := range s.Upstreams {
			rows = append(rows, []any{
				s.Router, u.ID, u.Pool, u.DataCentre, u.Left, u.ForMS, u.Own, u.Load, fmt.Sprintf("%.2f", u.Failing), u.AliveMS, u.Stored,
			})
		}
	}
	return printTable([]any{
		"router", "upstream", "pool", "data centre", "left alone", "for ms", "own", "load", "failing", "alive ms ago", "tokens",
	}, rows)
}
