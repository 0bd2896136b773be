package manifest

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Index provides lookups in one manifest. It is immutable.
type Index struct {
	manifest       *Manifest
	routesByHost   map[string][]*Route // routes by lower-case host, those with the longest path prefix first
	accountsByKey  map[string]*ClientAccount
	servicesByName map[string]*Service
}

// NewIndex builds the lookup tables of a manifest, which must be valid and must
// not be modified afterwards.
func NewIndex(m *Manifest) *Index {
	x := &Index{
		manifest:       m,
		routesByHost:   map[string][]*Route{},
		accountsByKey:  map[string]*ClientAccount{},
		servicesByName: map[string]*Service{},
	}
	for i := range m.Routes {
		r := &m.Routes[i]
		host := strings.ToLower(r.Host)
		x.routesByHost[host] = append(x.routesByHost[host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range m.Accounts {
		if m.Accounts[i].validateName() != nil {
			continue // of a manifest that an earlier version accepted; its callers are unknown
		}
		for _, k := range m.Accounts[i].Keys {
			x.accountsByKey[k] = &m.Accounts[i]
		}
	}
	for i := range m.Services {
		x.servicesByName[m.Services[i].Name] = &m.Services[i]
	}
	return x
}

// Version returns the manifest's version.
func (x *Index) Version() uint64 { return x.manifest.Version }

// Limits returns the manifest's limits on callers' requests.
func (x *Index) Limits() Limits { return x.manifest.Limits }

// Route returns the host's route whose path prefix is the longest that matches
// path. The port in hostport is optional and ignored.
func (x *Index) Route(hostport, path string) (*Route, bool) {
	host := strings.ToLower(hostport)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range x.routesByHost[host] {
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
	a, ok := x.accountsByKey[key]
	return a, ok
}

// Service returns the service with the given name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.servicesByName[name]
	return s, ok
}

// Leads reports whether requests of the route may be sent to a service.
func (r *Route) Leads(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// IsSplit reports whether requests of the route are sent to several services.
func (r *Route) IsSplit() bool {
	n := 0
	for _, s := range r.Split {
		if s.Weight > 0 {
			n++
		}
	}
	return n > 1
}

// Pick selects one of the route's services by weight. For a random choice, point is
// a random number in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * total
	last := ""
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
		if s.Weight > 0 {
			last = s.Service
		}
	}
	return last // rounding may leave a remainder at the end
}
