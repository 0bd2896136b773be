package manifest

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Index provides lookups in one manifest. It is immutable.
type Index struct {
	manifest *Manifest
	hosts    map[string][]*Route // by lower-case host; longest prefix first
	accounts map[string]*ClientAccount
	services map[string]*Service
}

// NewIndex builds the lookup tables of a manifest, which must be valid and must
// not be modified afterwards.
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

// Version returns the manifest's version.
func (x *Index) Version() uint64 { return x.manifest.Version }

// Limits returns the manifest's limits on callers' requests.
func (x *Index) Limits() Limits { return x.manifest.Limits }

// Route returns the host's route with the longest prefix of path. The port in
// hostport is optional and ignored.
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

// NeedsKeys reports whether the manifest has client accounts, so that requests
// must carry a key.
func (x *Index) NeedsKeys() bool { return len(x.manifest.Accounts) > 0 }

// Account returns the client account to which a key belongs.
func (x *Index) Account(key string) (*ClientAccount, bool) {
	a, ok := x.accounts[key]
	return a, ok
}

// Service returns the service with the given name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Pick selects one of the route's services by weight. point is in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := int(point * float64(total))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
