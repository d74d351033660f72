// Package crowd is the callers of one round of the soak. They ask routers which addresses to use, keep connections open for as long as they
// work, send requests of all kinds, come back as refusals tell them, and report to the audit what they got.
package crowd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
	// patience is how long a caller waits for an answer over all its tries, and tries how many it makes.
	patience = 4 * time.Second
	tries    = 3
	// pause is the longest time between two requests of a caller.
	pause = 120 * time.Millisecond
	// directoryTime bounds one question for addresses, connectTime the making of a connection.
	directoryTime = time.Second
	connectTime   = time.Second
	// advice is how long an answer of the directory is kept; one caller in four keeps it three times as long.
	advice = 2 * time.Second
	// shunTime is how long an address that failed is not used again.
	shunTime = time.Second
	// staleKeys is the share of requests that come with a key which is about to go, or gone.
	staleKeys = 0.1
	// prompts is the number of shared prompts.
	prompts = 20
)

// Crowd is a number of callers. Served and Asked count requests with a valid key since the last Reset.
type Crowd struct {
	fleet         *fleet.Fleet
	book          *audit.Book
	next          atomic.Int64
	asked, served atomic.Int64
	wg            sync.WaitGroup
}

// New starts callers; they end with the context.
func New(ctx context.Context, f *fleet.Fleet, b *audit.Book, callers int, seed uint64) *Crowd {
	c := &Crowd{fleet: f, book: b}
	for i := range callers {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wg.Go(func() { (&caller{crowd: c, rnd: rnd, shunned: map[string]time.Time{}, http: client()}).run(ctx) })
	}
	return c
}

// Wait waits until all callers have their last answers.
func (c *Crowd) Wait() { c.wg.Wait() }

// Total returns how many requests were sent, each try counted.
func (c *Crowd) Total() int64 { return c.next.Load() }

// Reset starts the counting of what is served anew.
func (c *Crowd) Reset() {
	c.asked.Store(0)
	c.served.Store(0)
}

// Served returns how many requests with a valid key were asked since Reset, and how many of them were served.
func (c *Crowd) Served() (asked, served int64) { return c.asked.Load(), c.served.Load() }

// caller sends one request after the other.
type caller struct {
	crowd     *Crowd
	rnd       *rand.Rand
	http      *http.Client
	addresses []string
	until     time.Time
	shunned   map[string]time.Time
}

func client() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost, t.DisableCompression = 4, true
	return &http.Client{Transport: t}
}

func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.request()
		time.Sleep(time.Duration(c.rnd.Int64N(int64(pause))))
	}
}

// request sends one request, again if it may be sent again.
func (c *caller) request() {
	kind := []audit.Kind{audit.Order, audit.Look, audit.Chat, audit.Chat}[c.rnd.IntN(4)]
	back := 0
	if c.rnd.Float64() < staleKeys {
		back = 1 + c.rnd.IntN(3)
	}
	end := time.Now().Add(patience)
	served := false
	for try := 0; try < tries && !served && time.Until(end) > pause; try++ {
		a, again, after := c.try(kind, back, end)
		served = a.Whole && a.Status == http.StatusOK
		if !again {
			break
		}
		time.Sleep(min(after, time.Until(end)/3))
	}
	if back == 0 {
		c.crowd.asked.Add(1)
		if served {
			c.crowd.served.Add(1)
		}
	}
}

// try sends a request once. It reports whether it may be sent again, and when.
func (c *caller) try(kind audit.Kind, back int, end time.Time) (a audit.Attempt, again bool, after time.Duration) {
	r := c.router()
	if r == nil {
		return a, true, pause
	}
	key, number := c.crowd.fleet.Key(back)
	a = audit.Attempt{
		ID: fmt.Sprintf("%s-%d", strings.ToLower(string(kind)), c.crowd.next.Add(1)), Kind: kind, Router: r.Name, Start: r.Start(), Key: number, Sent: time.Now(),
	}
	c.crowd.book.Sent(a)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	resp, err := c.send(ctx, r, &a, key, end)
	if err == nil {
		after = read(&a, resp)
	}
	a.Ended, a.Gone = time.Now(), ctx.Err() != nil
	c.crowd.book.Answered(a)
	if a.Status == 0 {
		c.shunned[r.Name] = time.Now().Add(shunTime)
	}
	switch {
	case a.Gone, a.Whole, a.Status == http.StatusUnauthorized:
		return a, false, 0
	case a.Status == http.StatusServiceUnavailable, a.Status == http.StatusTooManyRequests:
		return a, true, after
	}
	return a, kind != audit.Order, after
}

