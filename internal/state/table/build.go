package table

import (
	"encoding/hex"
	"maps"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Config returns the configuration that the table describes. The result shares the values of unchanged rows and the
// maps of unchanged kinds with the result of the previous call.
func (t *Table) Config() *qm.Config {
	old := t.lastConfig
	if old == nil {
		old = &qm.Config{}
	}
	c := *old
	c.Offset = t.offset
	changedKinds := make(map[Kind]bool)
	for k := range t.dirty {
		changedKinds[k.Kind] = true
	}
	if changedKinds[Team] || c.Teams == nil {
		c.Teams, c.TeamsByKey = cloneOrMake(old.Teams), t.pruneKeyIndex(old)
	}
	if changedKinds[Model] || c.Models == nil {
		c.Models = cloneOrMake(old.Models)
	}
	if changedKinds[Version] || c.Versions == nil {
		c.Versions = cloneOrMake(old.Versions)
	}
	if changedKinds[Group] || c.Groups == nil {
		c.Groups = cloneOrMake(old.Groups)
	}
	if changedKinds[Service] || c.Services == nil {
		c.Services = cloneOrMake(old.Services)
	}
	for k := range t.dirty {
		t.buildRow(&c, k)
	}
	clear(t.dirty)
	t.lastConfig = &c
	return &c
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// pruneKeyIndex returns the index of teams by key of old without the keys of changed teams, which buildRow adds again.
// If no key changed, it returns the index of old itself.
func (t *Table) pruneKeyIndex(old *qm.Config) map[qm.KeyHash]qm.TeamID {
	same := old.TeamsByKey != nil
	for k := range t.dirty {
		if k.Kind != Team || !same {
			continue
		}
		before, r := old.Teams[qm.TeamID(k.Name)], t.Row(k)
		same = before != nil && r != nil && before.Key == keyHash(r)
	}
	if same {
		return old.TeamsByKey
	}
	keys := cloneOrMake(old.TeamsByKey)
	for k := range t.dirty {
		if before := old.Teams[qm.TeamID(k.Name)]; k.Kind == Team && before != nil {
			delete(keys, before.Key)
		}
	}
	return keys
}

func (t *Table) buildRow(c *qm.Config, k Key) {
	r := t.Row(k)
	switch k.Kind {
	case Team:
		buildTeam(c, k.Name, r)
	case Model:
		setOrDelete(c.Models, qm.ModelID(k.Name), r, model)
	case Version:
		setOrDelete(c.Versions, qm.VersionID(k.Name), r, version)
	case Group:
		setOrDelete(c.Groups, qm.GroupID(k.Name), r, group)
	case Service:
		setOrDelete(c.Services, qm.ServiceID(k.Name), r, service)
	}
}

func setOrDelete[K comparable, V any](m map[K]*V, id K, r *Row, build func(K, *Row) *V) {
	if r == nil {
		delete(m, id)
		return
	}
	m[id] = build(id, r)
}

func buildTeam(c *qm.Config, name string, r *Row) {
	id := qm.TeamID(name)
	if r == nil {
		delete(c.Teams, id)
		return
	}
	team := team(id, r)
	c.Teams[id] = team
	if c.TeamsByKey[team.Key] != id {
		c.TeamsByKey[team.Key] = id
	}
}

func keyHash(r *Row) (h qm.KeyHash) {
	hex.Decode(h[:], []byte(r.Cell("Key"))) // NewRow validated the hex form
	return h
}

func team(id qm.TeamID, r *Row) *qm.Team {
	return &qm.Team{
		ID:     id,
		Key:    keyHash(r),
		Weight: r.number("Weight"),
		Limits: qm.Limits{
			RequestsPerMinute:     r.number("RequestsPerMinute"),
			PromptTokensPerMinute: r.number("PromptTokensPerMinute"),
			OutputTokensPerMinute: r.number("OutputTokensPerMinute"),
			Concurrency:           int(r.number("Concurrency")),
			QueueLength:           int(r.number("QueueLength")),
			MaxPromptTokens:       qm.Tokens(r.number("MaxPromptTokens")),
		},
	}
}

func model(id qm.ModelID, r *Row) *qm.Model {
	m := &qm.Model{
		ID:          id,
		Group:       qm.GroupID(r.Cell("Group")),
		Version:     qm.VersionID(r.Cell("Version")),
		CanContinue: r.isYes("Continue"),
	}
	for _, a := range r.nameList("Adapters") {
		m.Adapters = append(m.Adapters, qm.AdapterID(a))
	}
	return m
}

func version(id qm.VersionID, r *Row) *qm.Version {
	return &qm.Version{ID: id, Model: qm.ModelID(r.Cell("Model"))}
}

func group(id qm.GroupID, r *Row) *qm.Group {
	return &qm.Group{ID: id, EngineCount: int(r.number("Engines")), SupportsFencing: r.isYes("Fences"), Role: r.Value("Role")}
}

func service(id qm.ServiceID, r *Row) *qm.Service {
	return &qm.Service{
		ID:                      id,
		RepeatableCalls:         r.nameList("Repeatable"),
		SupportsFencing:         r.isYes("Fences"),
		SupportsIdempotencyKeys: r.isYes("Dedupes"),
		Timeout:                 time.Duration(r.number("TimeoutMs")) * time.Millisecond,
	}
}
