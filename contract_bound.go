package baobabtide

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"
)

// Bound replaces values beyond the bounds of Check by the nearest ones within them, replaces
// names that are not valid, and drops routes that can't be reached because an earlier one has
// the same host and path prefix. It returns a FieldError for each change. It serves contracts that
// were made from the configuration of another system, which has accepted it already: a value that
// doesn't fit here must not keep the others from coming into force. Values without a meaning, such
// as negative times and those beyond what their type holds, are left for Check.
func (c *Contract) Bound() []error {
	var b bounder
	if c.Callers != nil {
		b.within("Callers", func() { c.Callers.bound(&b) })
	}
	prefixes := make(map[string]string)
	for i := range c.Services {
		b.within(fmt.Sprintf("Services[%d]", i), func() { c.Services[i].bound(&b, prefixes) })
	}
	return b.changes
}

// bounder collects the changes of Contract.Bound.
type bounder struct {
	changes []error
}

// within calls change and prefixes the paths of the changes that it makes.
func (b *bounder) within(path string, change func()) {
	first := len(b.changes)
	change()
	for i := range b.changes[first:] {
		b.changes[first+i] = Within(path, b.changes[first+i])
	}
}

// changed records a change.
func (b *bounder) changed(path, format string, args ...any) {
	b.changes = append(b.changes, Fieldf(path, format, args...))
}

// limit replaces a value above most, unless it is not below the limit of its type, to which numbers
// out of range are converted.
func limit[T cmp.Ordered](b *bounder, path string, value *T, most, limitOfType T) {
	if *value > most && *value < limitOfType {
		b.changed(path, "%v became %v", *value, most)
		*value = most
	}
}

func limitTime(b *bounder, path string, value *time.Duration) {
	limit(b, path, value, maxTimeout, math.MaxInt64)
}

func (l *CallerLimits) bound(b *bounder) {
	limit(b, "HeaderBytes", &l.HeaderBytes, maxCallerBytes, math.MaxInt)
	limit(b, "BodyBytes", &l.BodyBytes, maxCallerBytes, math.MaxInt)
	limitTime(b, "HeaderTimeout", &l.HeaderTimeout)
	limitTime(b, "IdleTimeout", &l.IdleTimeout)
}

// bound bounds the terms of a service. prefixes holds the names of the routes of all services
// so far, by host and path prefix.
func (s *ServiceTerms) bound(b *bounder, prefixes map[string]string) {
	routes, names := s.Routes[:0], make(map[string]bool, len(s.Routes))
	for i := range s.Routes {
		r := s.Routes[i]
		b.within(fmt.Sprintf("Routes[%d]", i), func() { r.bound(b, names) })
		key := r.Host + r.PathPrefix
		if other, taken := prefixes[key]; taken {
			b.changed(fmt.Sprintf("Routes[%d]", i), "route %q was dropped, %q is taken by route %q", r.Name, key, other)
			continue
		}
		prefixes[key] = r.Name
		routes = append(routes, r)
	}
	s.Routes = routes
}

// bound bounds a route without methods. names holds the names of the service's routes so far.
func (r *RouteTerms) bound(b *bounder, names map[string]bool) {
	name := r.Name
	if len(name) <= maxBoundName {
		name = ValidName(name)
	}
	for i := 2; names[name]; i++ {
		name = ValidName(fmt.Sprintf("%s~%d", r.Name, i))
	}
	names[name] = true
	if name != r.Name {
		b.changed("Name", "%q became %q", r.Name, name)
		r.Name = name
	}
	if r.Timeout == 0 {
		b.changed("Timeout", "none became %s", maxTimeout)
		r.Timeout = maxTimeout
	}
	limitTime(b, "Timeout", &r.Timeout)
	limitTime(b, "Objective", &r.Objective)
	limit(b, "MaxAttempts", &r.MaxAttempts, MaxAttempts, math.MaxInt)
}

const (
	nameDigestBytes = 8       // of the digest at the end of a name that was cut
	maxBoundName    = 1 << 16 // bytes of a route's name that Bound replaces
	maxCallerBytes  = 1 << 40 // of a header or a body; node settings and memory bound both further
)

// ValidName returns a name that CheckName accepts: the given one if it does, otherwise one in which
// other characters are percent-encoded and what is too long is replaced by a digest.
func ValidName(name string) string {
	if CheckName("", name) == nil {
		return name
	}
	var valid strings.Builder
	for i := range len(name) {
		if c := name[i]; c <= ' ' || c > '~' || c == '"' || c == '/' || c == '%' {
			fmt.Fprintf(&valid, "%%%02X", c)
		} else {
			valid.WriteByte(c)
		}
	}
	if valid.Len() > 0 && valid.Len() <= maxNameLength {
		return valid.String()
	}
	digest := DigestKey([]byte(name))
	ending := "~" + hex.EncodeToString(digest[:nameDigestBytes])
	return Truncate(valid.String(), maxNameLength-len(ending)) + ending
}
