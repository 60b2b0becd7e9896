package caller

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHop are the headers that belong to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
}

// copyHeader adds the headers of from that concern both ends to dst.
func copyHeader(dst, from http.Header) {
	named := connectionNames(from["Connection"])
	for name, values := range from {
		if hopByHop[name] || named[name] {
			continue
		}
		if dst[name] == nil {
			dst[name] = values // shared, since neither side changes them
			continue
		}
		dst[name] = slices.Concat(dst[name], values)
	}
}

// connectionNames returns the headers that a Connection header binds to the connection, nil if there are none.
func connectionNames(values []string) map[string]bool {
	var named map[string]bool
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
