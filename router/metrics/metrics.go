// Package metrics defines the OpenTelemetry instruments of the router, for the
// programs camphorpulley and camphorpulley-platform.
package metrics

import (
	"context"
	"time"

	"camphorpulley.org/base/wrap"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"camphorpulley.org/core"
)

// Metrics holds the instruments. The zero value records nothing.
type Metrics struct {
	requests      metric.Int64Counter
	attempts      metric.Int64Counter
	outcomes      metric.Int64Counter
	kept          metric.Int64Counter
	slots         metric.Int64Counter
	slotWait      metric.Float64Histogram
	dropped       metric.Int64Counter
	crashes       metric.Int64Counter
	messageBytes  metric.Int64Counter
	messages      metric.Int64Counter
	crossed       metric.Int64Counter
	crossedBytes  metric.Int64Counter
	firstByte     metric.Float64Histogram
	underestimate metric.Int64Histogram
}

// Gauge is a metric whose value is read when metrics are collected.
type Gauge struct {
	Name        string
	Description string
	Read        func() int64
}

// underestimateBuckets are the boundaries of load_underestimate in requests.
var underestimateBuckets = []float64{0, 1, 2, 4, 8, 16, 32, 64}

// slotWaitBuckets are the boundaries of slot_wait in seconds.
var slotWaitBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.03, 0.06, 0.15, 0.5, 2}

