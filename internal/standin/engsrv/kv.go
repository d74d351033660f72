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

// TransferResult is the answer to a Transfer. Blocks is the number of blocks written to or read from the cache store.
type TransferResult struct{ Blocks int }

// storedBlock is the content of a block in the cache store.
type storedBlock struct {
	Model   qm.ModelID
	Version qm.VersionID
}

// blockURL returns the URL of a block in the cache store.
func (c *core) blockURL(salt string, k qm.PrefixKey) string {
	return fmt.Sprintf("http://%s/v1/blocks/%s", c.opts.CacheStore, url.PathEscape(fmt.Sprintf("%s:%016x", salt, uint64(k))))
}

// exportKV writes the blocks of t to the cache store, up to the first one that isn't cached.
func (c *core) exportKV(ctx context.Context, t Transfer) (TransferResult, error) {
	var result TransferResult
	for _, k := range t.Blocks {
		c.mu.Lock()
		e, ok := c.cache.blocks[blockKey{t.Salt, k}]
		var stored storedBlock
		if ok {
			stored = storedBlock{c.opts.Model, e.Value.(block).version}
		}
		c.mu.Unlock()
		if !ok {
			break
		}
		if err := httpPut(ctx, c.blockURL(t.Salt, k), stored); err != nil {
			return result, err
		}
		result.Blocks++
	}
	return result, nil
}

// importKV reads the blocks of t from the cache store, up to the first one that is missing or was computed by another model
// or with other weights.
func (c *core) importKV(ctx context.Context, t Transfer) TransferResult {
	var result TransferResult
	for _, k := range t.Blocks {
		var buf bytes.Buffer
		var stored storedBlock
		if httpGet(ctx, c.blockURL(t.Salt, k), &buf) != http.StatusOK || json.Unmarshal(buf.Bytes(), &stored) != nil {
			break
		}
		c.mu.Lock()
		ok := stored.Model == c.opts.Model && stored.Version == c.version
		if ok {
			c.cache.store(block{blockKey{t.Salt, k}, stored.Version})
		}
		c.mu.Unlock()
		if !ok {
			break
		}
		result.Blocks++
	}
	return result
}

// httpPut sends v as JSON.
func httpPut(ctx context.Context, url string, v any) error {
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
