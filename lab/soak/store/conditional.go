package store

import (
	"slices"
	"strconv"
	"time"
)

// putAt appends records to a topic if that ends at an offset, or if the offset is empty. It
// returns the end of the topic, and whether it has appended them.
func (s *Store) putAt(topic, at string, records []record) (end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end = len(s.topics[topic]); at != "" && at != strconv.Itoa(end) {
		return end, false
	}
	if s.topics == nil {
		s.topics = map[string][]record{}
	}
	for _, r := range records {
		r.at = time.Now()
		s.topics[topic] = append(s.topics[topic], r)
	}
	return len(s.topics[topic]), true
}

// Newest returns the value of the newest record of a key; nil if there is none.
func (s *Store) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.topics[topic]) {
		if r.key == key {
			return r.value
		}
	}
	return nil
}

// Values returns the values of all records of a key, the oldest one first.
func (s *Store) Values(topic, key string) [][]byte {
	all, _ := s.readFrom(topic, 0)
	var values [][]byte
	for _, r := range all {
		if r.key == key {
			values = append(values, r.value)
		}
	}
	return values
}
