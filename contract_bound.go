package baobabtide

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"
)

// Bound changes a contract so that Check accepts it, as far as possible: it replaces values beyond the
// bounds by the nearest ones within them, replaces names of routes that are not valid, and drops what
// has no meaning, such as routes and accounts that no request can belong to. It returns a FieldError
// for each change. It serves contracts that were made from the configuration of another system, which
// has accepted it already: a value that doesn't fit here must not keep the others from coming into force.
func (c *Contract) Bound() []error {
	var b bounder
	if c.Callers != nil {
		b.within("Callers", func() { c.Callers.bound(&b) })
	}
	prefixes := make(map[string]string)
	for i := range c.Services {
		b.within(fmt.Sprintf("Services[%d]", i), func() { c.Services[i].bound(&b, prefixes) })
	}
	c.boundServices(&b)
	c.boundAccounts(&b)
	return b.changes
}

// boundServices drops services that no route leads to while there are too many services.
func (c *Contract) boundServices(b *bounder) {
	excess := len(c.Services) - maxServices
	if excess <= 0 {
		return
	}
	isUsed := make(map[string]bool)
	for i := range c.Services {
		for j := range c.Services[i].Routes {
			isUsed[c.Services[i].Service] = true
			for _, share := range c.Services[i].Routes[j].Split {
				isUsed[share.Service] = true
			}
		}
	}
	kept := c.Services[:0]
	dropped := 0
	for i := range c.Services {
		if dropped < excess && !isUsed[c.Services[i].Service] {
			dropped++
			continue
		}
		kept = append(kept, c.Services[i])
	}
	b.changed("Services", "%d of %d services, to which no route leads, were dropped", dropped, len(c.Services))
	c.Services = kept
}

// boundAccounts merges accounts of the same name, and drops those whose name can't stand in a header
// and keys that no request can belong to.
func (c *Contract) boundAccounts(b *bounder) {
	kept := c.Accounts[:0]
	position := make(map[string]int, len(c.Accounts)) // in kept, by name
	owners := make(map[KeyDigest]string)
	for i := range c.Accounts {
		a := c.Accounts[i]
		path := fmt.Sprintf("Accounts[%d]", i)
		if err := CheckAccountName("Name", a.Name); err != nil {
			b.changed(path, "the account was dropped: %v", err)
			continue
		}
		b.within(path, func() { a.bound(b, owners) })
		if first, repeated := position[a.Name]; repeated {
			b.changed(path, "%q stands twice, its keys joined those of the first", a.Name)
			kept[first].Keys = append(kept[first].Keys, a.Keys...)
			continue
		}
		position[a.Name] = len(kept)
		kept = append(kept, a)
	}
	c.Accounts = kept
}

// bound bounds an account. owners holds the names of the accounts that keys belong to so far; a key
// belongs to the first account that has it.
func (a *Account) bound(b *bounder, owners map[KeyDigest]string) {
	limit(b, "Priority", &a.Priority, 0, maxPriority)
	limit(b, "RequestsPerSecond", &a.RequestsPerSecond, 0, maxAccountRate)
	limit(b, "Burst", &a.Burst, 0, maxAccountRate)
	keys := make([]KeyDigest, 0, len(a.Keys))
	for i, key := range a.Keys {
		owner, taken := owners[key]
		switch {
		case key == (KeyDigest{}) || key == emptyKey:
			b.changed(fmt.Sprintf("Keys[%d]", i), "a key that is empty was dropped")
		case taken:
			b.changed(fmt.Sprintf("Keys[%d]", i), "a key of account %q was dropped", owner)
		default:
			owners[key] = a.Name
			keys = append(keys, key)
		}
	}
	a.Keys = keys
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

// limit replaces a value out of bounds by the nearest one within them.
func limit[T cmp.Ordered](b *bounder, path string, value *T, least, most T) {
	bounded := max(least, min(*value, most))
	if bounded != *value {
		b.changed(path, "%v became %v", *value, bounded)
		*value = bounded
	}
}

func limitTime(b *bounder, path string, value *time.Duration) { limit(b, path, value, 0, maxTimeout) }

func (l *CallerLimits) bound(b *bounder) {
	limit(b, "HeaderBytes", &l.HeaderBytes, 0, maxCallerBytes)
	limit(b, "BodyBytes", &l.BodyBytes, 0, maxCallerBytes)
	limitTime(b, "HeaderTimeout", &l.HeaderTimeout)
	limitTime(b, "IdleTimeout", &l.IdleTimeout)
}

// bound bounds the terms of a service. prefixes holds the names of the routes of all services
// so far, by host and path prefix.
func (s *ServiceTerms) bound(b *bounder, prefixes map[string]string) {
	limit(b, "RequestsPerSecond", &s.RequestsPerSecond, 0, math.MaxFloat64)
	limit(b, "ColdPerSecond", &s.ColdPerSecond, 0, math.MaxFloat64)
	routes, names := s.Routes[:0], make(map[string]int, len(s.Routes))
	for i := range s.Routes {
		r := s.Routes[i]
		if why := r.unreachable(prefixes); why != "" {
			b.changed(fmt.Sprintf("Routes[%d]", i), "route %q was dropped, %s", Truncate(r.Name, maxNameLength), why)
			continue
		}
		b.within(fmt.Sprintf("Routes[%d]", i), func() { r.bound(b, names) })
		prefixes[r.Host+r.PathPrefix] = r.Name
		routes = append(routes, r)
	}
	s.Routes = routes
}

// unreachable returns why no request can match a route without methods, empty if one can. prefixes
// holds the names of the routes before it, by host and path prefix.
func (r *RouteTerms) unreachable(prefixes map[string]string) string {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return fmt.Sprintf("path prefix %q does not start with /", Truncate(r.PathPrefix, maxNameLength))
	}
	if len(r.Host) > maxHost {
		return fmt.Sprintf("a host of %d bytes exceeds %d", len(r.Host), maxHost)
	}
	key := r.Host + r.PathPrefix
	if other, taken := prefixes[key]; taken {
		return fmt.Sprintf("%q is taken by route %q", Truncate(key, maxNameLength), other)
	}
	return ""
}

