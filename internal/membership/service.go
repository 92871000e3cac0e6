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
	// ticksPerPeriod is how often the detector is woken in a probe period.
	ticksPerPeriod = 5
	// maxSending bounds the messages under way at once; what comes beyond is dropped like a message lost on the way.
	maxSending = 256
	// callPeriods is how many probe periods a call may take. The detector judges by its own clock; a call given up closes
	// its connection, and a busy machine must not pay for new handshakes on top.
	callPeriods = 5
	// leavePeriods is how many probe periods an announced leave is given to spread.
	leavePeriods = 3
)

// Caller opens calls to members and seeds; transport.Pool implements it.
type Caller interface {
	transport.Dialer
	ConnAddress(address string) (drpc.Conn, error)
}

// Options sets up a service.
type Options struct {
	// Config defaults to DefaultConfig.
	Config Config
	Self   Self
	// Seeds are peer addresses, "IP:port", of nodes to join by; the own one does no harm.
	Seeds      []string
	Random     *rand.Rand
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Service runs a Core over drpc. Register it with the transport's server by membershippb.DRPCRegisterMembership, then
// call Start. Its methods are safe for concurrent use and, but for Leave, never wait.
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

// NewService returns a service that knows only itself. The transport's pool may use Address as its lookup.
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

// Start begins to probe by the caller's connections.
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

// Exchange serves a message of another node.
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

// checkSender refuses a message whose sender isn't the node that the connection's certificate names.
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

// send sends each message by a call of its own and takes the answers in.
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

// sendOne starts a call, or returns false before Start and after Stop. Calls served meanwhile come from outside the
// tomb, so the check and the start are one step under the mutex: a tomb that has ended takes no more goroutines.
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

// exchange makes one call. A failed one needs no word: the detector works from the answers that don't come.
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

// connect names the node where it is known at the address, so that the transport checks its certificate.
func (s *Service) connect(ctx context.Context, out Outgoing) (drpc.Conn, error) {
	if address, known := s.Address(out.To); known && address == out.Address {
		return s.caller.Conn(ctx, out.To)
	}
	return s.caller.ConnAddress(out.Address)
}

// Leave announces a planned stop and waits, no longer than ctx, until the word has had time to spread. The node goes on
// answering probes until Stop.
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

// Stop tells a few peers that the node is gone and ends the service.
func (s *Service) Stop(ctx context.Context) error {
	var farewells sync.WaitGroup
	for _, out := range s.exit() {
		farewells.Go(func() { s.exchange(ctx, out) })
	}
	farewells.Wait()
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

// SetAttributes tells the other nodes about a change of this one.
func (s *Service) SetAttributes(attributes Attributes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetAttributes(attributes)
	s.publish()
}
