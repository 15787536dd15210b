// Package store is an in-memory stand-in for the platform's metadata store: keyed
// topics of one partition, with long-poll reads and injected faults.
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

// Fault is a fault that affects all calls over HTTP.
type Fault int

// The faults of a store.
const (
	NoFault Fault = iota
	// NoResponse accepts calls, doesn't respond, and closes the connection when
	// the fault ends.
	NoResponse
	// Unavailable responds with status 503 and does nothing.
	Unavailable
	// Slow handles calls after a delay.
	Slow
	// ResponseLost carries out appends and closes the connection of a share of
	// them without a response.
	ResponseLost
)

// String returns the name of the fault for logs.
func (f Fault) String() string {
	return [...]string{"none", "no_response", "unavailable", "slow", "response_lost"}[f]
}

const (
	// slowDelay is the delay of a call under the fault Slow.
	slowDelay = 300 * time.Millisecond
	// lostShare is the share of appends that get no response under the fault
	// ResponseLost.
	lostShare = 0.5
	// pollInterval is the time between two checks of a waiting call.
	pollInterval = 5 * time.Millisecond
	// newestPageSize is the number of items in a page of newest records.
	newestPageSize = 500
)

// record is a record of a keyed topic. A record without a value removes its key.
type record struct {
	key   string
	value []byte
	at    time.Time
}

// Store is a store in memory. The zero value is empty.
type Store struct {
	mu     sync.Mutex
	topics map[string][]record
	// restores is the number of times that the store has come back from an older copy.
	restores int
	fault    Fault
}

// SetFault applies a fault in place of the previous one. NoFault ends it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Store) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Put appends a record from within the process. Faults don't affect it, so that
// runners and operators can write to the store while routers can't.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topics == nil {
		s.topics = map[string][]record{}
	}
	s.topics[topic] = append(s.topics[topic], record{key: key, value: value, at: time.Now()})
}

// Restore brings the store back from a copy of some time ago: what was written later is
// lost, and its offsets are given out again. It returns a function that writes the newest
// lost record of each key again, in the topics that are not the routers' own.
func (s *Store) Restore(age time.Duration, ownTopic string) (writeAgain func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
	copiedAt := time.Now().Add(-age)
	lost := map[string][]record{}
	for topic, all := range s.topics {
		kept := slices.IndexFunc(all, func(r record) bool { return r.at.After(copiedAt) })
		if kept < 0 {
			continue
		}
		if topic != ownTopic {
			lost[topic] = slices.Clone(all[kept:])
		}
		s.topics[topic] = slices.Clone(all[:kept])
	}
	return func() {
		for topic, all := range lost {
			s.putNewest(topic, all)
		}
	}
}

// putNewest appends the newest of the records of each key, unless one was written since.
func (s *Store) putNewest(topic string, all []record) {
	newest := map[string]record{}
	for _, r := range all {
		newest[r.key] = r
	}
	present, _ := s.readFrom(topic, 0)
	for _, r := range present {
		if r.at.After(newest[r.key].at) {
			delete(newest, r.key)
		}
	}
	for _, r := range newest {
		s.Put(topic, r.key, r.value)
	}
}

func (s *Store) era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restores + 1
}

// readFrom returns the records of a topic from an offset on, and the topic's end
// offset.
func (s *Store) readFrom(topic string, from int) ([]record, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return slices.Clone(all[min(max(from, 0), len(all)):]), len(all)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", strconv.Itoa(s.era()))
	switch s.currentFault() {
	case NoResponse:
		for s.currentFault() == NoResponse && r.Context().Err() == nil {
			time.Sleep(pollInterval)
		}
		panic(http.ErrAbortHandler)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Slow:
		time.Sleep(slowDelay)
	case NoFault, ResponseLost:
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

// lengthSize is the size in bytes of the length prefix of a record.
const lengthSize = 4

// append stores the records of the body: each a 4-byte length, a 1-byte key length,
// the key and the value. It responds with the topic's end offset.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records []record
	for len(body) > lengthSize {
		size := int(binary.BigEndian.Uint32(body))
		entry := body[lengthSize : lengthSize+size]
		keySize := int(entry[0])
		records = append(records, record{key: string(entry[1 : 1+keySize]), value: slices.Clone(entry[1+keySize:])})
		body = body[lengthSize+size:]
	}
	if end, ok := s.putAt(r.URL.Query().Get("topic"), r.URL.Query().Get("at"), records); !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	if s.currentFault() == ResponseLost && rand.Float64() < lostShare {
		panic(http.ErrAbortHandler)
	}
	_, end := s.readFrom(r.URL.Query().Get("topic"), 0)
	writeJSON(w, map[string]int{"end": end})
}

// read responds with a topic's end offset, eight zero bytes, and the records from an
// offset on. If there are none, it waits for one up to wait_ms milliseconds.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	records, end := s.readFrom(q.Get("topic"), from)
	if from > end {
		w.WriteHeader(http.StatusGone)
		return
	}
	for len(records) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(pollInterval)
		records, end = s.readFrom(q.Get("topic"), from)
	}
	if f := s.currentFault(); f == NoResponse {
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

// newest responds with a page of the newest record of each key, in the order of the
// keys, from the first key beyond the parameter after.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	records, end := s.readFrom(q.Get("topic"), 0)
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
	more := len(items) > newestPageSize
	writeJSON(w, map[string]any{"items": items[:min(len(items), newestPageSize)], "has_more": more, "end": end})
}

// writeJSON sends a JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
