package caller

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHop lists the hop-by-hop headers, which are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
}

// copyHeader adds the end-to-end headers of the source to dst.
func copyHeader(dst, src http.Header) {
	connectionBound := connectionNames(src["Connection"])
	for name, values := range src {
		if hopByHop[name] || connectionBound[name] {
			continue
		}
		if dst[name] == nil {
			dst[name] = values // shared, since neither header modifies its values
			continue
		}
		dst[name] = slices.Concat(dst[name], values)
	}
}

// connectionNames returns the headers that the Connection header lists as hop-by-hop, nil if there are none.
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
