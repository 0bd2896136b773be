package manifest

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Index answers look-ups in one manifest. It is immutable.
type Index struct {
	manifest *Manifest
	hosts    map[string][]*Route // by lower-case host, longest prefix first
	accounts map[string]*ClientAccount
	services map[string]*Service
}

// NewIndex builds the look-up tables of a valid manifest.
func NewIndex(m *Manifest) *Index {
	x := &Index{
		manifest: m,
		hosts:    map[string][]*Route{},
		accounts: map[string]*ClientAccount{},
		services: map[string]*Service{},
	}
	for i := range m.Routes {
		r := &m.Routes[i]
		host := strings.ToLower(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range m.Accounts {
		for _, k := range m.Accounts[i].Keys {
			x.accounts[k] = &m.Accounts[i]
		}
	}
	for i := range m.Services {
		x.services[m.Services[i].Name] = &m.Services[i]
	}
	return x
}

// Version is the manifest's version.
func (x *Index) Version() uint64 { return x.manifest.Version }

// Limits are the manifest's limits on callers.
func (x *Index) Limits() Limits { return x.manifest.Limits }

// Route returns the route with the longest prefix that begins the path.
func (x *Index) Route(hostport, path string) (*Route, bool) {
	host := strings.ToLower(hostport)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKeys reports whether requests must carry a key.
func (x *Index) NeedsKeys() bool { return len(x.manifest.Accounts) > 0 }

// Account returns the client account that holds a key.
func (x *Index) Account(key string) (*ClientAccount, bool) {
	a, ok := x.accounts[key]
	return a, ok
}

// Service returns a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Pick returns the service of a route for a point in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := int(point * float64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
