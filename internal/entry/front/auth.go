package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// HandleTeamKey implements caller.SecurityHandler. It adds the team of the caller's key to the context. The table has only hashes of
// keys: the hash is looked up, and then compared in constant time.
func (h *Handler) HandleTeamKey(ctx context.Context, _ caller.OperationName, key caller.TeamKey) (context.Context, error) {
	config, err := h.config()
	if err != nil {
		return ctx, err
	}
	hash := qm.KeyHash(sha256.Sum256([]byte(key.Token)))
	team, ok := config.Teams[config.TeamsByKey[hash]]
	if !ok || subtle.ConstantTimeCompare(team.Key[:], hash[:]) != 1 {
		return ctx, errUnauthorized()
	}
	return context.WithValue(ctx, teamContextKey, team), nil
}

func errUnauthorized() *qm.Error {
	return qm.Refuse(qm.CodeUnauthorized, "authenticate",
		"The key is missing or not known; send the header \"Authorization: Bearer <key>\" with the key of your team.")
}

// teamFromContext returns the team that HandleTeamKey added to the context.
func teamFromContext(ctx context.Context) (*qm.Team, error) {
	t, ok := ctx.Value(teamContextKey).(*qm.Team)
	if !ok {
		return nil, errUnauthorized()
	}
	return t, nil
}
