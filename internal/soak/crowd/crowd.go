// Package crowd simulates the callers of one soak round. They look up the addresses of routers, reuse connections for as long as these
// work, send requests of all kinds, retry after the delay that a refusal gives, and report the responses to the audit.
package crowd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/soak/audit"
	"quetzalmount.dev/quetzalmount/internal/soak/fleet"
	"quetzalmount.dev/quetzalmount/platform/fake"
)

const (
	// requestTimeout limits a request with all its attempts, maxAttempts their number.
	requestTimeout = 4 * time.Second
	maxAttempts    = 3
	// maxPause is the longest time between two requests of a caller, and the retry delay if the router gives none.
	maxPause = 120 * time.Millisecond
	// lookupTimeout limits one address lookup, connectTimeout the establishment of a connection.
	lookupTimeout  = time.Second
	connectTimeout = time.Second
	// lookupTTL is how long a caller uses the addresses of a lookup, which are valid for as long. One lookup in four is used for three
	// times as long, past its validity.
	lookupTTL = 2 * time.Second
	// avoidTime is how long a caller prefers other routers to one that gave no response.
	avoidTime = time.Second
	// staleKeyRatio is the ratio of requests with the key of an earlier configuration, which is about to be revoked or already is.
	staleKeyRatio = 0.1
	// sameIDRatio is the ratio of callers who come back with the same request ID after an answer that says not run. The others take a new one.
	sameIDRatio = 0.5
	// sharedPrompts is the number of distinct shared prompt prefixes.
	sharedPrompts = 20
)

// Pool is a set of callers that run until their context ends.
type Pool struct {
	fleet            *fleet.Fleet
	checker          *audit.Checker
	lastID           atomic.Int64
	requests, served atomic.Int64
	wg               sync.WaitGroup
	// hasLongBodies is true if some requests have long bodies.
	hasLongBodies bool
}

// New starts a number of callers, which stop when ctx ends. The seed determines their random choices. If hasLongBodies is true, some requests have
// long bodies.
func New(ctx context.Context, f *fleet.Fleet, checker *audit.Checker, callers int, seed uint64, hasLongBodies bool) *Pool {
	p := &Pool{fleet: f, checker: checker, hasLongBodies: hasLongBodies}
	for i := range callers {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		more := rand.New(rand.NewPCG(uint64(i), seed))
		p.wg.Go(func() {
			(&caller{pool: p, rnd: rnd, more: more, avoidUntil: map[string]time.Time{}, http: newClient()}).run(ctx)
		})
	}
	return p
}

// Wait waits until all callers have stopped.
func (p *Pool) Wait() { p.wg.Wait() }

// Total returns the number of attempts that were sent.
func (p *Pool) Total() int64 { return p.lastID.Load() }

// Reset sets the counts of Served to zero.
func (p *Pool) Reset() {
	p.requests.Store(0)
	p.served.Store(0)
}

// Served returns the numbers of requests with the newest key that were sent and that were served since Reset.
func (p *Pool) Served() (sent, served int64) { return p.requests.Load(), p.served.Load() }

// caller sends requests sequentially.
type caller struct {
	pool *Pool
	// rnd and more are the sources of random choices. The choices that were added last use more, so that those of known seeds stay as they were.
	rnd, more       *rand.Rand
	http            *http.Client
	addresses       []string
	addressesExpire time.Time
	avoidUntil      map[string]time.Time
}

func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost, t.DisableCompression = 4, true
	return &http.Client{Transport: t}
}

func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendRequest()
		time.Sleep(time.Duration(c.rnd.Int64N(int64(maxPause))))
	}
}

