// Package lister is the HTTP client of the platform's instance list.
package lister

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// wireInstance is the JSON encoding of an instance.
type wireInstance struct {
	ID           string `json:"Id"`
	Kind         qm.EndpointKind
	Group        string
	Address      string
	PeerAddress  string
	AdminAddress string
	DataCentre   qm.DataCentre
	Region       string
	State        qm.MemberState
}

// List is the content of the instance list. Routers and Endpoints are sorted by ID. The group of a plain service's endpoint
// is the ID of the service.
type List struct {
	Routers   qm.Members
	Endpoints qm.Endpoints
	// Ignored counts the instances that don't decode or have no valid address.
	Ignored int
}

// Client reads the instance list.
type Client struct {
	addr string
	pool *pool.Pool
	http *http.Client
}

// New returns a client of the instance list at addr (host:port).
func New(addr string, opts pool.Options) *Client {
	p := pool.New(opts)
	return &Client{addr: addr, pool: p, http: &http.Client{Transport: p.Unpooled()}}
}

// Get returns the published list, which lags behind the actual state of the instances. It opens a new connection: nothing in a list tells it
// from an earlier one, which a service may write again on a connection that is kept.
func (c *Client) Get(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+"/v1/instances", nil)
	if err != nil {
		return List{}, errors.Wrapf(err, "list instances at %s", c.addr)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, errors.Wrapf(err, "list instances at %s", c.addr)
	}
	body, err := pool.ReadAll(resp, pool.ControlBudget)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	var elements []json.RawMessage
	if err == nil {
		elements, err = arrayElements(body, "Instances")
	}
	if err != nil {
		return List{}, errors.Wrapf(err, "list instances at %s", c.addr)
	}
	instances := decodeInstances(elements)
	list := newList(instances)
	list.Ignored = len(elements) - len(instances)
	return list, nil
}

// decodeInstances decodes instances. It skips those that don't decode or have no valid address: another program may have written them,
// and the others hold.
func decodeInstances(elements []json.RawMessage) []wireInstance {
	var out []wireInstance
	for _, raw := range elements {
		var e wireInstance
		if json.Unmarshal(raw, &e) != nil || e.ID == "" || !isAddress(e.Address) || e.PeerAddress != "" && !isAddress(e.PeerAddress) ||
			e.AdminAddress != "" && !isAddress(e.AdminAddress) {
			continue
		}
		out = append(out, e)
	}
	return out
}

// isAddress reports whether s has the form host:port.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	_, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != ""
}

// arrayElements returns the elements of the array that is a member of a JSON object. The name is matched as by package json. The elements
// are not decoded, and may be nested more deeply than package json decodes.
func arrayElements(object []byte, name string) ([]json.RawMessage, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	d.UseNumber() // numbers that no type can hold are no error here
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, errors.Errorf("decode answer: got %v, want an object (%v)", t, err)
	}
	var out []json.RawMessage
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, errors.Wrap(err, "decode answer")
		}
		if k, ok := key.(string); !ok || !strings.EqualFold(k, name) {
			if err := skipValue(d); err != nil {
				return nil, err
			}
			continue
		}
		if t, err := d.Token(); err != nil || t != json.Delim('[') {
			return nil, errors.Errorf("decode answer: %s is %v, want an array (%v)", name, t, err)
		}
		for d.More() {
			start := d.InputOffset()
			if err := skipValue(d); err != nil {
				return nil, err
			}
			out = append(out, bytes.TrimLeft(object[start:d.InputOffset()], ", \t\r\n"))
		}
		if _, err := d.Token(); err != nil {
			return nil, errors.Wrap(err, "decode answer")
		}
	}
	_, err := d.Token()
	return out, errors.Wrap(err, "decode answer")
}

// skipValue reads the next value, however deeply it is nested.
func skipValue(d *json.Decoder) error {
	for depth := 0; ; {
		t, err := d.Token()
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return errors.Wrap(err, "decode answer")
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// newList converts instances to a List. It treats any state but Leaving as Live.
func newList(entries []wireInstance) List {
	var l List
	for _, e := range entries {
		if e.State != qm.Leaving {
			e.State = qm.Live
		}
		if e.Kind == qm.KindRouter {
			l.Routers = append(l.Routers, qm.Member{
				Instance: qm.InstanceID(e.ID), Address: e.Address, PeerAddress: e.PeerAddress, AdminAddress: e.AdminAddress,
				DataCentre: e.DataCentre, Region: e.Region, State: e.State,
			})
			continue
		}
		l.Endpoints = append(l.Endpoints, &qm.Endpoint{
			ID: qm.EndpointID(e.ID), Kind: e.Kind, Group: qm.GroupID(e.Group), Address: e.Address, DataCentre: e.DataCentre,
			State: e.State,
		})
	}
	slices.SortFunc(l.Routers, func(a, b qm.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(l.Endpoints, func(a, b *qm.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.pool.Close()
	return nil
}
