// Package serve provides HTTP helpers shared by the stand-ins.
package serve

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/standin/pauser"
)

// maxBodyBytes limits the size of a request body. The longest prompts have several megabytes.
const maxBodyBytes = 64 << 20

// shutdownTimeout is how long a stopping stand-in waits for open requests, and how long it waits for the headers of a
// request.
const shutdownTimeout = 10 * time.Second

// WriteJSON writes v as the response body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error response. retryAfter is the value of the Retry-After header in seconds, which RFC 9110 defines as
// an integer; 0 omits the header.
func WriteError(w http.ResponseWriter, status, retryAfter int, msg string) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	WriteJSON(w, status, struct{ Message string }{msg})
}

// Abort aborts the handler and closes the connection without completing the response.
func Abort() { panic(http.ErrAbortHandler) }

// ReadJSON decodes the body of a request into v. If that fails, it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		WriteError(w, http.StatusBadRequest, 0, err.Error())
		return false
	}
	return true
}

// HandleFaults registers GET and PUT /admin/faults. PUT replaces all faults; fields that are missing in the body are switched
// off.
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

// QueryInt returns the integer query parameter name, or def if it is missing or invalid.
func QueryInt(r *http.Request, name string, def int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return def
	}
	return n
}

// Sleep waits for d. It returns false if ctx ends first.
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

// Run serves h on addr until ctx ends. It then calls onShutdown and gives open requests up to shutdownTimeout to finish. If
// onShutdown is nil, the contexts of open requests end with ctx, so that long polls don't delay the shutdown.
func Run(ctx context.Context, addr string, h http.Handler, onShutdown func()) error {
	return RunPaused(ctx, addr, h, onShutdown, &pauser.Source{})
}

// RunPaused is like Run, with the pauses that s draws.
func RunPaused(ctx context.Context, addr string, h http.Handler, onShutdown func(), s *pauser.Source) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return RunOn(ctx, pauser.New(l, s), h, onShutdown)
}

// RunOn is like Run, with a listener.
func RunOn(ctx context.Context, l net.Listener, h http.Handler, onShutdown func()) error {
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
