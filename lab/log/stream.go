package main

import (
	"sync"
	"time"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/core"
)

// stream is one append-only stream. The zero value is empty.
type stream struct {
	mu      sync.Mutex
	records []kept
	next    core.Offset
	changed chan struct{}
}

type kept struct {
	record logservice.Record
	at     time.Time
}

// add appends a record and wakes the readers that wait.
func (s *stream) add(now time.Time, data []byte) core.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(s.next, 1)
	offset := s.next
	s.next++
	s.records = append(s.records, kept{logservice.Record{Offset: offset, Data: data}, now})
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return offset
}

// trim drops records that are older than a time.
func (s *stream) trim(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.records) && s.records[n].at.Before(before) {
		n++
	}
	s.records = s.records[n:]
}

// page returns records from an offset on, and a channel that is closed at the
// next append.
func (s *stream) page(from core.Offset, most int) (logservice.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	next := max(s.next, 1)
	p := logservice.Page{Earliest: next, Next: next, Records: []logservice.Record{}}
	if len(s.records) > 0 {
		p.Earliest = s.records[0].record.Offset
	}
	for _, k := range s.records {
		if k.record.Offset >= from && len(p.Records) < most {
			p.Records = append(p.Records, k.record)
		}
	}
	return p, s.changed
}
