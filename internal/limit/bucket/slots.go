package bucket

// Slots counts running requests against a capacity that can change. The zero Slots has no capacity.
type Slots struct{ used, capacity int }

// SetCapacity changes the capacity. Running requests above a lower one go on; new ones wait for them.
func (s *Slots) SetCapacity(n int) { s.capacity = n }

// Acquire takes a slot if one is free.
func (s *Slots) Acquire() bool {
	if s.used >= s.capacity {
		return false
	}
	s.used++
	return true
}

// Release returns a slot.
func (s *Slots) Release() {
	if s.used > 0 {
		s.used--
	}
}

// Used returns the number of running requests.
func (s *Slots) Used() int { return s.used }

// Capacity returns the capacity.
func (s *Slots) Capacity() int { return s.capacity }
