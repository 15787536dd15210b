package main

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// record is a record of a keyed topic. An empty value removes the key.
type record struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's metadata store: keyed topics with one partition.
type store struct {
	address string
	mu      sync.Mutex
	topics  map[string][]record
}

func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), topics: map[string][]record{}}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// put appends a record, as the operator and the runners do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
}

func (s *store) from(topic string, offset int) (records []record, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return slices.Clone(all[min(max(offset, 0), len(all)):]), len(all)
}

// callTime is how long the store takes for an answer.
const callTime = 4 * time.Millisecond

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callTime)
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.append(w, r, topic)
	case "GET /log-read":
		s.read(w, r, topic)
	case "GET /log-newest":
		s.newest(w, topic, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, first := s.from(topic, 0)
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		entry := body[4 : 4+size]
		keySize := int(entry[0])
		s.put(topic, string(entry[1:1+keySize]), slices.Clone(entry[1+keySize:]))
		body = body[4+size:]
	}
	_, end := s.from(topic, 0)
	writeJSON(w, map[string]int{"offset": first, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	q := r.URL.Query()
	offset, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	records, end := s.from(topic, offset)
	for len(records) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(2 * time.Millisecond)
		records, end = s.from(topic, offset)
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, rec := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
	}
	_, _ = w.Write(body)
}

func (s *store) newest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	records, end := s.from(topic, 0)
	byKey := map[string]item{}
	for i, rec := range records {
		if byKey[rec.key] = (item{rec.key, rec.value, i}); len(rec.value) == 0 {
			delete(byKey, rec.key)
		}
	}
	items := []item{}
	for key, it := range byKey {
		if key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	const pageSize = 500
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": len(items) > pageSize, "end": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// putConfig writes the operator's configuration.
func (s *store) putConfig(c any) {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	s.put("keyed.op", "config", text)
}
