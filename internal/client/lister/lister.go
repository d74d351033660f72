// Package lister is the HTTP client of the platform's instance list.
package lister

import (
	"cmp"
	"context"
	"net/http"
	"slices"

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

type wireList struct{ Instances []wireInstance }

// List is the content of the instance list. Routers and Endpoints are sorted by id. The group of a plain service's endpoint
// is the id of the service.
type List struct {
	Routers   qm.Members
	Endpoints qm.Endpoints
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
	return &Client{addr: addr, pool: p, http: &http.Client{Transport: p}}
}

// Get returns the published list, which lags behind the actual state of the instances.
func (c *Client) Get(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+"/v1/instances", nil)
	if err != nil {
		return List{}, errors.Wrapf(err, "list instances at %s", c.addr)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, errors.Wrapf(err, "list instances at %s", c.addr)
	}
	a, err := pool.Decode[wireList](resp)
	if err != nil {
		return List{}, errors.Wrapf(err, "list instances at %s", c.addr)
	}
	return newList(a.Instances), nil
}

// newList converts instances to a List. It skips those without an id or address and treats any state but Leaving as Live.
func newList(entries []wireInstance) List {
	var l List
	for _, e := range entries {
		if e.ID == "" || e.Address == "" {
			continue
		}
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
