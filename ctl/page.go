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

//go:embed page.html
var pageText string

// page is what the report shows.
type page struct {
	At      time.Time
	Windows []string
	Rows    []pageRow
	Plot    template.URL
}

type pageRow struct {
	burn.Row
	Rates []pageRate
}

type pageRate struct {
	Rate float64
	Over bool
}

// writePage writes the report as an HTML page.
func writePage(path string, now time.Time, rows []burn.Row) error {
	image, err := plotRates(rows)
	if err != nil {
		return wrap.Err(err, "plot")
	}
	p := page{
		At:      now,
		Windows: lo.Map(burn.Windows(), func(w time.Duration, _ int) string { return window(w) }),
		Rows:    lo.Map(rows, func(r burn.Row, _ int) pageRow { return newPageRow(r) }),
		Plot:    template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(image)),
	}
	t, err := template.New("page").Parse(pageText)
	if err != nil {
		return wrap.Err(err, "page")
	}
	var out bytes.Buffer
	if err := t.Execute(&out, p); err != nil {
		return wrap.Err(err, "page")
	}
	return wrap.Err(os.WriteFile(path, out.Bytes(), 0o644), "page")
}

func newPageRow(r burn.Row) pageRow {
	return pageRow{Row: r, Rates: lo.Map(r.Counts, func(c burn.Count, _ int) pageRate {
		rate := c.Rate(r.Series.Objective)
		return pageRate{Rate: rate, Over: rate > 1}
	})}
}

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotRates draws the burn rates of all accounts together: for each pool and
// objective a group of bars, one for each window.
func plotRates(rows []burn.Row) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Burn rate by objective (1 uses the budget up exactly)"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	totals := byObjective(rows)
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
		p.Legend.Add(window(w), bars)
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

// byObjective adds up all accounts.
func byObjective(rows []burn.Row) []burn.Row {
	return burn.Merge(lo.Map(rows, func(r burn.Row, _ int) []burn.Row {
		r.Series.Account = ""
		return []burn.Row{r}
	})...)
}
