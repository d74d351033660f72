package conns

import "time"

// State is what is known of a connection when one has to be closed.
type State struct {
	// Serving is set while a request is in progress whose body was read to its end, ReadsBody before, IsNew if no request has come yet.
	Serving, ReadsBody, IsNew bool
	// WriteBlocked is set if the client has taken in nothing of a response since Since.
	WriteBlocked bool
	// HeadMemory is the memory that the head takes which is being read, 0 if the connection is idle.
	HeadMemory int64
	// Since is when the connection was opened, its last request ended, or the head or the body began that is being read.
	Since time.Time
	// IsFresh is set if Since was a moment ago, so that the client has had no time to send more.
	IsFresh bool
}

// priority orders connections that may be closed. Lower ones are closed first.
type priority int

const (
	// awaited is for connections whose client has not sent the rest of a request for some time, or sent nothing since it was opened.
	awaited priority = iota
	idle
	blocked
	// fresh is for connections whose client may be sending its request.
	fresh
	inUse
)

// priority returns when a connection is closed.
func (s State) priority() priority {
	switch {
	case s.WriteBlocked:
		return blocked
	case s.Serving:
		return inUse
	case !s.IsNew && !s.ReadsBody && s.HeadMemory == 0:
		return idle
	case s.IsFresh:
		return fresh
	}
	return awaited
}

// Victim chooses the connection that is closed when there are too many. It answers a crowd of clients that open connections and send no requests, never
// end them, or don't read the responses: connections without a whole request come first, since callers send their request at once, then those that are
// idle after a request, then those whose client takes in nothing. Among these the oldest comes first. A connection that was opened or began its request
// a moment ago comes last, and one with a request in progress is never closed; it returns false if there are no others.
func Victim(states []State) (index int, ok bool) {
	index = -1
	for i, s := range states {
		if s.priority() != inUse && (index < 0 || s.goesBefore(states[index])) {
			index = i
		}
	}
	return index, index >= 0
}

func (s State) goesBefore(other State) bool {
	if a, b := s.priority(), other.priority(); a != b {
		return a < b
	}
	return s.Since.Before(other.Since)
}
