package exchange

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// share sends one share and records whether it was delivered.
func (e *Exchange) share(share Share) {
	delivered := e.config.Dialer != nil && e.callPeer(share.Peer, "share", share.Message, func(ctx context.Context, client dispatchpb.DRPCRunnerExchangeClient) error {
		_, err := client.Share(ctx, share.Message)
		return err
	}) == nil
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.core.ShareSent(share, delivered, e.config.Now())
}

// notifyLeaving notifies all peers, in the background, that a runner accepts no new work.
func (e *Exchange) notifyLeaving(runner ident.Runner) {
	event.RunnerLeaving.Log(e.config.Logger).Str("runner", string(runner)).Send()
	if e.config.Dialer == nil {
		return
	}
	message := &dispatchpb.LeavingRunners{Runners: []string{string(runner)}}
	peers := e.config.Peers.Peers()
	for worker := range min(leavingSenders, len(peers)) {
		e.background.Go(func() {
			for index := worker; index < len(peers); index += leavingSenders {
				e.sendLeaving(peers[index].Node, message)
			}
		})
	}
}

// leavingSenders is the number of peers that are notified concurrently.
const leavingSenders = 16

// leavingRetryDelays are the delays before the notification is sent again to a peer that could not be reached.
var leavingRetryDelays = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// sendLeaving notifies one peer, with retries. A peer that is still not reached detects it from the owner's share, the machine
// list, or a refusal by the runner.
func (e *Exchange) sendLeaving(peer ident.Node, message *dispatchpb.LeavingRunners) {
	call := func(ctx context.Context, client dispatchpb.DRPCRunnerExchangeClient) error {
		_, err := client.Leaving(ctx, message)
		return err
	}
	for _, delay := range leavingRetryDelays {
		if e.callPeer(peer, "leaving", message, call) == nil {
			return
		}
		select {
		case <-time.After(delay):
		case <-e.tomb.Dying():
			return
		}
	}
	_ = e.callPeer(peer, "leaving", message, call)
}

// callPeer makes one call to a peer with callTimeout, and counts its message.
func (e *Exchange) callPeer(peer ident.Node, kind string, message sizedMessage, call func(context.Context, dispatchpb.DRPCRunnerExchangeClient) error) error {
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
