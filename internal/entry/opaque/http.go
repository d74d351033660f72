package opaque

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade",
}

// DropHopByHop removes the headers that concern one connection only, those that the Connection header names included.
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
