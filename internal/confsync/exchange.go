package confsync

import (
	"context"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// maxSends bounds the exchanges a node has under way at once; more wait for the next round.
const maxSends = 32

// exchange drives the core's clock and sends its messages until ctx ends.
func (r *Replica) exchange(ctx context.Context, supervisor *tomb.Tomb) error {
	slots := make(chan struct{}, maxSends)
	peersDue := time.Now()
	for {
		if now := time.Now(); !now.Before(peersDue) {
			peersDue = now.Add(peerPeriod)
			r.refreshPeers()
		}
		for _, send := range r.due() {
			supervisor.Go(func() error {
				r.sendWithin(ctx, slots, send)
				return nil
			})
		}
		if !r.waitForWork(ctx, peersDue) {
			return nil
		}
	}
}

// refreshPeers shows the core the live peers of now.
func (r *Replica) refreshPeers() {
	peers := r.options.Peers.Peers()
	r.update(func(core *Core, now time.Time) { core.SetPeers(now, peers) })
}

// due runs the core's clock and returns the messages to be sent.
func (r *Replica) due() []Send {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.core.Tick(time.Now())
	return r.core.Drain()
}

// waitForWork waits until the core or the list of peers has something to do. It reports false when ctx ends.
func (r *Replica) waitForWork(ctx context.Context, peersDue time.Time) bool {
	r.mutex.Lock()
	next := r.core.NextTick()
	r.mutex.Unlock()
	if peersDue.Before(next) {
		next = peersDue
	}
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendWithin sends one message if a slot is free; otherwise the message counts as failed.
func (r *Replica) sendWithin(ctx context.Context, slots chan struct{}, send Send) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		r.failed(send.To)
		return
	}
	var err error
	if send.Snapshot {
		err = r.fetchSnapshot(ctx, send.To)
	} else {
		err = r.sendDigest(ctx, send)
	}
	if err != nil {
		r.failed(send.To)
		return
	}
	r.metrics.exchanges.WithLabelValues("ok").Inc()
}

func (r *Replica) failed(peer Peer) {
	r.metrics.exchanges.WithLabelValues("failed").Inc()
	r.update(func(core *Core, now time.Time) { core.HandleFailure(now, peer) })
}

// sendDigest exchanges digests with a peer and takes in its answer.
func (r *Replica) sendDigest(ctx context.Context, send Send) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timing.ExchangeTimeout)
	defer cancel()
	answer, err := r.callExchange(ctx, send.To.Node, send.Digest)
	if err != nil {
		return err
	}
	delta := deltaFromWire(answer)
	r.update(func(core *Core, now time.Time) { core.HandleDelta(now, send.To, delta) })
	return nil
}

func (r *Replica) callExchange(ctx context.Context, node ident.Node, digest Digest) (*confsyncpb.Delta, error) {
	connection, err := r.options.Dialer.Conn(ctx, node)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", node, err)
	}
	request := digestToWire(digest)
	answer, err := confsyncpb.NewDRPCSyncClient(connection).Exchange(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("exchange with %s: %w", node, err)
	}
	r.metrics.messageBytes.WithLabelValues("sent").Add(float64(proto.Size(request)))
	r.metrics.messageBytes.WithLabelValues("received").Add(float64(proto.Size(answer)))
	return answer, nil
}

// fetchSnapshot fetches a peer's whole copy. Parts are taken in together once the last has come, so that a copy that
// breaks off half way leaves nothing behind.
func (r *Replica) fetchSnapshot(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timing.SnapshotTimeout)
	defer cancel()
	connection, err := r.options.Dialer.Conn(ctx, peer.Node)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", peer.Node, err)
	}
	stream, err := confsyncpb.NewDRPCSyncClient(connection).Snapshot(ctx, &confsyncpb.SnapshotRequest{})
	if err != nil {
		return fmt.Errorf("fetch copy of %s: %w", peer.Node, err)
	}
	defer stream.Close()
	state, err := r.receiveSnapshot(stream)
	if err != nil {
		return fmt.Errorf("fetch copy of %s: %w", peer.Node, err)
	}
	r.update(func(core *Core, now time.Time) { core.HandleSnapshot(now, peer, state) })
	return nil
}

func (r *Replica) receiveSnapshot(stream confsyncpb.DRPCSync_SnapshotClient) (*State, error) {
	var revision int64
	var chain uint64
	var resources []Resource
	for {
		part, err := stream.Recv()
		if err == io.EOF {
			return NewState(revision, chain, resources), nil
		}
		if err != nil {
			return nil, fmt.Errorf("receive part: %w", err)
		}
		r.metrics.messageBytes.WithLabelValues("received").Add(float64(proto.Size(part)))
		revision = part.GetRevision()
		chain = part.GetChain()
		resources = append(resources, resourcesFromWire(part.GetResources())...)
	}
}

// Register adds the replica's service to the mux of calls between nodes.
func (r *Replica) Register(mux drpc.Mux) error {
	if err := confsyncpb.DRPCRegisterSync(mux, &server{replica: r}); err != nil {
		return fmt.Errorf("register configuration service: %w", err)
	}
	return nil
}

func digestToWire(digest Digest) *confsyncpb.Digest {
	return &confsyncpb.Digest{
		Node:     string(digest.From.Node),
		Zone:     string(digest.From.Zone),
		Revision: digest.Revision,
		Chain:    digest.Chain,
	}
}

func digestFromWire(wire *confsyncpb.Digest) Digest {
	return Digest{
		From:     Peer{Node: ident.Node(wire.GetNode()), Zone: ident.Zone(wire.GetZone())},
		Revision: wire.GetRevision(),
		Chain:    wire.GetChain(),
	}
}

func deltaToWire(delta Delta) *confsyncpb.Delta {
	wire := &confsyncpb.Delta{Revision: delta.Revision, Chain: delta.Chain, Snapshot: delta.Snapshot}
	for _, change := range delta.Changes {
		wire.Changes = append(wire.Changes, changeToWire(change))
	}
	return wire
}

func deltaFromWire(wire *confsyncpb.Delta) Delta {
	delta := Delta{Revision: wire.GetRevision(), Chain: wire.GetChain(), Snapshot: wire.GetSnapshot()}
	for _, change := range wire.GetChanges() {
		delta.Changes = append(delta.Changes, changeFromWire(change))
	}
	return delta
}

// WireBytes returns the encoded size of the message, without framing.
func (d Digest) WireBytes() int { return proto.Size(digestToWire(d)) }

// WireBytes returns the encoded size of the message, without framing.
func (d Delta) WireBytes() int { return proto.Size(deltaToWire(d)) }
