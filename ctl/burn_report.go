package main

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"os"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"camphorpulley.org/core/burn"
)

//go:embed burn_report.html
var reportTemplate string

// report is the data of the template burn_report.html.
type report struct {
	CreatedAt time.Time
	Windows   []string
	Rows      []reportRow
	// Plot is a data URL of a PNG image.
	Plot template.URL
}

type reportRow struct {
	burn.Row
	Rates []reportRate
}

type reportRate struct {
	Rate float64
	// OverBudget reports whether the rate is above 1.
	OverBudget bool
}

// writeReport writes the burn rates to a file as an HTML page with a plot.
func writeReport(path string, now time.Time, rows []burn.Row) error {
	image, err := plotRates(rows)
	if err != nil {
		return wrap.Err(err, "plot")
	}
	data := report{
		CreatedAt: now,
		Windows:   lo.Map(burn.Windows(), func(w time.Duration, _ int) string { return formatWindow(w) }),
		Rows:      lo.Map(rows, func(r burn.Row, _ int) reportRow { return newReportRow(r) }),
		Plot:      template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(image)),
	}
	t, err := template.New("page").Parse(reportTemplate)
	if err != nil {
		return wrap.Err(err, "page")
	}
	var out bytes.Buffer
	if err := t.Execute(&out, data); err != nil {
		return wrap.Err(err, "page")
	}
	return wrap.Err(os.WriteFile(path, out.Bytes(), 0o644), "page")
}

func newReportRow(r burn.Row) reportRow {
	return reportRow{Row: r, Rates: lo.Map(r.Counts, func(c burn.Count, _ int) reportRate {
		rate := c.Rate(r.Series.Objective)
		return reportRate{Rate: rate, OverBudget: rate > 1}
	})}
}

// Size of the plot's image.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotRates returns a bar chart, as a PNG image, of the burn rates over all
// accounts: a group of bars for each pool and objective, a bar for each window.
func plotRates(rows []burn.Row) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Burn rate by objective (1 uses the budget up exactly)"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	totals := sumOverAccounts(rows)
	width := vg.Points(12)
	for i, w := range burn.Windows() {
		values := lo.Map(totals, func(r burn.Row, _ int) float64 { return r.Counts[i].Rate(r.Series.Objective) })
		if len(values) == 0 {
			break
		}
		bars, err := plotter.NewBarChart(plotter.Values(values), width)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = width * vg.Length(float64(i)-1.5)
		p.Add(bars)
		p.Legend.Add(formatWindow(w), bars)
	}
	p.Legend.Top = true
	p.NominalX(lo.Map(totals, func(r burn.Row, _ int) string {
		return fmt.Sprintf("%s %s", r.Series.Pool, r.Series.Objective)
	})...)
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	_, err = writer.WriteTo(&out)
	return out.Bytes(), err
}

// sumOverAccounts returns one row for each pool and objective, with the counts
// of all accounts added up and an empty account.
func sumOverAccounts(rows []burn.Row) []burn.Row {
	return burn.Merge(lo.Map(rows, func(r burn.Row, _ int) []burn.Row {
		r.Series.Account = ""
		return []burn.Row{r}
	})...)
}
