// Package burn computes how fast the error budgets of service-level objectives are
// used up.
package burn

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
)

// Objective identifies a service-level objective.
type Objective string

const (
	// FirstToken is met if the first token arrives within FirstTokenLimit.
	FirstToken Objective = "first_token"
	// WholeAnswer is met if the caller receives the whole answer.
	WholeAnswer Objective = "whole"
	// Accepted is met if the request is not refused.
	Accepted Objective = "accepted"
)

// FirstTokenLimit is the promised time to the first token.
const FirstTokenLimit = 330 * time.Millisecond

// Target returns the fraction of requests that must meet the objective.
func (o Objective) Target() float64 {
	if o == FirstToken {
		return 0.95
	}
	return 0.999
}

// Windows returns the spans over which burn rates are computed, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}
}

// slotCount slots of slotLength cover the longest of Windows.
const (
	slotLength = time.Minute
	slotCount  = 360
)

// Series identifies the requests and the objective that are counted together.
type Series struct {
	Account   core.Account
	Pool      core.Pool
	Objective Objective
}

// Count holds the number of requests and how many of them met the objective.
type Count struct {
	Total uint32
	Good  uint32
}

// ring holds the counts of the last slotCount slots of one series.
type ring struct {
	slots [slotCount]Count
	// last is the number of the newest slot.
	last int64
}

// Table holds the counts of all series. The zero value is empty.
type Table struct {
	rings map[Series]*ring
}

// Record counts a request of a series. good is true if it met the objective.
func (t *Table) Record(now time.Time, s Series, good bool) {
	if t.rings == nil {
		t.rings = map[Series]*ring{}
	}
	r := t.rings[s]
	if r == nil {
		r = &ring{last: slotNumber(now)}
		t.rings[s] = r
	}
	r.advance(now)
	c := &r.slots[slotNumber(now)%slotCount]
	c.Total++
	if good {
		c.Good++
	}
}

// slotNumber returns the number of whole slots between the Unix epoch and now.
func slotNumber(now time.Time) int64 {
	return now.Unix() / int64(slotLength/time.Second)
}

// advance makes the slot of now the newest one, unless it is older, and clears it
// and those between it and the previous newest one.
func (r *ring) advance(now time.Time) {
	current := slotNumber(now)
	first := max(r.last+1, current-slotCount+1)
	for i := first; i <= current; i++ {
		r.slots[i%slotCount] = Count{}
	}
	r.last = max(r.last, current)
}

// Row holds the counts of one series over all windows.
type Row struct {
	Series Series
	// Counts has one element for each of Windows.
	Counts []Count
}

// Rows returns the counts of all series up to now, in the order of SortRows. It
// clears expired slots, so the caller must hold the table exclusively.
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

// SortRows sorts rows by account, pool and objective.
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
	current := slotNumber(now)
	for i := range int64(window / slotLength) {
		c := r.slots[(current-i)%slotCount]
		total.Total += c.Total
		total.Good += c.Good
	}
	return total
}

// Rate returns the burn rate: how many times faster than permitted the error budget
// of an objective is used up. At 1 the budget is used up exactly at the end of the
// objective's period. Without requests the rate is 0.
func (c Count) Rate(o Objective) float64 {
	if c.Total == 0 {
		return 0
	}
	failed := float64(c.Total-c.Good) / float64(c.Total)
	return failed / (1 - o.Target())
}

// Merge adds up the rows of several routers by series and sorts the result.
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