// router returns a router by the addresses that routers told, one that has not failed lately if there is any.
func (c *caller) router() *fleet.Router {
	if time.Now().After(c.until) {
		c.ask()
	}
	var fit, all []*fleet.Router
	for _, r := range c.crowd.fleet.Routers {
		for _, a := range c.addresses {
			if a != r.Callers {
				continue
			}
			all = append(all, r)
			if time.Now().After(c.shunned[r.Name]) {
				fit = append(fit, r)
			}
		}
	}
	if len(fit) == 0 {
		fit = all
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[c.rnd.IntN(len(fit))]
}

// ask asks up to three routers for addresses.
func (c *caller) ask() {
	routers := c.crowd.fleet.Routers
	for _, i := range c.rnd.Perm(len(routers))[:min(3, len(routers))] {
		addresses, err := c.directory(routers[i])
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.addresses, c.until = addresses, time.Now().Add(advice)
		if c.rnd.IntN(4) == 0 {
			c.until = time.Now().Add(3 * advice)
		}
		return
	}
}

func (c *caller) directory(r *fleet.Router) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTime)
	defer cancel()
	return fake.Lookup(ctx, c.http, r.Directory, fleet.Host)
}

// send sends a request through the link of its router.
func (c *caller) send(ctx context.Context, r *fleet.Router, a *audit.Attempt, key string, end time.Time) (*http.Response, error) {
	q := fake.Request{ID: a.ID, Host: fleet.Host, Path: path(a), Key: key, Body: a.ID, Left: time.Until(end)}
	if a.Kind == audit.Chat {
		q.Model, q.Output = fleet.Model, events(a)
		q.Shared, q.Own = fmt.Sprintf("%x", c.rnd.IntN(prompts)), fmt.Sprintf("%x", c.rnd.Uint64())
	}
	req, err := q.New(ctx, r.CallerLink.Address())
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	return resp, errors.Wrap(err, "send")
}

func path(a *audit.Attempt) string {
	return "/" + strings.ToLower(string(a.Kind)) + "/%2F?id=" + a.ID
}

// events is the number of events of a stream.
func events(a *audit.Attempt) int { return 5 + len(a.ID)%5*5 }

// want returns the answer of an endpoint to a request.
func want(a *audit.Attempt) string {
	if a.Kind != audit.Chat {
		return "POST " + path(a) + " " + a.ID
	}
	var b strings.Builder
	for i := range events(a) {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return b.String()
}

// read reads an answer and returns when the request may be sent again.
func read(a *audit.Attempt, resp *http.Response) time.Duration {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Whole = resp.StatusCode, err == nil
	judge(a, resp.Header, string(body))
	seconds, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if perr != nil {
		return pause
	}
	return time.Duration(seconds * float64(time.Second))
}

// judge finds what is wrong with an answer.
func judge(a *audit.Attempt, h http.Header, body string) {
	id, sealed := fake.ResponseIdentity(h)
	if id != a.ID {
		a.Fault = fmt.Sprintf("it names request %q", id)
		return
	}
	switch expected := want(a); {
	case a.Status != http.StatusOK:
		if sealed {
			a.Fault = fmt.Sprintf("status %d with an engine's seal", a.Status)
		}
	case !sealed:
		a.Fault = "a success without a seal"
	case a.Whole && body != expected:
		a.Fault = fmt.Sprintf("it looks whole and is %q, want %q", body, expected)
	case !strings.HasPrefix(expected, body):
		a.Fault = fmt.Sprintf("it begins with %q, want %q", body, expected)
	}
}