// New registers the instruments and gauges with the Prometheus exporter.
func New(gauges ...Gauge) (*Metrics, error) {
	exporter, err := prometheus.New()
	if err != nil {
		return nil, wrap.Err(err, "create Prometheus exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("camphorpulley.org/router")
	m := &Metrics{}
	counters := []struct {
		target            *metric.Int64Counter
		name, description string
	}{
		{&m.requests, "requests", "requests by pool and outcome"},
		{&m.attempts, "attempts", "attempts at upstreams"},
		{&m.outcomes, "attempt_outcomes", "attempts by pool and outcome"},
		{&m.kept, "attempts_kept", "overdue attempts that went on, since no other upstream took the request"},
		{&m.slots, "slot_requests", "questions for slots of scarce applications, by pool and outcome"},
		{&m.dropped, "dropped_parts", "late, doubled or crossed parts of answers"},
		{&m.crashes, "crashes", "requests that were running when an upstream crashed"},
		{&m.messageBytes, "message_bytes", "bytes of messages to other routers by kind and reach"},
		{&m.messages, "messages", "messages to other routers by kind and reach"},
		{&m.crossed, "crossed_attempts", "attempts in other data centres by pool and why they went there"},
		{&m.crossedBytes, "crossed_bytes", "bytes of these attempts' requests and answers"},
	}
	for _, c := range counters {
		if *c.target, err = meter.Int64Counter(c.name, metric.WithDescription(c.description)); err != nil {
			return nil, wrap.Err(err, c.name)
		}
	}
	m.firstByte, err = meter.Float64Histogram("first_byte", metric.WithUnit("s"),
		metric.WithDescription("time to the first byte of an answer"))
	if err != nil {
		return nil, wrap.Err(err, "first_byte")
	}
	m.slotWait, err = meter.Float64Histogram("slot_wait", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(slotWaitBuckets...),
		metric.WithDescription("time from a question for a slot until its outcome"))
	if err != nil {
		return nil, wrap.Err(err, "slot_wait")
	}
	m.underestimate, err = meter.Int64Histogram("load_underestimate", metric.WithUnit("{request}"),
		metric.WithExplicitBucketBoundaries(underestimateBuckets...),
		metric.WithDescription("requests at an upstream by its own report beyond those that the router believed to be there"))
	if err != nil {
		return nil, wrap.Err(err, "load_underestimate")
	}
	return m, observe(meter, gauges)
}

func observe(meter metric.Meter, gauges []Gauge) error {
	for _, g := range gauges {
		_, err := meter.Int64ObservableGauge(g.Name, metric.WithDescription(g.Description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(g.Read())
				return nil
			}))
		if err != nil {
			return wrap.Err(err, g.Name)
		}
	}
	return nil
}

func poolAttribute(pool core.Pool) attribute.KeyValue {
	return attribute.String("pool", string(pool))
}

// Request counts a finished request by its outcome.
func (m *Metrics) Request(pool core.Pool, outcome string) {
	if m.requests != nil {
		m.requests.Add(context.Background(), 1,
			metric.WithAttributes(poolAttribute(pool), attribute.String("outcome", outcome)))
	}
}

// FirstByte records the time from a request until the response to the caller began.
func (m *Metrics) FirstByte(pool core.Pool, d time.Duration) {
	if m.firstByte != nil {
		m.firstByte.Record(context.Background(), d.Seconds(), metric.WithAttributes(poolAttribute(pool)))
	}
}

// LoadUnderestimate records by how many requests the load that an upstream reports exceeds
// the one that the router believed when it chose the upstream; 0 if it doesn't.
func (m *Metrics) LoadUnderestimate(pool core.Pool, requests int) {
	if m.underestimate != nil {
		m.underestimate.Record(context.Background(), int64(max(requests, 0)), metric.WithAttributes(poolAttribute(pool)))
	}
}

// AttemptStarted counts an attempt to send a request to an upstream. Only package
// exchange calls it.
func (m *Metrics) AttemptStarted(pool core.Pool) { m.count(m.attempts, pool) }

// Ended counts a finished attempt by its outcome. Only package relay calls it.
func (m *Metrics) Ended(pool core.Pool, outcome string) {
	if m.outcomes != nil {
		m.outcomes.Add(context.Background(), 1,
			metric.WithAttributes(poolAttribute(pool), attribute.String("outcome", outcome)))
	}
}

// Kept counts an overdue attempt that goes on, since no other upstream takes the request.
// Only package relay calls it.
func (m *Metrics) Kept(pool core.Pool) { m.count(m.kept, pool) }

// Crossed counts an attempt in another data centre and the bytes of its request and answer by why
// it went there. Only package relay calls it.
func (m *Metrics) Crossed(pool core.Pool, why string, bytes int) {
	if m.crossed == nil {
		return
	}
	attributes := metric.WithAttributes(poolAttribute(pool), attribute.String("why", why))
	m.crossed.Add(context.Background(), 1, attributes)
	m.crossedBytes.Add(context.Background(), int64(bytes), attributes)
}

// Slot counts a question for a slot by its outcome and by whether it was queued, and records the
// time until that. Only package relay calls it.
func (m *Metrics) Slot(pool core.Pool, outcome string, queued bool, waited time.Duration) {
	if m.slots == nil {
		return
	}
	m.slots.Add(context.Background(), 1,
		metric.WithAttributes(poolAttribute(pool), attribute.String("outcome", outcome), attribute.Bool("queued", queued)))
	m.slotWait.Record(context.Background(), waited.Seconds(), metric.WithAttributes(poolAttribute(pool)))
}

// DroppedEvent counts an event that was dropped rather than delivered: a duplicate,
// or a late one of an earlier attempt.
func (m *Metrics) DroppedEvent(pool core.Pool) { m.count(m.dropped, pool) }

// CrashSuspect counts a request that was running when an upstream crashed, and is
// therefore a suspect.
func (m *Metrics) CrashSuspect(pool core.Pool) { m.count(m.crashes, pool) }

// MessageSent counts a message to another router and its bytes by its kind. Local is true
// if that router is in the same data centre.
func (m *Metrics) MessageSent(kind string, local bool, bytes int) {
	if m.messageBytes == nil {
		return
	}
	reach := "remote"
	if local {
		reach = "local"
	}
	attributes := metric.WithAttributes(attribute.String("kind", kind), attribute.String("reach", reach))
	m.messageBytes.Add(context.Background(), int64(bytes), attributes)
	m.messages.Add(context.Background(), 1, attributes)
}

func (m *Metrics) count(c metric.Int64Counter, pool core.Pool) {
	if c != nil {
		c.Add(context.Background(), 1, metric.WithAttributes(poolAttribute(pool)))
	}
}
