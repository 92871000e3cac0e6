package jobpeer

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/queueroom"
	"mallowlatch.example/mallowlatch/internal/work"
)

// RoomRequest asks a keeper of an account for room, gives room back, or tells what a worker keeps and runs.
type RoomRequest struct {
	Ask     *queueroom.Question `json:"ask,omitempty"`
	Release *queueroom.Release  `json:"release,omitempty"`
	News    *queueroom.News     `json:"news,omitempty"`
}

// RoomReply answers what was asked for; nil where nothing was.
type RoomReply struct {
	Answer *queueroom.Answer `json:"answer,omitempty"`
}

// awaitWorkersEvery is the time between two looks whether the list of workers was read.
const awaitWorkersEvery = 20 * time.Millisecond

// releaseTimeout bounds the giving back of room.
const releaseTimeout = 500 * time.Millisecond

// Reserve asks the keepers of a route's account for room for a job, and waits for the answers of a majority. attempt names the try to take
// the job; it may ask again.
func (h *Holders) Reserve(ctx context.Context, route *work.Route, submission *jobrecord.Submission, attempt string) *queueroom.Reservation {
	h.awaitWorkers(ctx)
	asking := &reserving{
		holders: h, keepers: h.accountKeepers(route.Name), question: &queueroom.Question{
			Route: route.Name, Tenant: submission.Tenant, Attempt: attempt,
			Held: queueroom.Held{Job: submission.ID, Tokens: submission.Tokens()},
		},
	}
	return asking.run(ctx, route.MaximumQueuedTokens)
}

// awaitWorkers reads the list of workers where it is old. Where none is known it waits while another request reads it: without the list
// nobody could be asked.
func (h *Holders) awaitWorkers(ctx context.Context) {
	h.readWorkers(ctx)
	for end := h.Now().Add(lookupTimeout); len(h.known()) == 0 && h.Now().Before(end); {
		select {
		case <-time.After(awaitWorkersEvery):
		case <-ctx.Done():
			return
		}
	}
}

func (h *Holders) accountKeepers(route string) []queueroom.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.roster.Keepers(route, h.Copies-1, h.Now())
}

// reserving is the asking for the room of one job.
type reserving struct {
	holders  *Holders
	keepers  []queueroom.Worker
	question *queueroom.Question
}

// roomAnswer is what came of one question.
type roomAnswer struct {
	answer *queueroom.Answer
	// unkept says that the worker is of a build that keeps no account.
	unkept bool
}

func (r *reserving) run(ctx context.Context, bound int) *queueroom.Reservation {
	replies := make(chan roomAnswer, len(r.keepers))
	for _, keeper := range r.keepers {
		// Each call has a tomb of its own: the last ones outlive the request.
		new(tomb.Tomb).Go(func() error {
			replies <- r.ask(ctx, keeper.Address)
			return nil
		})
	}
	reservation := &queueroom.Reservation{Release: r.release}
	var answers []*queueroom.Answer
	unkept := false
	for range r.keepers {
		reply := <-replies
		unkept = unkept || reply.unkept
		if reply.answer == nil {
			continue
		}
		answers = append(answers, reply.answer)
		reservation.Count = queueroom.Sum(answers)
		reservation.Verdict = queueroom.Decide(reservation.Count, len(r.keepers), r.question.Tokens, bound)
		if reservation.Verdict > queueroom.Unkept {
			return reservation
		}
	}
	if unkept {
		reservation.Verdict = queueroom.Unkept
	}
	return reservation
}

func (r *reserving) ask(ctx context.Context, address string) roomAnswer {
	reply := &RoomReply{}
	err := r.holders.askRoom(ctx, address, &RoomRequest{Ask: r.question}, reply, callSlack)
	return roomAnswer{answer: reply.Answer, unkept: err != nil && isUnknownCall(err)}
}

// release gives the room back in the background: it outlives the request.
func (r *reserving) release() {
	request := &RoomRequest{Release: &queueroom.Release{Job: r.question.Job, Attempt: r.question.Attempt}}
	for _, keeper := range r.keepers {
		new(tomb.Tomb).Go(func() error {
			// A keeper that is not reached lets the room go by itself.
			_ = r.holders.askRoom(context.Background(), keeper.Address, request, &RoomReply{}, releaseTimeout)
			return nil
		})
	}
}

// askRoom makes one call of a keeper. One that does not answer is not left alone by other calls for that: keepers are asked with each job, so
// that disks would never be asked again.
func (h *Holders) askRoom(ctx context.Context, address string, request *RoomRequest, reply *RoomReply, within time.Duration) error {
	call, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	connection, err := h.Connect(address)
	if err == nil {
		err = connection.Invoke(call, methodRoom, jsoncall.Encoding{}, request, reply)
	}
	switch {
	case err == nil:
		h.Heard.Answered()
	case isUnknownCall(err):
	case ctx.Err() == nil:
		h.Heard.Failed(h.Now())
	}
	return err
}

// TellRoom implements jobworker.Accounts.
func (p *Peers) TellRoom(ctx context.Context, address string, news *queueroom.News) error {
	return p.call(ctx, address, methodRoom, &RoomRequest{News: news}, &RoomReply{})
}

// Room implements Server.
func (s *WorkerServer) Room(_ context.Context, request *RoomRequest) (*RoomReply, error) {
	reply := &RoomReply{}
	if request.News != nil {
		s.Worker.LearnRoom(request.News)
	}
	if request.Release != nil {
		s.Worker.ReleaseRoom(request.Release)
	}
	if request.Ask != nil {
		reply.Answer = s.Worker.Room(request.Ask)
	}
	return reply, nil
}
