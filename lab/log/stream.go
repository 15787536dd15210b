package main

import (
	"sync"
	"time"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/core"
)

// stream is an append-only sequence of records. Its zero value is empty and
// ready for use.
type stream struct {
	mu      sync.Mutex
	records []storedRecord
	next    core.Offset
	// appended is closed at the next append. It is nil from an append to the next
	// call of page.
	appended chan struct{}
}

type storedRecord struct {
	record     logservice.Record
	appendedAt time.Time
}

// append adds a record at the end, wakes the readers that wait for one and
// returns the offset of the record. Offsets begin at 1.
func (s *stream) append(now time.Time, data []byte) core.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(s.next, 1)
	offset := s.next
	s.next++
	s.records = append(s.records, storedRecord{logservice.Record{Offset: offset, Data: data}, now})
	if s.appended != nil {
		close(s.appended)
		s.appended = nil
	}
	return offset
}

// dropBefore removes the records that were appended before a time.
func (s *stream) dropBefore(limit time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.records) && s.records[n].appendedAt.Before(limit) {
		n++
	}
	s.records = s.records[n:]
}

// page returns at most limit records from an offset on, and a channel that is
// closed at the next append.
func (s *stream) page(from core.Offset, limit int) (logservice.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appended == nil {
		s.appended = make(chan struct{})
	}
	next := max(s.next, 1)
	p := logservice.Page{Earliest: next, Next: next, Records: []logservice.Record{}}
	if len(s.records) > 0 {
		p.Earliest = s.records[0].record.Offset
	}
	for _, r := range s.records {
		if r.record.Offset >= from && len(p.Records) < limit {
			p.Records = append(p.Records, r.record)
		}
	}
	return p, s.appended
}
