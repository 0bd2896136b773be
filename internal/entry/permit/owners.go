// Package permit obtains permits from shard owners, keeps the permits that
// this instance holds and reports them, and keeps the budgets of retries and
// of the link between regions.
package permit

import (
	"net/http"
	"sync"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
)

// maxOwnerClients bounds the cached clients; beyond it the cache is rebuilt.
const maxOwnerClients = 4096

// Owner is the present owner of a shard.
type Owner struct {
	Session uint64
	Epoch   uint64
	Command api.AdmissionCommand
	Query   api.AdmissionQuery
}

// Local is the shard owner's runtime of this process.
type Local interface {
	api.AdmissionCommand
	api.AdmissionQuery
}

// Owners finds the owner of a shard in the newest view: in this process, or
// by a twirp client of the owner's address.
type Owners struct {
	source session.Source
	local  Local
	peers  *http.Client

	mu      sync.Mutex
	clients map[string]client
}

type client struct {
	command api.AdmissionCommand
	query   api.AdmissionQuery
}

// NewOwners returns the owners as the source shows them.
func NewOwners(source session.Source, local Local, peers *http.Client) *Owners {
	return &Owners{source: source, local: local, peers: peers, clients: map[string]client{}}
}

// Of returns the shard's owner in the view; false while it has none.
func (o *Owners) Of(view *session.View, shard session.ShardKey) (Owner, bool) {
	a, ok := view.Assignments[shard]
	if !ok || a.GetOwnerSession() == 0 {
		return Owner{}, false
	}
	owner := Owner{Session: a.GetOwnerSession(), Epoch: a.GetEpoch()}
	if o.local != nil && a.GetOwnerSession() == o.source.SessionID() {
		owner.Command, owner.Query = o.local, o.local
		return owner, true
	}
	c := o.client(a.GetOwnerAddress())
	owner.Command, owner.Query = c.command, c.query
	return owner, true
}

func (o *Owners) client(address string) client {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c, ok := o.clients[address]; ok {
		return c
	}
	if len(o.clients) >= maxOwnerClients {
		clear(o.clients)
	}
	base := "http://" + address
	c := client{api.NewAdmissionCommandProtobufClient(base, o.peers), api.NewAdmissionQueryProtobufClient(base, o.peers)}
	o.clients[address] = c
	return c
}
