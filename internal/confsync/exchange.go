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

// maxSends limits the messages a node sends concurrently; messages beyond it count as failed.
const maxSends = 32

// exchange refreshes the peers, runs the core's timers and sends its messages until ctx is done.
func (r *Replica) exchange(ctx context.Context, supervisor *tomb.Tomb) error {
	semaphore := make(chan struct{}, maxSends)
	peersDue := time.Now()
	for {
		if now := time.Now(); !now.Before(peersDue) {
			peersDue = now.Add(peerRefreshPeriod)
			r.refreshPeers()
		}
		for _, send := range r.dueMessages() {
			supervisor.Go(func() error {
				r.sendIfFree(ctx, semaphore, send)
				return nil
			})
		}
		if !r.waitForWork(ctx, peersDue) {
			return nil
		}
	}
}

// refreshPeers passes the current list of live peers to the core.
func (r *Replica) refreshPeers() {
	peers := r.options.Peers.Peers()
	r.update(func(core *Core, now time.Time) { core.SetPeers(now, peers) })
}

// dueMessages runs the core's timers and returns the messages to send.
func (r *Replica) dueMessages() []Send {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.core.Tick(time.Now())
	return r.core.Drain()
}

// waitForWork waits until a core timer or the peer refresh is due, or the core has received input. It returns false when
// ctx is done.
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

// sendIfFree sends one message if the semaphore has free capacity; otherwise the message counts as failed.
func (r *Replica) sendIfFree(ctx context.Context, semaphore chan struct{}, send Send) {
	select {
	case semaphore <- struct{}{}:
		defer func() { <-semaphore }()
	default:
		r.recordFailure(send.To)
		return
	}
	var err error
	if send.Snapshot {
		err = r.fetchSnapshot(ctx, send.To)
	} else {
		err = r.sendDigest(ctx, send)
	}
	if err != nil {
		r.recordFailure(send.To)
		return
	}
	r.metrics.exchanges.WithLabelValues("ok").Inc()
}

func (r *Replica) recordFailure(peer Peer) {
	r.metrics.exchanges.WithLabelValues("failed").Inc()
	r.update(func(core *Core, now time.Time) { core.HandleFailure(now, peer) })
}

// sendDigest sends a digest to a peer and processes its answer.
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

// fetchSnapshot fetches a peer's whole copy. The parts are installed together after the last one is received, so that an
// interrupted transfer has no effect.
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

// Register adds the replica's service to the RPC mux for calls between nodes.
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
