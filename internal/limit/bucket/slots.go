package bucket

// Slots counts running requests against a capacity that can change. The zero Slots has no capacity.
type Slots struct{ used, capacity int }

// SetCapacity changes the capacity. If more requests are running, Acquire fails until enough of them are released.
func (s *Slots) SetCapacity(n int) { s.capacity = n }

// Acquire takes a slot if one is free.
func (s *Slots) Acquire() bool {
	if s.used >= s.capacity {
		return false
	}
	s.used++
	return true
}

// Release frees a slot. It has no effect if none is in use.
func (s *Slots) Release() {
	if s.used > 0 {
		s.used--
	}
}

// Used returns the number of running requests.
func (s *Slots) Used() int { return s.used }

// Capacity returns the maximum number of running requests.
func (s *Slots) Capacity() int { return s.capacity }
