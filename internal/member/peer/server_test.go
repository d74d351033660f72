package peer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/member/peer"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// endlessBody is a request body without end that counts the bytes read.
type endlessBody struct{ read int64 }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += int64(len(p))
	if b.read > 8*pool.MaxResponseBytes {
		return 0, io.ErrUnexpectedEOF // ends the test if there is no limit
	}
	return len(p), nil
}

// TestEndlessRequest guards against a router that reads a call of another router without end.
func TestEndlessRequest(t *testing.T) {
	b := board.New()
	list := func(context.Context) ([]qm.Member, []*qm.Endpoint, error) { return nil, nil, nil }
	r := roster.New(t.Context(), roster.Options{Board: b, List: list})
	defer r.Close()
	p := peer.New(t.Context(), peer.Options{Board: b, Roster: r, Client: http.DefaultClient})
	defer p.Close()
	body := &endlessBody{}
	req := httptest.NewRequest(http.MethodPost, peerpb.PeerPathPrefix+"Exchange", body)
	req.Header.Set("Content-Type", "application/protobuf")
	rec := httptest.NewRecorder()
	p.Handler().ServeHTTP(rec, req)
	if rec.Code == http.StatusOK || body.read > 2*pool.MaxResponseBytes {
		t.Errorf("status %d after %d bytes", rec.Code, body.read)
	}
}