// sendRequest sends one request and retries it where that is allowed.
func (c *caller) sendRequest() {
	kind := []audit.Kind{audit.Order, audit.Look, audit.Chat, audit.Chat}[c.rnd.IntN(4)]
	if kind == audit.Chat && c.more.IntN(2) == 0 {
		kind = audit.Note
	}
	keyAge := 0
	if c.rnd.Float64() < staleKeyRatio {
		keyAge = 1 + c.rnd.IntN(3)
	}
	deadline := time.Now().Add(requestTimeout)
	served, id := false, ""
	for attempt := 0; attempt < maxAttempts && !served && time.Until(deadline) > maxPause; attempt++ {
		a, retry, delay := c.attempt(kind, id, keyAge, deadline)
		served = a.Complete && a.Status == http.StatusOK
		if !retry {
			break
		}
		id = ""
		if a.Refused() && c.more.Float64() < sameIDRatio {
			id = a.ID
		}
		time.Sleep(min(delay, time.Until(deadline)/3))
	}
	if keyAge == 0 {
		c.pool.requests.Add(1)
		if served {
			c.pool.served.Add(1)
		}
	}
}

// attempt sends a request once, with a new ID if id is empty. It returns whether the request may be retried and after which delay.
func (c *caller) attempt(kind audit.Kind, id string, keyAge int, deadline time.Time) (a audit.Attempt, retry bool, delay time.Duration) {
	r := c.pickRouter()
	if r == nil {
		return a, true, maxPause
	}
	key, keyVersion := c.pool.fleet.Key(keyAge)
	n := c.pool.lastID.Add(1)
	if id == "" {
		id = fmt.Sprintf("%s-%d", strings.ToLower(string(kind)), n)
	}
	a = audit.Attempt{
		ID: id, Target: audit.Target{Kind: kind, Section: section(id)}, Router: r.Name, Incarnation: r.Incarnation(), KeyVersion: keyVersion, Sent: time.Now(),
	}
	if c.pool.hasLongBodies && isLong(id) {
		a.Padding = longBody
	}
	c.pool.checker.RequestSent(a)
	timeout := announcedTimeout(time.Until(deadline))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var written atomic.Int64
	resp, err := c.send(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			written.Store(time.Now().UnixNano())
		}
	}}), r, &a, key, timeout)
	if err == nil {
		delay = readResponse(&a, resp)
	}
	a.Ended = time.Now()
	if ns := written.Load(); ns > 0 {
		a.Written = time.Unix(0, ns)
	}
	a.CallerGaveUp = isPastDeadline(ctx, a.Ended)
	c.pool.checker.RequestEnded(a)
	if a.Status == 0 {
		c.avoidUntil[r.Name] = time.Now().Add(avoidTime)
	}
	switch {
	case a.CallerGaveUp:
		return a, false, 0
	case a.Refused():
		return a, true, delay
	case a.Complete, a.Status == http.StatusUnauthorized:
		return a, false, 0
	}
	return a, kind.IsRepeatable(), delay
}

// isPastDeadline reports whether the deadline of ctx has passed at a time. The timer of ctx may fire later than that.
func isPastDeadline(ctx context.Context, at time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !at.Before(deadline)
}

// announcedTimeout returns how long a caller waits that has the time left for a request. Requests announce it in whole milliseconds, and a
// caller that waited longer than it announced would count the router's answer at the deadline as cut.
func announcedTimeout(left time.Duration) time.Duration {
	return max(left, time.Millisecond).Truncate(time.Millisecond)
}

// pickRouter returns a random router among the looked-up addresses, preferably one that has not failed recently, or nil if there is none.
func (c *caller) pickRouter() *fleet.Router {
	if time.Now().After(c.addressesExpire) {
		c.refreshAddresses()
	}
	var preferred, all []*fleet.Router
	for _, r := range c.pool.fleet.Routers {
		for _, a := range c.addresses {
			if a != r.Callers {
				continue
			}
			all = append(all, r)
			if time.Now().After(c.avoidUntil[r.Name]) {
				preferred = append(preferred, r)
			}
		}
	}
	if len(preferred) == 0 {
		preferred = all
	}
	if len(preferred) == 0 {
		return nil
	}
	return preferred[c.rnd.IntN(len(preferred))]
}

