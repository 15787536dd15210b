package load

// meanWeight is the weight of the newest value in a Mean.
const meanWeight = 0.05

// Mean is a moving mean. The zero value has none.
type Mean struct {
	Value float64
	known bool
}

// Record adds a value.
func (m *Mean) Record(value float64) {
	if !m.known {
		m.Value, m.known = value, true
		return
	}
	m.Value += meanWeight * (value - m.Value)
}
