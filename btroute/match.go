package btroute

import (
	"slices"
	"strings"

	"github.com/baobabtide/baobabtide"
)

// customerRoutes holds the routes of one customer. The cost of a match depends on
// the length of the path, not on the number of routes.
type customerRoutes struct {
	callerLimits *baobabtide.CallerLimits
	accounts     *Accounts               // nil if the contract has none
	byPrefix     map[hostPrefix][]*Route // routes of one prefix differ in their methods
}

// hostPrefix is the key of a route: its host, empty for any, and its path prefix.
type hostPrefix struct{ host, prefix string }

func newCustomerRoutes(c *baobabtide.Contract) *customerRoutes {
	count := 0
	for i := range c.Services {
		count += len(c.Services[i].Routes)
	}
	return &customerRoutes{callerLimits: c.Callers, byPrefix: make(map[hostPrefix][]*Route, count)}
}

func (c *customerRoutes) add(r *Route) {
	key := hostPrefix{r.Terms.Host, r.Terms.PathPrefix}
	c.byPrefix[key] = append(c.byPrefix[key], r)
}

func (c *customerRoutes) match(host, method, path string) *Route {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if host != "" {
		if r := c.matchHost(host, method, path); r != nil {
			return r
		}
	}
	return c.matchHost("", method, path)
}

// matchHost tries the prefixes of the path that end at a segment boundary, with and
// without the trailing slash, longest first.
func (c *customerRoutes) matchHost(host, method, path string) *Route {
	for end := len(path); end > 0; end-- {
		atSegmentEnd := end == len(path) || path[end] == '/' || path[end-1] == '/'
		if !atSegmentEnd {
			continue
		}
		for _, r := range c.byPrefix[hostPrefix{host, path[:end]}] {
			if matchMethod(r.Terms.Methods, method) {
				return r
			}
		}
	}
	return nil
}

func matchMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}
