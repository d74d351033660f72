// Package retry decides whether, when and how often a request is sent again: deadlines that travel with the request, a
// retry budget for each team, full-jitter backoff, a circuit breaker for each endpoint, and one function, May, that says
// whether an error may be retried at all.
package retry
