package poison

// recentMap holds the entries that were put last: at least limit of them, at most twice as many.
// The zero value is empty.
type recentMap[K comparable, V any] struct {
	newer, older map[K]V
}

// put puts an entry, or replaces and renews it. Limit is the number of entries that are kept for
// sure.
func (m *recentMap[K, V]) put(k K, v V, limit int) {
	if _, ok := m.newer[k]; !ok && (m.newer == nil || len(m.newer) >= limit) {
		m.older, m.newer = m.newer, map[K]V{}
	}
	m.newer[k] = v
}

// get returns the value of a key, and whether there is one.
func (m *recentMap[K, V]) get(k K) (V, bool) {
	if v, ok := m.newer[k]; ok {
		return v, true
	}
	v, ok := m.older[k]
	return v, ok
}

// has reports whether a key has an entry.
func (m *recentMap[K, V]) has(k K) bool {
	_, ok := m.get(k)
	return ok
}

// remove removes the entry of a key.
func (m *recentMap[K, V]) remove(k K) {
	delete(m.newer, k)
	delete(m.older, k)
}
