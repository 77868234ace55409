package btroute

import (
	"slices"
	"strings"

	"github.com/baobabtide/baobabtide"
)

// customerRoutes finds the route of a request in a number of steps that
// depends on the depth of its path and not on the number of routes.
type customerRoutes struct {
	callers  *baobabtide.CallerLimits
	byPrefix map[hostPrefix][]*Route // routes of one prefix differ in their methods
}

// hostPrefix is where a route begins.
type hostPrefix struct{ host, prefix string }

func newCustomerRoutes(c *baobabtide.Contract) *customerRoutes {
	count := 0
	for i := range c.Services {
		count += len(c.Services[i].Routes)
	}
	return &customerRoutes{callers: c.Callers, byPrefix: make(map[hostPrefix][]*Route, count)}
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

// matchHost tries the prefixes of a path that end with a segment, longest
// first, each with and without the slash that follows it.
func (c *customerRoutes) matchHost(host, method, path string) *Route {
	for end := len(path); end > 0; end-- {
		atEnd := end == len(path) || path[end] == '/' || path[end-1] == '/'
		if !atEnd {
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
