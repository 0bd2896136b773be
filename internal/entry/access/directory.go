// Package access authenticates callers and targets and keeps each client
// account within its limits.
package access

import (
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Identity is an authenticated client account. Everything that a request names
// is looked up in Team only, so a key opens nothing of another team.
type Identity struct {
	TeamName    string
	Team        *settings.Team
	AccountName string
	Account     settings.ClientAccount
}

// MayCall reports whether the account may call the service.
func (i *Identity) MayCall(service string) bool {
	return len(i.Account.Services) == 0 || slices.Contains(i.Account.Services, service)
}

// Directory finds accounts by the digest of their key. It indexes the settings
// once per view.
type Directory struct {
	source session.Source
	index  atomic.Pointer[index]
}

type index struct {
	view  *session.View
	owner map[string]*Identity // nil value: the digest occurs in two teams
}

// NewDirectory returns a directory of the source's settings.
func NewDirectory(source session.Source) *Directory {
	return &Directory{source: source}
}

// Authenticate returns the account that the request's bearer key belongs to.
func (d *Directory) Authenticate(h http.Header) (*Identity, error) {
	key := peerauth.Bearer(h)
	if len(key) < peerauth.MinKeyBytes {
		return nil, resultcode.Newf(resultcode.Unauthenticated, "a bearer key is required")
	}
	id := d.current().owner[peerauth.Digest(key)]
	if id == nil {
		return nil, resultcode.Newf(resultcode.Unauthenticated, "the key is not known")
	}
	return id, nil
}

func (d *Directory) current() *index {
	view := d.source.View()
	if x := d.index.Load(); x != nil && x.view == view {
		return x
	}
	x := buildIndex(view)
	d.index.Store(x)
	return x
}

func buildIndex(view *session.View) *index {
	x := &index{view: view, owner: map[string]*Identity{}}
	for teamName, team := range view.Teams {
		for name, account := range team.Settings.Accounts {
			id := &Identity{TeamName: teamName, Team: team.Settings, AccountName: name, Account: account}
			for _, digest := range account.KeySHA256 {
				if _, taken := x.owner[digest]; taken {
					id = nil
				}
				x.owner[digest] = id
			}
		}
	}
	return x
}

// TargetService checks a target's key against the service that it announces
// for. All failures look the same to the sender.
func TargetService(view *session.View, team, service string, h http.Header) (*settings.Team, settings.Service, error) {
	refused := resultcode.Newf(resultcode.AnnouncementForbidden, "the key is not a target key of service %q", service)
	t, ok := view.Teams[team]
	if !ok {
		return nil, settings.Service{}, refused
	}
	s, ok := t.Settings.Services[service]
	if !ok {
		return nil, settings.Service{}, refused
	}
	key := peerauth.Bearer(h)
	for _, digest := range s.TargetKeySHA256 {
		if len(key) >= peerauth.MinKeyBytes && peerauth.Matches(key, digest) {
			return t.Settings, s, nil
		}
	}
	return nil, settings.Service{}, refused
}
