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

// storeRecord is a record of a keyed topic. One without a value removes its key.
type storeRecord struct {
	key   string
	value []byte
}

// store is the platform's metadata store: keyed topics of one partition, with conditional
// appends and long-poll reads.
type store struct {
	address string
	mu      sync.Mutex
	topics  map[string][]storeRecord
	// changed is closed at the next append.
	changed chan struct{}
	// busy is true while the store rejects all calls with status 503.
	busy bool
}

// storePageSize is the largest number of items in a page of newest records.
const storePageSize = 500

func startStore(ip string) *store {
	s := &store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	ln := listen(ip)
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s
}

// put appends a record, as the operator and the runners do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, []storeRecord{{key, value}})
}

func (s *store) append(topic string, records []storeRecord) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, topic)
	case "/log-read":
		s.serveRead(w, r, topic)
	case "/log-newest":
		s.serveNewest(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || 4+size > len(body) || 1+int(body[4]) > size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := body[4 : 4+size]
		n := int(record[0])
		records = append(records, storeRecord{string(record[1 : 1+n]), append([]byte(nil), record[1+n:]...)})
		body = body[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end": end})
		return
	}
	s.append(topic, records)
	writeJSON(w, map[string]int{"offset": end, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		all, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(all) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first": 0})
			return
		}
		if from < len(all) || waitMS == 0 {
			_, _ = w.Write(encodeRead(all, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRead returns the body of a read: the end and the first offset, and the records.
func encodeRead(all []storeRecord, from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, r := range all[from:] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(append(append(body, byte(len(r.key))), r.key...), r.value...)
	}
	return body
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]item{}
	for i, rec := range s.topics[topic] {
		if newest[rec.key] = (item{rec.key, rec.value, i}); len(rec.value) == 0 {
			delete(newest, rec.key)
		}
	}
	items := []item{}
	for key, it := range newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > storePageSize
	writeJSON(w, map[string]any{"items": items[:min(len(items), storePageSize)], "has_more": more, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}

// listen opens a listener on a free port of a loopback address.
func listen(ip string) net.Listener {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		unable(err)
	}
	return ln
}
