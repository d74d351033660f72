// Package serve holds what the HTTP interfaces of the stand-ins share.
package serve

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxBody bounds the size of a request body in bytes; the longest prompts are several megabytes.
const maxBodyBytes = 64 << 20

// stopTime is how long a stopping stand-in waits for open requests.
const shutdownTimeout = 10 * time.Second

// JSON writes v as the answer.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Refuse writes an error answer. after is the number of seconds until a retry makes sense, 0 for none. It is a whole number,
// as RFC 9110 has it.
func WriteError(w http.ResponseWriter, status, retryAfter int, msg string) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	WriteJSON(w, status, struct{ Message string }{msg})
}

// Abort ends the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// Read decodes the body of a request. It answers 400 and reports false if it cannot.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		WriteError(w, http.StatusBadRequest, 0, err.Error())
		return false
	}
	return true
}

// Faults adds GET and PUT /admin/faults. PUT replaces all faults; fields that the body leaves out are off.
func HandleFaults[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, get()) })
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		if ReadJSON(w, r, &f) {
			set(f)
			WriteJSON(w, http.StatusOK, get())
		}
	})
}

// Number returns a number from the query, or def.
func QueryInt(r *http.Request, name string, def int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return def
	}
	return n
}

// Sleep waits for d and reports false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run serves h on addr until ctx ends. Open requests then get time to finish, after leaving was called. If leaving is nil
// their contexts end at once, so that long polls do not hold the stop up.
func Run(ctx context.Context, addr string, h http.Handler, onShutdown func()) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	if onShutdown == nil {
		srv.BaseContext = func(net.Listener) context.Context { return ctx }
		onShutdown = func() {}
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	onShutdown()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(srv.Close(), "close")
	}
	return nil
}
