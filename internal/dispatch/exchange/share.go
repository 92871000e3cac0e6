package exchange

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// share sends one share.
func (e *Exchange) share(share Share) {
	delivered := e.config.Dialer != nil && e.callPeer(share.Peer, "share", share.Message, func(ctx context.Context, client dispatchpb.DRPCRunnerExchangeClient) error {
		_, err := client.Share(ctx, share.Message)
		return err
	}) == nil
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.core.Shared(share, delivered, e.config.Now())
}

// leavingLearned tells every peer at once that a runner takes no new work.
func (e *Exchange) leavingLearned(runner ident.Runner) {
	event.RunnerLeaving.Log(e.config.Logger).Str("runner", string(runner)).Send()
	if e.config.Dialer == nil {
		return
	}
	message := &dispatchpb.LeavingRunners{Runners: []string{string(runner)}}
	peers := e.config.Peers.Peers()
	for worker := range min(leavingSenders, len(peers)) {
		e.background.Go(func() {
			for index := worker; index < len(peers); index += leavingSenders {
				e.tellLeaving(peers[index].Node, message)
			}
		})
	}
}

// leavingSenders is how many peers are told at the same time.
const leavingSenders = 16

// LeavingPauses are the waits before the news is sent again to a peer that could not be reached.
var LeavingPauses = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// tellLeaving tells one peer, with a few repeats. A peer that is missed all the same learns it from the owner's share,
// the machine list, or a refusal by the runner itself.
func (e *Exchange) tellLeaving(peer ident.Node, message *dispatchpb.LeavingRunners) {
	call := func(ctx context.Context, client dispatchpb.DRPCRunnerExchangeClient) error {
		_, err := client.Leaving(ctx, message)
		return err
	}
	for _, pause := range LeavingPauses {
		if e.callPeer(peer, "leaving", message, call) == nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-e.tomb.Dying():
			return
		}
	}
	_ = e.callPeer(peer, "leaving", message, call)
}

// callPeer makes one bounded call.
func (e *Exchange) callPeer(peer ident.Node, kind string, message sized, call func(context.Context, dispatchpb.DRPCRunnerExchangeClient) error) error {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	client, err := e.client(ctx, peer)
	if err == nil {
		e.metrics.sent(kind, message)
		err = call(ctx, client)
	}
	if err != nil {
		event.PeerHintFailed.Log(e.config.Logger).Err(err).Str("peer", string(peer)).Str("kind", kind).Send()
	}
	return err
}
