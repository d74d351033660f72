package conns

import "time"

// State is what is known of a connection when one has to be closed.
type State struct {
	// Serving is set while a request is in progress, IsNew if none has come yet.
	Serving, IsNew bool
	// HeadMemory is the memory that the head takes which is being read, 0 if the connection is idle.
	HeadMemory int64
	// Since is when the connection was opened, or its last request ended.
	Since time.Time
}

// Victim chooses the connection that is closed when there are too many. It answers a crowd of clients that open connections and send no requests, or
// never end them: connections without a whole request come first, the oldest first, since callers send their request at once. Then come those that are
// idle after a request, the one that is idle for the longest first. A connection with a request in progress is never closed; it returns false if there
// are no others.
func Victim(states []State) (index int, ok bool) {
	index = -1
	for i, s := range states {
		if !s.Serving && (index < 0 || s.goesBefore(states[index])) {
			index = i
		}
	}
	return index, index >= 0
}

func (s State) goesBefore(other State) bool {
	if s.IsNew != other.IsNew {
		return s.IsNew
	}
	return s.Since.Before(other.Since)
}