// refreshAddresses looks the addresses up at up to three routers, until one returns any.
func (c *caller) refreshAddresses() {
	routers := c.pool.fleet.Routers
	for _, i := range c.rnd.Perm(len(routers))[:min(3, len(routers))] {
		addresses, err := c.lookUp(routers[i])
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.addresses, c.addressesExpire = addresses, time.Now().Add(lookupTTL)
		if c.rnd.IntN(4) == 0 {
			c.addressesExpire = time.Now().Add(3 * lookupTTL)
		}
		return
	}
}

func (c *caller) lookUp(r *fleet.Router) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	return fake.Lookup(ctx, c.http, r.Directory, fleet.Host)
}

// send sends a request through the caller link of its router.
func (c *caller) send(ctx context.Context, r *fleet.Router, a *audit.Attempt, key string, timeout time.Duration) (*http.Response, error) {
	q := fake.Request{ID: a.ID, Host: fleet.Host, Path: requestPath(a), Key: key, Body: requestBody(a), TimeoutMs: timeout.Milliseconds()}
	if a.Kind.IsStreamed() {
		q.Model, q.Output = fleet.Model, eventCount(a)
		q.Shared, q.Own = fmt.Sprintf("%x", c.rnd.IntN(sharedPrompts)), fmt.Sprintf("%x", c.rnd.Uint64())
	}
	req, err := q.New(ctx, r.CallerLink.Address())
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	return resp, errors.Wrap(err, "send")
}

func requestPath(a *audit.Attempt) string {
	return audit.SectionPath(a.Kind.PathPrefix(), a.Section) + "%2F?id=" + a.ID
}

// section returns the section of the path of a request, which stays the same if it is sent again.
func section(id string) int { return int(id[len(id)-1]) % audit.Sections }

// requestBody returns the body of a request, which plain services echo.
func requestBody(a *audit.Attempt) string { return a.ID + strings.Repeat("x", a.Padding) }

// longBody is the number of bytes that are added to the bodies of some requests. It is more than all buffers between a caller and a process that
// doesn't read, except those of the router.
const longBody = 300_000

// isLong reports whether a request has a long body, one in 20. Like its section this stays the same if it is sent again.
func isLong(id string) bool { return strings.HasSuffix(id, "7") && id[len(id)-2]%2 == 0 }

// eventCount returns the number of events of a stream. It varies with the length of the request ID.
func eventCount(a *audit.Attempt) int { return 5 + len(a.ID)%5*5 }

// wantBody returns the complete response body that an engine sends for a request.
func wantBody(a *audit.Attempt) string {
	if !a.Kind.IsStreamed() {
		return "POST " + requestPath(a) + " " + requestBody(a)
	}
	var b strings.Builder
	for i := range eventCount(a) {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return b.String()
}

// readResponse reads and checks a response and returns the delay before a retry.
func readResponse(a *audit.Attempt, resp *http.Response) time.Duration {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Complete = resp.StatusCode, err == nil
	checkResponse(a, resp.Header, string(body))
	seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if parseErr != nil {
		return maxPause
	}
	return time.Duration(seconds * float64(time.Second))
}

// checkResponse sets a.Mismatch if the response does not belong to the request, is inconsistent or has a wrong body.
func checkResponse(a *audit.Attempt, h http.Header, body string) {
	id, sealed := fake.ResponseIdentity(h)
	if id != a.ID {
		a.Mismatch = fmt.Sprintf("it names request %q", id)
		return
	}
	switch want := wantBody(a); {
	case a.Status != http.StatusOK:
		if sealed {
			a.Mismatch = fmt.Sprintf("status %d with an engine's seal", a.Status)
		}
	case !sealed:
		a.Mismatch = "a success without a seal"
	case a.Complete && body != want:
		a.Mismatch = fmt.Sprintf("it looks whole and is %.200q, want %.200q", body, want)
	case !strings.HasPrefix(want, body):
		a.Mismatch = fmt.Sprintf("it begins with %.200q, want %.200q", body, want)
	}
}
