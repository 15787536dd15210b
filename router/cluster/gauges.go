package cluster

import (
	"time"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/router/metrics"
)

// gauges returns the metrics that are read from the router's state at each scrape.
func (r *Router) gauges() []metrics.Gauge {
	return []metrics.Gauge{
		{Name: "catalog_version", Description: "version of the configuration in force", Read: func() int64 {
			return int64(r.fleet.CatalogVersion())
		}},
		{Name: "routers_known", Description: "routers that may exist", Read: func() int64 {
			return int64(len(r.fleet.Members(time.Now())) + 1)
		}},
		{Name: "refused_parts", Description: "parts of prompts under which requests are refused, because they crash upstreams", Read: func() int64 {
			return int64(r.fleet.RefusedParts())
		}},
		{Name: "limited_upstreams", Description: "upstreams that name a limit of requests per second", Read: func() int64 {
			return int64(r.fleet.LimitedUpstreams(time.Now()))
		}},
		{Name: "slow_upstreams", Description: "upstreams whose hosts are known to be slow", Read: func() int64 {
			return int64(r.fleet.SlowUpstreams(time.Now()))
		}},
		{Name: "cut_off_pools", Description: "pools of which this router can't reach any upstream", Read: func() int64 {
			return int64(r.fleet.CutOffPools(time.Now()))
		}},
		{Name: "slots_granted", Description: "slots of applications that this router has granted and that aren't returned", Read: func() int64 {
			return int64(r.fleet.SlotStatus(time.Now()).Taken)
		}},
		{Name: "slots_awaited", Description: "requests that wait for a slot which this router grants", Read: func() int64 {
			return int64(r.fleet.SlotStatus(time.Now()).Waiting)
		}},
		{Name: "message_delay_ms", Description: "longest recent delay of messages from other routers in milliseconds", Read: func() int64 {
			return r.fleet.MessageDelay(time.Now()).Milliseconds()
		}},
		{Name: "rollout_exposed", Description: "requests of this router that have gone to a new release during its roll-out", Read: func() int64 {
			exposed, _ := r.fleet.RolloutFigures()
			return int64(exposed)
		}},
		{Name: "rollout_bad_answers", Description: "bad answers of new releases that this router knows as the conductor of their roll-outs", Read: func() int64 {
			_, bad := r.fleet.RolloutFigures()
			return int64(bad)
		}},
		{Name: "job_panics", Description: "panics that ended a job or an attempt", Read: worker.Panics},
		{Name: "memory_held_bytes", Description: "bytes held for callers and upstreams", Read: r.memory.Held},
		{Name: "memory_refused", Description: "bodies and responses that were refused or dropped because memory was short", Read: r.memory.Refused},
		{Name: "caller_connections", Description: "connections of callers", Read: func() int64 { return int64(r.callerConns.Len()) }},
		{Name: "log_lines_left_out", Description: "log lines over the budget of their kind", Read: logs.SuppressedLines},
	}
}
