// Package access authenticates callers and targets by their bearer keys and
// enforces the limits of each client account.
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

// Identity is an authenticated client account. All names in its requests are
// looked up in Team only, so a key gives no access to other teams.
type Identity struct {
	TeamName    string
	Team        *settings.Team
	AccountName string
	Account     settings.ClientAccount
}

// MayCall reports whether the account may call the service. An account without
// a list of services may call every service of its team.
func (i *Identity) MayCall(service string) bool {
	return len(i.Account.Services) == 0 || slices.Contains(i.Account.Services, service)
}

// Directory looks up accounts by the digest of their key. It rebuilds its index when the
// source's view (this instance's copy of the replicated state) changes, and is safe for
// concurrent use.
type Directory struct {
	source       session.Source
	accountIndex atomic.Pointer[accountIndex]
}

type accountIndex struct {
	view             *session.View
	identityByDigest map[string]*Identity // accounts by key digest; nil for a key of two teams
}

// NewDirectory returns a directory of the accounts in the source's settings.
func NewDirectory(source session.Source) *Directory {
	return &Directory{source: source}
}

// Authenticate returns the account to which the request's bearer key belongs. It
// returns an Unauthenticated error if the key is missing, unknown or used by two
// teams.
func (d *Directory) Authenticate(h http.Header) (*Identity, error) {
	key := peerauth.Bearer(h)
	if len(key) < peerauth.MinKeyBytes {
		return nil, resultcode.Newf(resultcode.Unauthenticated, "a bearer key is required")
	}
	id := d.currentIndex().identityByDigest[peerauth.Digest(key)]
	if id == nil {
		return nil, resultcode.Newf(resultcode.Unauthenticated, "the key is not known")
	}
	return id, nil
}

func (d *Directory) currentIndex() *accountIndex {
	view := d.source.View()
	if idx := d.accountIndex.Load(); idx != nil && idx.view == view {
		return idx
	}
	idx := buildIndex(view)
	d.accountIndex.Store(idx)
	return idx
}

func buildIndex(view *session.View) *accountIndex {
	idx := &accountIndex{view: view, identityByDigest: map[string]*Identity{}}
	for teamName, team := range view.Teams {
		for name, account := range team.Settings.Accounts {
			identity := &Identity{TeamName: teamName, Team: team.Settings, AccountName: name, Account: account}
			for _, digest := range account.KeySHA256 {
				if _, taken := idx.identityByDigest[digest]; taken {
					idx.identityByDigest[digest] = nil // a key that two accounts share opens neither
					continue
				}
				idx.identityByDigest[digest] = identity
			}
		}
	}
	return idx
}

// AuthenticateTarget authenticates a target by its bearer key and returns the settings of
// the team and the service that the target announces. All failures return the same error,
// so that the sender cannot find out which teams and services exist.
func AuthenticateTarget(view *session.View, team, service string, h http.Header) (*settings.Team, settings.Service, error) {
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
