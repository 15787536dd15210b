// Package store is a stand-in for the platform's metadata store: keyed topics of
// one partition, long reads, and the ways in which the store fails.
package store

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault is how the store misbehaves.
type Fault int

// The faults of a store.
const (
	None Fault = iota
	// Silent accepts calls and doesn't answer.
	Silent
	// Busy answers 503 and does nothing.
	Busy
	// Slow answers late.
	Slow
	// Lost carries appends out and breaks the connection.
	Lost
)

// String returns the word for logs.
func (f Fault) String() string { return [...]string{"none", "silent", "busy", "slow", "lost"}[f] }

const (
	// slowness is how late answers of a slow store are.
	slowness = 300 * time.Millisecond
	// lostShare is the share of appends whose answers are lost.
	lostShare = 0.5
	// lookEvery is the time between two looks of a waiting read.
	lookEvery = 5 * time.Millisecond
	// newestItems is the number of items of a page.
	newestItems = 500
)

// record is a record of a keyed topic; one without a value drops its key.
type record struct {
	key   string
	value []byte
}

// Store is a store in memory. The zero value is empty.
type Store struct {
	mu     sync.Mutex
	topics map[string][]record
	fault  Fault
}

// Set makes the store misbehave from now on.
func (s *Store) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Store) failing() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Put writes a record, whatever fault is on. The store's own users go on then.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topics == nil {
		s.topics = map[string][]record{}
	}
	s.topics[topic] = append(s.topics[topic], record{key: key, value: value})
}

// since returns the records from an offset on and the end.
func (s *Store) since(topic string, from int) ([]record, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return slices.Clone(all[min(max(from, 0), len(all)):]), len(all)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch s.failing() {
	case Silent:
		for s.failing() == Silent && r.Context().Err() == nil {
			time.Sleep(lookEvery)
		}
		panic(http.ErrAbortHandler)
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Slow:
		time.Sleep(slowness)
	case None, Lost:
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// lengthSize is the size of the length before each record.
const lengthSize = 4

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for len(body) > lengthSize {
		size := int(binary.BigEndian.Uint32(body))
		one := body[lengthSize : lengthSize+size]
		key := int(one[0])
		s.Put(r.URL.Query().Get("topic"), string(one[1:1+key]), slices.Clone(one[1+key:]))
		body = body[lengthSize+size:]
	}
	if s.failing() == Lost && rand.Float64() < lostShare {
		panic(http.ErrAbortHandler)
	}
	_, end := s.since(r.URL.Query().Get("topic"), 0)
	reply(w, map[string]int{"end": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	records, end := s.since(q.Get("topic"), from)
	for len(records) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		time.Sleep(lookEvery)
		records, end = s.since(q.Get("topic"), from)
	}
	if f := s.failing(); f == Silent {
		panic(http.ErrAbortHandler)
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, rec := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
	}
	_, _ = w.Write(body)
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	records, end := s.since(q.Get("topic"), 0)
	newest := map[string]item{}
	for i, rec := range records {
		if newest[rec.key] = (item{Key: rec.key, Value: rec.value, Offset: i}); len(rec.value) == 0 {
			delete(newest, rec.key)
		}
	}
	items := []item{}
	for key, it := range newest {
		if key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > newestItems
	reply(w, map[string]any{"items": items[:min(len(items), newestItems)], "has_more": more, "end": end})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
