package loadgn

import (
	"encoding/json"
	"net/http"
	"time"
)

// advice is the address advice of a team.
type advice struct {
	addresses []string
	until     time.Time
}

// addresses returns the addresses to try for a team, best first: those of a valid advice, then those known from the start.
func (r *Run) addresses(t Team) []string {
	r.mu.Lock()
	a := r.advice[t.Name]
	start := r.rnd.IntN(len(r.opts.Entries))
	r.mu.Unlock()
	var known []string
	for i := range r.opts.Entries {
		known = append(known, r.opts.Entries[(start+i)%len(r.opts.Entries)])
	}
	if time.Now().After(a.until) {
		a = r.ask(t, known)
	}
	return append(append([]string(nil), a.addresses...), known...)
}

// ask gets a new advice from the first address that answers.
func (r *Run) ask(t Team, addresses []string) advice {
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
		a := advice{until: time.Now().Add(time.Duration(body.ValidSeconds) * time.Second)}
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

// forget drops the advice of a team after one of its addresses failed.
func (r *Run) forget(t Team) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.advice, t.Name)
}
