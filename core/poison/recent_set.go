package poison

// recentSet holds the keys that were added last: at least limit of them, at most twice
// as many. The zero value is empty.
type recentSet[K comparable] struct {
	newer, older map[K]struct{}
}

// add adds a key, or renews it. Limit is the number of keys that are kept for sure.
func (s *recentSet[K]) add(k K, limit int) {
	if _, ok := s.newer[k]; ok {
		return
	}
	if s.newer == nil || len(s.newer) >= limit {
		s.older, s.newer = s.newer, map[K]struct{}{}
	}
	s.newer[k] = struct{}{}
}

// has reports whether a key is in the set.
func (s *recentSet[K]) has(k K) bool {
	if _, ok := s.newer[k]; ok {
		return true
	}
	_, ok := s.older[k]
	return ok
}
