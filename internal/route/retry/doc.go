// Package retry decides whether, when and how often a request is sent again. It provides deadlines that are passed on with the
// request, retry budgets for teams and for groups of endpoints, exponential backoff with full jitter, a circuit breaker for each
// endpoint, and the function Retryable, which reports whether an error may be retried at all.
package retry