// bound bounds a route without methods. names holds the names of the service's routes so far, with the
// number that the last route of the same name got.
func (r *RouteTerms) bound(b *bounder, names map[string]int) {
	wanted := ValidName(r.Name)
	name := wanted
	for names[name] > 0 {
		names[wanted]++
		name = ValidName(fmt.Sprintf("%s~%d", r.Name, names[wanted]))
	}
	names[name] = 1
	if name != r.Name {
		b.changed("Name", "%q became %q", Truncate(r.Name, maxNameLength), name)
		r.Name = name
	}
	limit(b, "Priority", &r.Priority, 0, maxPriority)
	limit(b, "MaxAttempts", &r.MaxAttempts, 0, MaxAttempts)
	limitTime(b, "Objective", &r.Objective)
	if r.Timeout <= 0 {
		b.changed("Timeout", "%s became %s", r.Timeout, maxTimeout)
		r.Timeout = maxTimeout
	}
	limitTime(b, "Timeout", &r.Timeout)
	r.boundSplit(b)
}

// boundSplit bounds the weights of a split and joins shares of the same service if there are too many.
// If no share has a weight, all have the same.
func (r *RouteTerms) boundSplit(b *bounder) {
	sum := 0
	for i := range r.Split {
		limit(b, fmt.Sprintf("Split[%d].Weight", i), &r.Split[i].Weight, 0, MaxWeight)
		sum += r.Split[i].Weight
	}
	if len(r.Split) > maxSplit {
		r.joinShares(b)
	}
	if sum == 0 && len(r.Split) > 0 {
		b.changed("Split", "weights of 0 became 1")
		for i := range r.Split {
			r.Split[i].Weight = 1
		}
	}
}

// joinShares joins the shares of each service.
func (r *RouteTerms) joinShares(b *bounder) {
	joined, position := r.Split[:0], make(map[string]int)
	count := len(r.Split)
	for _, share := range r.Split {
		if i, ok := position[share.Service]; ok {
			joined[i].Weight = min(joined[i].Weight+share.Weight, MaxWeight)
			continue
		}
		position[share.Service] = len(joined)
		joined = append(joined, share)
	}
	b.changed("Split", "%d shares became %d, one for each service", count, len(joined))
	r.Split = joined
}

const (
	nameDigestBytes = 8       // of the digest at the end of a name that was cut
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
	return digestName(name, valid.String())
}

// DigestName returns a name that CheckName accepts and that ends with a digest of the given one, so that
// different names stay different.
func DigestName(name string) string {
	return digestName(name, strings.Map(func(c rune) rune {
		if c <= ' ' || c > '~' || c == '"' || c == '/' {
			return '_'
		}
		return c
	}, Truncate(name, maxNameLength)))
}

// digestName returns the start of a text and a digest of a name, as long as a name may be.
func digestName(name, text string) string {
	digest := DigestKey([]byte(name))
	ending := "~" + hex.EncodeToString(digest[:nameDigestBytes])
	return Truncate(text, maxNameLength-len(ending)) + ending
}
