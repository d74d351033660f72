package engsrv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	qm "quetzalmount.dev/quetzalmount"
)

// Transfer is the body of POST /v1/kv/export and POST /v1/kv/import.
type Transfer struct {
	Salt   string
	Blocks []qm.PrefixKey
}

// Moved is the answer to a Transfer: the number of blocks that were written to or read from the cache store.
type Moved struct{ Blocks int }

// payload is the content of a block in the cache store.
type payload struct {
	Model   qm.ModelID
	Version qm.VersionID
}

func (c *core) storeURL(salt string, k qm.PrefixKey) string {
	return fmt.Sprintf("http://%s/v1/blocks/%s", c.opts.Cache, url.PathEscape(fmt.Sprintf("%s:%016x", salt, uint64(k))))
}

// export writes the leading blocks of t that are cached to the cache store.
func (c *core) export(ctx context.Context, t Transfer) (Moved, error) {
	var m Moved
	for _, k := range t.Blocks {
		c.mu.Lock()
		e, ok := c.cache.blocks[blockKey{t.Salt, k}]
		var p payload
		if ok {
			p = payload{c.opts.Model, e.Value.(block).version}
		}
		c.mu.Unlock()
		if !ok {
			break
		}
		if err := put(ctx, c.storeURL(t.Salt, k), p); err != nil {
			return m, err
		}
		m.Blocks++
	}
	return m, nil
}

// importKV reads the leading blocks of t from the cache store. Blocks of another model or other weights are not taken.
func (c *core) importKV(ctx context.Context, t Transfer) Moved {
	var m Moved
	for _, k := range t.Blocks {
		var buf bytes.Buffer
		var p payload
		if get(ctx, c.storeURL(t.Salt, k), &buf) != http.StatusOK || json.Unmarshal(buf.Bytes(), &p) != nil {
			break
		}
		c.mu.Lock()
		ok := p.Model == c.opts.Model && p.Version == c.version
		if ok {
			c.cache.store(block{blockKey{t.Salt, k}, p.Version})
		}
		c.mu.Unlock()
		if !ok {
			break
		}
		m.Blocks++
	}
	return m
}

func put(ctx context.Context, url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("cache store answered %d", resp.StatusCode)
	}
	return nil
}
