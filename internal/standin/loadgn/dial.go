package loadgn

import (
	"net"

	"github.com/pkg/errors"
)

// isDialError reports whether a request failed before a connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
