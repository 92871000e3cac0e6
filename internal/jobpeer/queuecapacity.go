package jobpeer

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/work"
)

// RoomRequest asks an account holder to reserve queue capacity, releases capacity, or reports the jobs that a worker has on
// disk and runs.
type RoomRequest struct {
	Ask     *queuecapacity.CapacityRequest `json:"ask,omitempty"`
	Release *queuecapacity.Release         `json:"release,omitempty"`
	News    *queuecapacity.Report          `json:"news,omitempty"`
}

// RoomReply contains the answer to Ask, nil if nothing was asked.
type RoomReply struct {
	Answer *queuecapacity.Answer `json:"answer,omitempty"`
}

// awaitWorkersInterval is the interval at which awaitWorkers checks for a list of workers.
const awaitWorkersInterval = 20 * time.Millisecond

// releaseTimeout is the timeout of a call that releases capacity.
const releaseTimeout = 500 * time.Millisecond

// Reserve asks the holders of a route's account for capacity for a job and waits for the answers of a majority. attempt
// identifies the attempt to submit the job; the same attempt may ask again.
func (h *WorkerClient) Reserve(ctx context.Context, route *work.Route, submission *jobrecord.Submission, attempt string) *queuecapacity.Reservation {
	h.awaitWorkers(ctx)
	asking := &capacityRequest{
		client: h, workers: h.accountHolders(route.Name), question: &queuecapacity.CapacityRequest{
			Route: route.Name, Tenant: submission.Tenant, Attempt: attempt,
			ReservedJob: queuecapacity.ReservedJob{Job: submission.ID, Tokens: submission.Tokens()},
		},
	}
	return asking.run(ctx, route.MaximumQueuedTokens)
}

// awaitWorkers reads the list of workers if the current one is too old. If no worker is known, it waits while another request
// reads the list: without the list there is no one to ask.
func (h *WorkerClient) awaitWorkers(ctx context.Context) {
	h.readWorkers(ctx)
	for end := h.Now().Add(lookupTimeout); len(h.knownWorkers()) == 0 && h.Now().Before(end); {
		select {
		case <-time.After(awaitWorkersInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (h *WorkerClient) accountHolders(route string) []queuecapacity.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.roster.AccountHolders(route, h.Copies-1, h.Now())
}

// capacityRequest is the state of one reservation.
type capacityRequest struct {
	client   *WorkerClient
	workers  []queuecapacity.Worker
	question *queuecapacity.CapacityRequest
}

// capacityAnswer is the result of one call.
type capacityAnswer struct {
	answer *queuecapacity.Answer
	// unsupported means that the worker's build does not support queue accounts.
	unsupported bool
}

func (r *capacityRequest) run(ctx context.Context, bound int) *queuecapacity.Reservation {
	replies := make(chan capacityAnswer, len(r.workers))
	for _, worker := range r.workers {
		// Each call gets a new tomb, because the last calls outlive the request.
		new(tomb.Tomb).Go(func() error {
			replies <- r.ask(ctx, worker.Address)
			return nil
		})
	}
	reservation := &queuecapacity.Reservation{Release: r.release}
	var answers []*queuecapacity.Answer
	unsupported := false
	for range r.workers {
		reply := <-replies
		unsupported = unsupported || reply.unsupported
		if reply.answer == nil {
			continue
		}
		answers = append(answers, reply.answer)
		reservation.Count = queuecapacity.Combine(answers)
		reservation.Verdict = queuecapacity.Decide(reservation.Count, len(r.workers), r.question.Tokens, bound)
		if reservation.Verdict > queuecapacity.Unsupported {
			return reservation
		}
	}
	if unsupported {
		reservation.Verdict = queuecapacity.Unsupported
	}
	return reservation
}

func (r *capacityRequest) ask(ctx context.Context, address string) capacityAnswer {
	reply := &RoomReply{}
	err := r.client.callAccountHolder(ctx, address, &RoomRequest{Ask: r.question}, reply, callSlack)
	return capacityAnswer{answer: reply.Answer, unsupported: err != nil && isUnknownCall(err)}
}

// release releases the capacity in the background, because the calls outlive the request.
func (r *capacityRequest) release() {
	request := &RoomRequest{Release: &queuecapacity.Release{Job: r.question.Job, Attempt: r.question.Attempt}}
	for _, worker := range r.workers {
		new(tomb.Tomb).Go(func() error {
			// An account holder that is not reached releases the capacity when the reservation expires.
			_ = r.client.callAccountHolder(context.Background(), worker.Address, request, &RoomReply{}, releaseTimeout)
			return nil
		})
	}
}

// callAccountHolder makes one call to an account holder. A failure does not make other calls skip the worker: account holders are called
// for every job, and a skipped worker would never be asked again to store jobs on disk.
func (h *WorkerClient) callAccountHolder(ctx context.Context, address string, request *RoomRequest, reply *RoomReply, within time.Duration) error {
	call, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	connection, err := h.Connect(address)
	if err == nil {
		err = connection.Invoke(call, methodRoom, jsoncall.Encoding{}, request, reply)
	}
	switch {
	case err == nil:
		h.Reach.Answered()
	case isUnknownCall(err):
	case ctx.Err() == nil:
		h.Reach.Failed(h.Now())
	}
	return err
}

// ReportQueueUse implements jobworker.Accounts.
func (p *Peers) ReportQueueUse(ctx context.Context, address string, news *queuecapacity.Report) error {
	return p.call(ctx, address, methodRoom, &RoomRequest{News: news}, &RoomReply{})
}

// Room implements Server.
func (s *WorkerServer) Room(_ context.Context, request *RoomRequest) (*RoomReply, error) {
	reply := &RoomReply{}
	if request.News != nil {
		s.Worker.RecordAccountReport(request.News)
	}
	if request.Release != nil {
		s.Worker.ReleaseQueueCapacity(request.Release)
	}
	if request.Ask != nil {
		reply.Answer = s.Worker.ReserveQueueCapacity(request.Ask)
	}
	return reply, nil
}
