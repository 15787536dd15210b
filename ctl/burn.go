package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/olekukonko/tablewriter"
	"github.com/urfave/cli/v3"

	"camphorpulley.org/core/burn"
)

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "report the burn rates of the error budgets of service-level objectives",
		Description: "A rate of 1 uses the budget up exactly; a higher one is too fast. With --html, the command writes a page with a plot instead.\n" +
			"Example: camphorctl burn --router 127.0.0.1:21103 --html burn.html",
		Flags: []cli.Flag{routersFlag, &cli.StringFlag{Name: "html", Usage: "write the report to this file"}},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := fetchBurn(c.StringSlice("router"))
			if err != nil {
				return err
			}
			if path := c.String("html"); path != "" {
				return writeReport(path, time.Now(), rows)
			}
			return wrap.Err(printBurn(rows), "burn")
		},
	}
}

// fetchBurn reads the counts of the routers that respond and adds them up by
// series.
func fetchBurn(routers []string) ([]burn.Row, error) {
	sets, err := fetchAll[[]burn.Row](routers, "/burn")
	if err != nil {
		return nil, err
	}
	return burn.Merge(sets...), nil
}

func printBurn(rows []burn.Row) error {
	t := tablewriter.NewTable(os.Stdout)
	header := []any{"account", "pool", "objective", "goal"}
	for _, w := range burn.Windows() {
		header = append(header, formatWindow(w))
	}
	t.Header(append(header, "requests")...)
	for _, row := range rows {
		cells := []any{row.Series.Account, row.Series.Pool, row.Series.Objective, row.Series.Objective.Target()}
		for _, count := range row.Counts {
			cells = append(cells, fmt.Sprintf("%.2f", count.Rate(row.Series.Objective)))
		}
		cells = append(cells, row.Counts[len(row.Counts)-1].Total)
		if err := t.Append(cells...); err != nil {
			return err
		}
	}
	return t.Render()
}

// formatWindow returns a window in whole hours or minutes, such as "6h".
func formatWindow(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dm", int(d.Minutes()))
}
