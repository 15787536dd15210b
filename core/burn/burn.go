// Package burn counts how fast service-level objectives use up their error
// budgets.
package burn

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
)

// Objective names one service-level objective.
type Objective string

const (
	// FirstToken is met if the first token comes within FirstTokenLimit.
	FirstToken Objective = "first_token"
	// Whole is met if the caller gets the whole answer.
	Whole Objective = "whole"
	// Accepted is met if the request is not refused.
	Accepted Objective = "accepted"
)

// FirstTokenLimit is the time to the first token that callers are promised.
const FirstTokenLimit = 330 * time.Millisecond

// Goal returns the fraction of requests that are to meet an objective.
func (o Objective) Goal() float64 {
	if o == FirstToken {
		return 0.95
	}
	return 0.999
}

// Windows are the spans over which burn rates are computed, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}
}

const (
	slotLength = time.Minute
	slots      = 360
)

// Series names what is counted.
type Series struct {
	Account   core.Account
	Pool      core.Pool
	Objective Objective
}

// Count is how many requests there were and how many met the objective.
type Count struct {
	Total uint32
	Good  uint32
}

type ring struct {
	slots [slots]Count
	// last is the number of the newest slot since the Unix epoch.
	last int64
}

// Table counts all series. The zero value has counted nothing.
type Table struct {
	rings map[Series]*ring
}

// Record counts one request.
func (t *Table) Record(now time.Time, s Series, good bool) {
	if t.rings == nil {
		t.rings = map[Series]*ring{}
	}
	r := t.rings[s]
	if r == nil {
		r = &ring{last: slotOf(now)}
		t.rings[s] = r
	}
	r.advance(now)
	c := &r.slots[slotOf(now)%slots]
	c.Total++
	if good {
		c.Good++
	}
}

func slotOf(now time.Time) int64 {
	return now.Unix() / int64(slotLength/time.Second)
}

// advance clears the slots between the last one and now.
func (r *ring) advance(now time.Time) {
	current := slotOf(now)
	first := max(r.last+1, current-slots+1)
	for i := first; i <= current; i++ {
		r.slots[i%slots] = Count{}
	}
	r.last = max(r.last, current)
}

// Row is the state of one series over all windows.
type Row struct {
	Series Series
	// Counts has one element for each of Windows.
	Counts []Count
}

// Rows returns all series in order.
func (t *Table) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(t.rings))
	for s, r := range t.rings {
		r.advance(now)
		row := Row{Series: s}
		for _, w := range Windows() {
			row.Counts = append(row.Counts, r.sum(now, w))
		}
		rows = append(rows, row)
	}
	SortRows(rows)
	return rows
}

// SortRows puts rows in order of account, pool and objective.
func SortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Series.Account, b.Series.Account),
			cmp.Compare(a.Series.Pool, b.Series.Pool),
			cmp.Compare(a.Series.Objective, b.Series.Objective),
		)
	})
}

func (r *ring) sum(now time.Time, window time.Duration) Count {
	var total Count
	current := slotOf(now)
	for i := range int64(window / slotLength) {
		c := r.slots[(current-i)%slots]
		total.Total += c.Total
		total.Good += c.Good
	}
	return total
}

// Rate returns how many times faster than permitted the error budget of an
// objective is used up; one uses it up exactly. No requests burn nothing.
func (c Count) Rate(o Objective) float64 {
	if c.Total == 0 {
		return 0
	}
	failed := float64(c.Total-c.Good) / float64(c.Total)
	return failed / (1 - o.Goal())
}

// Merge adds the rows of several routers.
func Merge(sets ...[]Row) []Row {
	sums := map[Series]Row{}
	for _, set := range sets {
		for _, row := range set {
			sums[row.Series] = add(sums[row.Series], row)
		}
	}
	merged := make([]Row, 0, len(sums))
	for _, row := range sums {
		merged = append(merged, row)
	}
	SortRows(merged)
	return merged
}

func add(sum, row Row) Row {
	counts := make([]Count, len(row.Counts))
	copy(counts, sum.Counts)
	for i, c := range row.Counts {
		counts[i].Total += c.Total
		counts[i].Good += c.Good
	}
	return Row{Series: row.Series, Counts: counts}
}
