package opaque

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to one connection only, in canonical form.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade",
}

// DropHopByHop removes the headers that apply to one connection only, including those that the Connection header names.
func DropHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
