package loadgn

import (
	"encoding/json"
	"net/http"
	"time"
)

// advice is the routers' address advice for a team.
type advice struct {
	addresses  []string
	validUntil time.Time
}

// addresses returns the addresses to try for a team in order of preference, and how many of them are advised: those of valid
// advice come first, then the configured entries in rotation from a random one. It fetches new advice if the current one has expired.
func (r *Run) addresses(t Team) (addresses []string, advised int) {
	r.mu.Lock()
	a := r.advice[t.Name]
	start := r.rnd.IntN(len(r.opts.Entries))
	r.mu.Unlock()
	var entries []string
	for i := range r.opts.Entries {
		entries = append(entries, r.opts.Entries[(start+i)%len(r.opts.Entries)])
	}
	if time.Now().After(a.validUntil) {
		a = r.fetchAdvice(t, entries)
	}
	return append(append([]string(nil), a.addresses...), entries...), len(a.addresses)
}

// fetchAdvice fetches and stores new advice from the first address that answers. It returns empty advice if none does.
func (r *Run) fetchAdvice(t Team, addresses []string) advice {
	for _, address := range addresses {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/entries", nil)
		if err != nil {
			continue
		}
		req.Header.Set("Authorization", "Bearer "+t.Key)
		res, err := r.client.Do(req)
		if err != nil {
			continue
		}
		var body struct {
			Entries      []struct{ Address string }
			ValidSeconds int
		}
		err = json.NewDecoder(res.Body).Decode(&body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK || len(body.Entries) == 0 {
			continue
		}
		a := advice{validUntil: time.Now().Add(time.Duration(body.ValidSeconds) * time.Second)}
		for _, e := range body.Entries {
			a.addresses = append(a.addresses, e.Address)
		}
		r.mu.Lock()
		r.advice[t.Name] = a
		r.mu.Unlock()
		return a
	}
	return advice{}
}

// dropAdvice discards the advice for a team after one of its addresses failed.
func (r *Run) dropAdvice(t Team) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.advice, t.Name)
}
