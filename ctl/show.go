package main

import (
	"context"
	"fmt"

	"camphorpulley.org/base/wrap"

	"github.com/urfave/cli/v3"

	"camphorpulley.org/base/operator"
)

func showCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "show the state of each router and its revision of the sheet",
		Description: "Example: camphorctl show --router 127.0.0.1:21103 --router 127.0.0.1:21113\n" +
			"With --sheet, it prints the text of the sheet in force at the first router that responds.",
		Flags: []cli.Flag{
			routersFlag,
			&cli.BoolFlag{Name: "sheet", Usage: "print the sheet in force"},
			&cli.BoolFlag{Name: "upstreams", Usage: "print each router's state of the upstreams"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return show(c) },
	}
}

func show(c *cli.Command) error {
	routers := c.StringSlice("router")
	statuses, err := fetchAll[operator.Status](routers, "/status")
	if err != nil {
		return err
	}
	if c.Bool("sheet") {
		fmt.Print(statuses[0].Text)
		return nil
	}
	if c.Bool("upstreams") {
		return wrap.Err(printUpstreams(statuses), "show")
	}
	if err := printRouters(statuses); err != nil {
		return wrap.Err(err, "show")
	}
	if len(statuses) < len(routers) {
		return errPartial
	}
	return nil
}

func printRouters(statuses []operator.Status) error {
	var rows [][]any
	for _, s := range statuses {
		seenPeers := 0
		for _, p := range s.Peers {
			if p.Seen {
				seenPeers++
			}
		}
		fault := s.SheetError
		if s.AwaitingSnapshot {
			fault = "waiting for a snapshot"
		}
		rows = append(rows, []any{
			s.Router, s.DataCentre, s.Seat, s.Revision, s.AsOf, s.Author, s.RunningRequests, fmt.Sprintf("%d of %d", seenPeers, len(s.Peers)), fault,
		})
	}
	return printTable([]any{"router", "data centre", "seat", "revision", "as of", "author", "running", "live peers", "fault"}, rows)
}

func printUpstreams(statuses []operator.Status) error {
	var rows [][]any
	for _, s := range statuses {
		for _, u := range s.Upstreams {
			rows = append(rows, []any{
				s.Router, u.ID, u.Pool, u.DataCentre, u.Coordinator, u.Open, u.Limit, u.Share, u.Outstanding, u.ExpiredOutstanding, u.Waiting,
			})
		}
	}
	return printTable([]any{
		"router", "upstream", "pool", "data centre", "keeper", "open", "limit", "share", "out", "owed", "waiting",
	}, rows)
}
