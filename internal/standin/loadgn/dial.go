package loadgn

import (
	"net"

	"github.com/pkg/errors"
)

// isRefused reports whether a request failed before a connection was made, so that nothing of it was sent.
func isRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
