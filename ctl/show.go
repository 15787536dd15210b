package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"camphorpulley.org/base/operator"
)

// callTimeout bounds a call to a router.
const callTimeout = 2 * time.Second

// get reads JSON from a router's operator address.
func get[T any](address, path string) (T, error) {
	var result T
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, callTimeout)
	if err != nil {
		return result, wrap.Err(err, address)
	}
	if status != fasthttp.StatusOK {
		return result, errors.Errorf("%s: status %d", address, status)
	}
	return result, wrap.Err(json.Unmarshal(body, &result), address)
}

// gather reads JSON from all routers. It says which did not answer, and fails
// if none did.
func gather[T any](routers []string, path string) ([]T, error) {
	var all []T
	var failed error
	for _, address := range routers {
		one, err := get[T](address, path)
		if err != nil {
			failed = err
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		all = append(all, one)
	}
	if len(all) == 0 {
		return nil, wrap.Err(failed, "no router answered")
	}
	return all, nil
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "show which router has which revision, and what it knows",
		Description: "Example: camphorctl show --router 127.0.0.1:21103 --router 127.0.0.1:21113\n" +
			"With --sheet, the text of the sheet in force at the first router.",
		Flags: []cli.Flag{
			routersFlag,
			&cli.BoolFlag{Name: "sheet", Usage: "print the sheet in force"},
			&cli.BoolFlag{Name: "upstreams", Usage: "print the upstreams as each router sees them"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return show(c) },
	}
}

func show(c *cli.Command) error {
	routers := c.StringSlice("router")
	all, err := gather[operator.Status](routers, "/status")
	if err != nil {
		return err
	}
	if c.Bool("sheet") {
		fmt.Print(all[0].Text)
		return nil
	}
	if c.Bool("upstreams") {
		return wrap.Err(upstreamTable(all), "show")
	}
	if err := routerTable(all); err != nil {
		return wrap.Err(err, "show")
	}
	if len(all) < len(routers) {
		return errPartial
	}
	return nil
}

// errPartial means that some routers did not answer.
var errPartial = errors.New("not every router answered")

func routerTable(all []operator.Status) error {
	var rows [][]any
	for _, s := range all {
		live := 0
		for _, p := range s.Peers {
			if p.Heard {
				live++
			}
		}
		fault := s.Fault
		if s.Waiting {
			fault = "waits for a snapshot"
		}
		rows = append(rows, []any{
			s.Router, s.DataCentre, s.Seat, s.Revision, s.AsOf, s.Author, s.Running, fmt.Sprintf("%d of %d", live, len(s.Peers)), fault,
		})
	}
	return printTable([]any{"router", "data centre", "seat", "revision", "as of", "author", "running", "live peers", "fault"}, rows)
}

func upstreamTable(all []operator.Status) error {
	var rows [][]any
	for _, s := range all {
		for _, u := range s.Upstreams {
			rows = append(rows, []any{
				s.Router, u.ID, u.Pool, u.DataCentre, u.Keeper, u.Open, u.Limit, u.Share, u.Out, u.Owed, u.Waiting,
			})
		}
	}
	return printTable([]any{
		"router", "upstream", "pool", "data centre", "keeper", "open", "limit", "share", "out", "owed", "waiting",
	}, rows)
}
