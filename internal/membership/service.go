package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/membership/membershippb"
	"mallowlatch.example/mallowlatch/internal/transport"
)

const (
	// ticksPerPeriod is the number of ticks of the detector per probe period.
	ticksPerPeriod = 5
	// maxSending is the maximum number of concurrent calls; further messages are dropped, like messages lost on the
	// network.
	maxSending = 256
	// callPeriods is the timeout of a call in probe periods. It is longer than the detector's own timeouts, because a
	// call that times out closes its connection, and an overloaded machine should not spend time on new handshakes.
	callPeriods = 5
	// leavePeriods is the time, in probe periods, for an announced leave to reach the other nodes.
	leavePeriods = 3
)

// Caller opens connections to members and seeds; transport.Pool implements it.
type Caller interface {
	transport.Dialer
	ConnAddress(address string) (drpc.Conn, error)
}

// Options configures a Service.
type Options struct {
	// Config defaults to DefaultConfig.
	Config Config
	Self   Self
	// Seeds are the peer addresses, "IP:port", of nodes through which to join. They may include the node's own address.
	Seeds      []string
	Random     *rand.Rand
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Service runs a Core over drpc. Register it with the transport's server by membershippb.DRPCRegisterMembership, then
// call Start. Its methods are safe for concurrent use. Leave and Stop block; the others do not wait for other nodes.
type Service struct {
	options Options
	caller  Caller
	tomb    tomb.Tomb
	sending chan struct{}
	view    atomic.Pointer[View]
	metrics *metrics

	mutex       sync.Mutex
	core        *Core
	published   uint64
	exited      bool
	subscribers map[*subscriber]struct{}
}

type subscriber struct{ changed chan struct{} }

var _ membershippb.DRPCMembershipServer = (*Service)(nil)

// NewService returns a service whose only member is the node itself. The transport's pool may use Address as its lookup.
func NewService(options Options) *Service {
	if options.Config == (Config{}) {
		options.Config = DefaultConfig()
	}
	service := &Service{
		options:     options,
		sending:     make(chan struct{}, maxSending),
		core:        NewCore(options.Config, options.Self, options.Seeds, options.Random, time.Now()),
		subscribers: map[*subscriber]struct{}{},
		metrics:     newMetrics(options.Registerer),
	}
	service.view.Store(service.core.View())
	service.registerCounts(options.Registerer)
	return service
}

// Start starts probing over the connections of the caller.
func (s *Service) Start(caller Caller) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.caller = caller
	s.tomb.Go(s.run)
}

func (s *Service) run() error {
	ticker := time.NewTicker(s.options.Config.ProbePeriod / ticksPerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-ticker.C:
			s.send(s.tick(time.Now()))
		}
	}
}

func (s *Service) tick(now time.Time) []Outgoing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.exited {
		return nil
	}
	out := s.core.Tick(now)
	s.publish()
	return out
}

// Counts returns the detector's totals.
func (s *Service) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Counts()
}

// Exchange processes a message of another node and returns the answers to it.
func (s *Service) Exchange(ctx context.Context, encoded *membershippb.Message) (*membershippb.Answers, error) {
	message, err := Decode(encoded)
	if err == nil {
		err = checkSender(ctx, message)
	}
	if err != nil {
		event.MemberRefused.Log(s.options.Logger).Err(err).Send()
		return nil, err
	}
	answers := &membershippb.Answers{}
	var others []Outgoing
	for _, out := range s.step(message) {
		if out.To == message.from && out.Message.kind.IsAnswer() {
			answers.Messages = append(answers.Messages, out.Message.Encode())
		} else {
			others = append(others, out)
		}
	}
	s.send(others)
	return answers, nil
}

// checkSender rejects a message whose sender is not the node named in the certificate of the connection.
func checkSender(ctx context.Context, message Message) error {
	peer, secured := transport.Peer(ctx)
	if secured && peer != message.from {
		return fmt.Errorf("%w: %s sent as %s", ErrBadMessage, peer, message.from)
	}
	return nil
}

func (s *Service) step(message Message) []Outgoing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.exited {
		return nil
	}
	out := s.core.Step(message, time.Now())
	s.publish()
	return out
}

// send starts a separate call for each message; the answers are processed when they arrive.
func (s *Service) send(messages []Outgoing) {
	for _, out := range messages {
		select {
		case s.sending <- struct{}{}:
		default:
			s.metrics.dropped.Inc()
			continue
		}
		if !s.sendOne(out) {
			<-s.sending
			return
		}
	}
}

// sendOne starts a call. It returns false before Start and after Stop. Exchange may call it from goroutines outside the
// tomb, so the mutex is held for both the check and the start: a tomb whose goroutines have all ended panics on Go.
func (s *Service) sendOne(out Outgoing) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.exited || s.caller == nil {
		return false
	}
	s.tomb.Go(func() error {
		defer func() { <-s.sending }()
		s.exchange(s.tomb.Context(context.Background()), out)
		return nil
	})
	return true
}

// exchange makes one call. Errors are ignored, since the detector acts on missing answers.
func (s *Service) exchange(ctx context.Context, out Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, callPeriods*s.options.Config.ProbePeriod)
	defer cancel()
	conn, err := s.connect(ctx, out)
	if err != nil {
		return
	}
	answers, err := membershippb.NewDRPCMembershipClient(conn).Exchange(ctx, out.Message.Encode())
	if err != nil {
		return
	}
	for _, encoded := range answers.GetMessages() {
		answer, err := Decode(encoded)
		if err != nil || (out.To != "" && answer.from != out.To) {
			event.MemberRefused.Log(s.options.Logger).Err(err).Str("member", string(answer.from)).Send()
			continue
		}
		s.send(s.step(answer))
	}
}

// connect connects by node name if the address is that of a known member, so that the transport verifies its certificate.
func (s *Service) connect(ctx context.Context, out Outgoing) (drpc.Conn, error) {
	if address, known := s.Address(out.To); known && address == out.Address {
		return s.caller.Conn(ctx, out.To)
	}
	return s.caller.ConnAddress(out.Address)
}

// Leave announces a planned stop and waits leavePeriods, or until ctx is done, for the announcement to reach the other
// nodes. The node answers probes until Stop.
func (s *Service) Leave(ctx context.Context) error {
	s.mutex.Lock()
	s.core.Leave()
	s.publish()
	s.mutex.Unlock()
	timer := time.NewTimer(leavePeriods * s.options.Config.ProbePeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("leave: %w", ctx.Err())
	}
}

// Stop announces the exit of the node to a few peers and stops the service.
func (s *Service) Stop(ctx context.Context) error {
	var calls sync.WaitGroup
	for _, out := range s.exit() {
		calls.Go(func() { s.exchange(ctx, out) })
	}
	calls.Wait()
	event.MembershipEnded.Log(s.options.Logger).Send()
	if !s.started() {
		return nil
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Service) exit() []Outgoing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.exited {
		return nil
	}
	s.exited = true
	if s.caller == nil {
		return nil
	}
	return s.core.Exit(time.Now())
}

func (s *Service) started() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.caller != nil
}

// SetAttributes announces changed attributes of this node to the other nodes.
func (s *Service) SetAttributes(attributes Attributes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetAttributes(attributes)
	s.publish()
}
