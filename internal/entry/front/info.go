package front

import (
	"context"
	"slices"
	"strings"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// ListModels implements caller.Handler. It returns the models of the table, sorted by ID.
func (h *Handler) ListModels(context.Context) (*caller.ModelList, error) {
	config, err := h.config()
	if err != nil {
		return nil, err
	}
	list := &caller.ModelList{Object: "list", Data: []caller.Model{}}
	for id := range config.Models {
		list.Data = append(list.Data, caller.Model{ID: string(id), Object: "model", OwnedBy: "quetzalmount"})
	}
	slices.SortFunc(list.Data, func(a, b caller.Model) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}

// ListEntries implements caller.Handler. It returns the router addresses that the team should use, best first.
func (h *Handler) ListEntries(ctx context.Context) (*caller.EntryList, error) {
	t, err := teamFromContext(ctx)
	if err != nil {
		return nil, err
	}
	answer := h.deps.Advise(t.ID, h.opts.DataCentre)
	list := &caller.EntryList{Entries: []caller.Entry{}, ValidSeconds: max(1, int(answer.Validity.Seconds()))}
	for _, m := range answer.Members {
		list.Entries = append(list.Entries, caller.Entry{
			Address: m.Address, Instance: string(m.Instance), DataCentre: string(m.DataCentre),
		})
	}
	return list, nil
}

// GetHealth implements caller.Handler. It succeeds in every state of the instance.
func (h *Handler) GetHealth(context.Context) (*caller.Health, error) {
	s := h.health()
	return &s, nil
}

// GetReadiness implements caller.Handler. It succeeds if the instance accepts new requests.
func (h *Handler) GetReadiness(context.Context) (caller.GetReadinessRes, error) {
	s := h.health()
	if s.State == caller.HealthStateServing {
		ok := caller.GetReadinessOK(s)
		return &ok, nil
	}
	unavailable := caller.GetReadinessServiceUnavailable(s)
	return &unavailable, nil
}

func (h *Handler) health() caller.Health {
	s := caller.Health{
		State: caller.HealthStateWaiting, Instance: string(h.opts.Instance), Version: caller.NewOptString(h.opts.Version),
	}
	var offset qm.Offset
	if c, ok := h.deps.Board.Table.Load(); ok {
		s.State, offset = caller.HealthStateServing, c.Offset
	}
	if h.deps.Board.IsLeaving() {
		s.State = caller.HealthStateLeaving
	}
	s.TableOffset = caller.NewOptInt64(int64(offset))
	return s
}
