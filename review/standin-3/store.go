package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is a record of a keyed topic. A record without a value removes its key.
type record struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: keyed topics of one partition in memory. It loses
// nothing and answers at once.
type store struct {
	mu     sync.Mutex
	topics map[string][]record
	// grown is closed at the next append.
	grown  chan struct{}
	server *http.Server
	addr   string
}

func startStore() (*store, error) {
	s := &store{topics: map[string][]record{}, grown: make(chan struct{})}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	s.server, s.addr = &http.Server{Handler: mux}, ln.Addr().String()
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// put appends records to a topic that ends at an offset; -1 stands for any. It returns the end.
func (s *store) put(topic string, at int, records ...record) (end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end = len(s.topics[topic]); at >= 0 && at != end {
		return end, false
	}
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.grown)
	s.grown = make(chan struct{})
	return len(s.topics[topic]), true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records []record
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || 1+int(body[4]) > size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		entry := body[4 : 4+size]
		n := 1 + int(entry[0])
		records = append(records, record{key: string(entry[1:n]), value: append([]byte(nil), entry[n:]...)})
		body = body[4+size:]
	}
	at := -1
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.Atoi(text)
	}
	end, ok := s.put(r.URL.Query().Get("topic"), at, records...)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end - len(records), "end": end})
}

// since returns the records of a topic from an offset on, the topic's end, and what is closed when
// there are more.
func (s *store) since(topic string, from int) ([]record, int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return append([]record(nil), all[min(max(from, 0), len(all)):]...), len(all), s.grown
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	records, end, grown := s.since(q.Get("topic"), from)
	for waiting := true; waiting && len(records) == 0; {
		select {
		case <-grown:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
		records, end, grown = s.since(q.Get("topic"), from)
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, rec := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
	}
	_, _ = w.Write(body)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	records, end, _ := s.since(r.URL.Query().Get("topic"), 0)
	byKey := map[string]item{}
	for i, rec := range records {
		if byKey[rec.key] = (item{rec.key, rec.value, i}); len(rec.value) == 0 {
			delete(byKey, rec.key)
		}
	}
	items := []item{}
	for key, it := range byKey {
		if key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items[:min(len(items), 500)], "has_more": more, "end": end})
}
