package agreement

import (
	"context"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Limits on messages between nodes.
const (
	// maxRequestBytes limits the size of a received request.
	maxRequestBytes = 8 << 20
	// maxBatchBytes limits the total size of the messages in one request. A
	// single message may exceed it.
	maxBatchBytes    = 1 << 20
	maxBatchMessages = 256
	// outboxMessages limits the messages queued per outbox. Further ones are
	// dropped; the protocol resends them.
	outboxMessages = 512
)

// Transport delivers messages to the node at an address. It may lose messages;
// the node only counts errors.
type Transport interface {
	Deliver(ctx context.Context, address string, messages []Message) error
}

// TwirpTransport is a Transport over HTTP.
type TwirpTransport struct {
	client *http.Client
}

// NewTwirpTransport returns a transport that uses client, which must add the
// peer key to its requests.
func NewTwirpTransport(client *http.Client) *TwirpTransport {
	return &TwirpTransport{client: client}
}

// Deliver sends the messages in one request.
func (t *TwirpTransport) Deliver(ctx context.Context, address string, messages []Message) error {
	req := &api.DeliverRequest{}
	for i := range messages {
		req.Messages = append(req.Messages, toProto(&messages[i]))
	}
	_, err := api.NewAgreementCommandProtobufClient("http://"+address, t.client).Deliver(ctx, req)
	return resultcode.FromTwirp(err)
}

// Handler returns the HTTP handler for messages from other members. Mount it at
// PathPrefix, behind peerauth.RequirePeer.
func (n *Node) Handler() http.Handler {
	server := api.NewAgreementCommandServer(deliverServer{n})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		server.ServeHTTP(w, r)
	})
}

// PathPrefix is the URL path prefix for Handler.
const PathPrefix = api.AgreementCommandPathPrefix

type deliverServer struct{ node *Node }

// Deliver receives a request from another member. Only a malformed message is refused, for
// example one of a type that this version does not know: the others of its request may be
// heartbeats.
func (s deliverServer) Deliver(_ context.Context, req *api.DeliverRequest) (*api.DeliverResponse, error) {
	if len(req.GetMessages()) > maxBatchMessages {
		return nil, resultcode.ToTwirp(malformedError("%d messages in one request", len(req.GetMessages())))
	}
	messages := make([]Message, 0, len(req.GetMessages()))
	var malformed error
	for _, p := range req.GetMessages() {
		m, err := fromProto(p)
		if err != nil {
			s.node.count("agreement.message_malformed")
			malformed = err
			continue
		}
		messages = append(messages, m)
	}
	err := s.node.Receive(messages)
	if err == nil {
		err = malformed
	}
	if err != nil {
		return nil, resultcode.ToTwirp(err)
	}
	return &api.DeliverResponse{}, nil
}

// outbox sends messages to one address in order. Bulk messages have a separate
// outbox, so that heartbeats do not wait for them.
type outbox struct {
	address string
	queue   chan Message
	done    chan struct{} // closed when the outbox gives way to another one
}

// outboxKey identifies an outbox.
type outboxKey struct {
	address string
	bulk    bool
}

// maxOutboxes bounds the outboxes: members and nodes that join have two each. All members
// are sent something with each heartbeat, so that the ones used least recently are those of
// addresses that no member has any more.
const maxOutboxes = 2 * (maxVoters + maxLearners)

// newOutboxes returns an empty set of outboxes. One that gives way to another one ends; its
// messages are lost, and the protocol resends them.
func newOutboxes() *lru.LRU[outboxKey, *outbox] {
	boxes, err := lru.NewLRU(maxOutboxes, func(_ outboxKey, box *outbox) { close(box.done) })
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return boxes
}

// enqueue adds a message to the outbox for its address and creates that outbox if
// there is none. The message is dropped if the outbox's queue is full.
func (n *Node) enqueue(m Message) {
	if m.ToAddress == "" {
		return
	}
	key := outboxKey{address: m.ToAddress, bulk: m.bulk()}
	box, ok := n.outboxes.Get(key)
	if !ok {
		box = &outbox{address: m.ToAddress, queue: make(chan Message, outboxMessages), done: make(chan struct{})}
		if n.outboxes.Add(key, box) {
			n.count("agreement.outbox_ended")
		}
		n.workers.Add(1)
		go n.runOutbox(box)
	}
	select {
	case box.queue <- m:
	default:
		n.count("agreement.send_queue_full")
	}
}

func (n *Node) runOutbox(box *outbox) {
	defer n.workers.Done()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-box.done:
			return
		case m := <-box.queue:
			n.deliver(box, m)
		}
	}
}

// deliver sends m together with other queued messages. The timeout limits how
// long an unresponsive connection blocks the next messages, which then use a
// new connection.
func (n *Node) deliver(box *outbox, m Message) {
	batch, size := []Message{m}, messageBytes(&m)
	for len(batch) < maxBatchMessages && size < maxBatchBytes {
		select {
		case next := <-box.queue:
			batch, size = append(batch, next), size+messageBytes(&next)
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(n.ctx, max(n.config.ElectionTimeout, minDeliverTimeout))
	defer cancel()
	if err := n.transport.Deliver(ctx, box.address, batch); err != nil && n.ctx.Err() == nil {
		n.count("agreement.send_failed")
		if resultcode.From(err).Code == resultcode.IdentityMismatch {
			n.count("agreement.send_identity_refused")
		}
	}
}

const minDeliverTimeout = 200 * time.Millisecond

// messageBytes estimates the encoded size of a message.
func messageBytes(m *Message) int {
	size := 64
	for i := range m.Entries {
		size += len(m.Entries[i].Data) + 16
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data) + len(m.Chunk.Membership)
	}
	return size
}
