package shardhost

import (
	"context"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/shard"
	pb "mallowlatch.example/mallowlatch/internal/shardhost/shardhostpb"
)

const (
	peerQueueLength   = 1024
	peerBatchMessages = 256
	peerBatchBytes    = 1 << 20
	peerBackoffFirst  = 50 * time.Millisecond
	peerBackoffLast   = time.Second
	dialTimeout       = 2 * time.Second
)

// peers keeps one sender to each other replica identity.
type peers struct {
	host    *Host
	mutex   sync.Mutex
	senders map[shard.Member]*sender
}

func newPeers(host *Host) *peers { return &peers{host: host, senders: map[shard.Member]*sender{}} }

// send queues messages. A full queue drops them, as the protocol allows.
func (p *peers) send(messages []shard.Message) {
	for _, message := range messages {
		target := p.sender(message.To)
		if target == nil {
			continue
		}
		select {
		case target.queue <- message:
		default:
			p.host.metrics.messages.WithLabelValues("dropped").Inc()
		}
	}
}

func (p *peers) sender(to shard.Member) *sender {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known := p.senders[to]; known != nil {
		return known
	}
	if !p.host.tomb.Alive() {
		return nil
	}
	created := &sender{host: p.host, to: to, queue: make(chan shard.Message, peerQueueLength)}
	p.senders[to] = created
	p.host.tomb.Go(func() error { return created.run(p.host.ctx) })
	return created
}

// forget drops senders to identities that nobody has sent to for long.
func (p *peers) forget(to shard.Member) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.senders, to)
}

// sender carries the messages to one replica identity over one stream, many in a batch.
type sender struct {
	host   *Host
	to     shard.Member
	queue  chan shard.Message
	stream pb.DRPCShards_DeliverClient
	cancel context.CancelFunc
	// introduced is set once the stream has carried the identities.
	introduced bool
	wait       time.Duration
}

const senderIdle = time.Minute

func (s *sender) run(ctx context.Context) error {
	defer s.close()
	idle := time.NewTimer(senderIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			s.host.peers.forget(s.to)
			return nil
		case first := <-s.queue:
			idle.Reset(senderIdle)
			s.deliver(ctx, s.batch(first))
		}
	}
}

func (s *sender) batch(first shard.Message) *pb.Batch {
	batch := &pb.Batch{}
	size := 0
	for message, more := first, true; more; {
		batch.Envelopes = append(batch.Envelopes, encodeMessage(message))
		size += messageSize(message)
		if size >= peerBatchBytes || len(batch.Envelopes) >= peerBatchMessages {
			break
		}
		select {
		case message = <-s.queue:
		default:
			more = false
		}
	}
	return batch
}

func messageSize(message shard.Message) int {
	const overhead = 64
	size := overhead
	if request, isAppend := message.Body.(shard.AppendRequest); isAppend {
		for _, entry := range request.Entries {
			size += len(entry.Command) + overhead/4
		}
	}
	return size
}

// deliver sends a batch or loses it; after a failure the next one waits.
func (s *sender) deliver(ctx context.Context, batch *pb.Batch) {
	if s.stream == nil && !s.open(ctx) {
		s.backOff(ctx)
		return
	}
	if !s.introduced {
		batch.From, batch.To = encodeMember(s.host.self), encodeMember(s.to)
		s.introduced = true
	}
	if err := s.stream.Send(batch); err != nil {
		s.close()
		s.backOff(ctx)
		return
	}
	s.wait = 0
	s.host.metrics.messages.WithLabelValues("sent").Add(float64(len(batch.GetEnvelopes())))
}

func (s *sender) open(ctx context.Context) bool {
	dialing, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, err := s.host.options.Dialer.Conn(dialing, s.to.Node)
	if err != nil {
		return false
	}
	streaming, cancel := context.WithCancel(ctx)
	opened, err := pb.NewDRPCShardsClient(conn).Deliver(streaming)
	if err != nil {
		cancel()
		return false
	}
	s.stream, s.cancel = opened, cancel
	return true
}

func (s *sender) close() {
	if s.stream == nil {
		return
	}
	s.cancel()
	_ = s.stream.Close()
	s.stream = nil
	s.introduced = false
}

func (s *sender) backOff(ctx context.Context) {
	s.wait = min(max(2*s.wait, peerBackoffFirst), peerBackoffLast)
	select {
	case <-ctx.Done():
	case <-time.After(s.wait):
	}
}
