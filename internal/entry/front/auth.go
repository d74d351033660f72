package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// HandleTeamKey finds the team of a caller's key. The table keeps only hashes; the hash is looked up and then compared in
// constant time.
func (h *Handler) HandleTeamKey(ctx context.Context, _ caller.OperationName, key caller.TeamKey) (context.Context, error) {
	config, err := h.config()
	if err != nil {
		return ctx, err
	}
	hash := qm.KeyHash(sha256.Sum256([]byte(key.Token)))
	team, ok := config.Teams[config.TeamsByKey[hash]]
	if !ok || subtle.ConstantTimeCompare(team.Key[:], hash[:]) != 1 {
		return ctx, errWrongKey()
	}
	return context.WithValue(ctx, teamKey, team), nil
}

func errWrongKey() *qm.Error {
	return qm.Refuse(qm.CodeUnauthorized, "authenticate",
		"The key is missing or not known; send the header \"Authorization: Bearer <key>\" with the key of your team.")
}

// team returns the team that authenticated the request.
func team(ctx context.Context) (*qm.Team, error) {
	t, ok := ctx.Value(teamKey).(*qm.Team)
	if !ok {
		return nil, errWrongKey()
	}
	return t, nil
}
