// Package permit obtains permits from shard owners, records the permits that this
// instance holds and reports them to the owners. It also implements the retry budget
// and the budget of cross-region traffic.
package permit

import (
	"net/http"
	"sync"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
)

// maxOwnerClients is the number of cached clients at which their cache is cleared.
const maxOwnerClients = 4096

// Owner is the current owner of a shard, with the clients to call it.
type Owner struct {
	Session uint64
	Epoch   uint64
	Command api.AdmissionCommand
	Query   api.AdmissionQuery
}

// LocalOwner serves the shards that this process owns.
type LocalOwner interface {
	api.AdmissionCommand
	api.AdmissionQuery
}

// Owners finds the owners of shards. An owner in this process is called directly, any
// other by a Twirp client for its address.
type Owners struct {
	source     session.Source
	local      LocalOwner
	httpClient *http.Client

	mu      sync.Mutex
	clients map[string]ownerClient
}

type ownerClient struct {
	command api.AdmissionCommand
	query   api.AdmissionQuery
}

// NewOwners returns Owners that call local for the shards that this instance's session
// (that of source) owns. local may be nil; peerClient is the HTTP client for other
// instances.
func NewOwners(source session.Source, local LocalOwner, peerClient *http.Client) *Owners {
	return &Owners{source: source, local: local, httpClient: peerClient, clients: map[string]ownerClient{}}
}

// Lookup returns the shard's owner in the view (a copy of the replicated state), or false
// if it has none.
func (o *Owners) Lookup(view *session.View, shard session.ShardKey) (Owner, bool) {
	a, ok := view.Assignments[shard]
	if !ok || a.GetOwnerSession() == 0 {
		return Owner{}, false
	}
	owner := Owner{Session: a.GetOwnerSession(), Epoch: a.GetEpoch()}
	if o.local != nil && a.GetOwnerSession() == o.source.SessionID() {
		owner.Command, owner.Query = o.local, o.local
		return owner, true
	}
	c := o.ownerClient(a.GetOwnerAddress())
	owner.Command, owner.Query = c.command, c.query
	return owner, true
}

func (o *Owners) ownerClient(address string) ownerClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c, ok := o.clients[address]; ok {
		return c
	}
	if len(o.clients) >= maxOwnerClients {
		clear(o.clients)
	}
	base := "http://" + address
	c := ownerClient{api.NewAdmissionCommandProtobufClient(base, o.httpClient), api.NewAdmissionQueryProtobufClient(base, o.httpClient)}
	o.clients[address] = c
	return c
}
