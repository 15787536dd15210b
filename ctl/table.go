package main

import (
	"os"

	"github.com/olekukonko/tablewriter"
)

// printTable prints rows under a header to standard output.
func printTable(header []any, rows [][]any) error {
	t := tablewriter.NewTable(os.Stdout)
	t.Header(header...)
	for _, row := range rows {
		if err := t.Append(row...); err != nil {
			return err
		}
	}
	return t.Render()
}
