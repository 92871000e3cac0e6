package jobpeer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/streamorigin"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// originCopies is the number of workers that keep the origin of a stream, originAsked how many are asked for it: nodes may differ by
	// a worker or two in their lists.
	originCopies = 2
	originAsked  = 4
	// maxOriginsSent bounds the records of one message, to about 40 kB.
	maxOriginsSent = 256
	// maxOriginSends is how often a record is sent before it is given up: each time to a worker that is not known to be out of reach.
	maxOriginSends = 3
	// versionsRetry is the time between two tries to learn which versions services had before this node started.
	versionsRetry = time.Second
)

// KeepOriginsRequest has a worker keep the origins of streams.
type KeepOriginsRequest struct {
	Records []streamorigin.Record `json:"records"`
}

// KeepOriginsReply confirms that the origins are kept.
type KeepOriginsReply struct{}

// FindOriginQuery asks a worker where a stream began, and which software versions services have or had. An empty stream asks for the
// versions only.
type FindOriginQuery struct {
	Stream   ident.Request `json:"stream,omitempty"`
	Services []string      `json:"services"`
}

// KeepOrigins implements Server.
func (s *WorkerServer) KeepOrigins(_ context.Context, request *KeepOriginsRequest) (*KeepOriginsReply, error) {
	s.Origins.Keep(request.Records)
	return &KeepOriginsReply{}, nil
}

// FindOrigin implements Server.
func (s *WorkerServer) FindOrigin(_ context.Context, query *FindOriginQuery) (*streamorigin.Answer, error) {
	answer := s.Origins.Find(query.Stream, query.Services)
	return &answer, nil
}

// StreamOrigins tells workers at which service and software version streams began, and finds it for streams that clients take up again. Of a
// route with one service that has one version, nothing is told, unless names of its runners are used again: one that was started again as another
// version is listed later than it begins streams. It implements online.Origins. Its exported fields are set before Start.
type StreamOrigins struct {
	Client  *WorkerClient
	Runners *runnertable.Table
	Now     func() time.Time

	tomb *tomb.Tomb
	ctx  context.Context
	// begun holds the origins of the streams that this node began or went on with.
	begun *streamorigin.Book

	mutex sync.Mutex
	// pending are the records to send to each worker, sending the workers to which a call is under way, by address.
	pending map[string][]pendingOrigin
	sending map[string]bool
	// told are the services whose streams are told to workers.
	told map[string]bool
	// informed are the services whose earlier versions a worker has named, tried when that was last tried.
	informed map[string]bool
	tried    map[string]time.Time
}

// pendingOrigin is a record to be sent, and how often that was tried.
type pendingOrigin struct {
	record streamorigin.Record
	sends  int
}

// Start begins to tell origins until the tomb dies.
func (o *StreamOrigins) Start(parent *tomb.Tomb) {
	o.tomb, o.ctx, o.begun = parent, parent.Context(context.Background()), streamorigin.NewBook()
	o.pending, o.sending, o.told = map[string][]pendingOrigin{}, map[string]bool{}, map[string]bool{}
	o.informed, o.tried = map[string]bool{}, map[string]time.Time{}
	parent.Go(func() error {
		for {
			select {
			case <-parent.Dying():
				return nil
			case <-o.Runners.NewVersion():
				for service := range o.Runners.AllVersions(o.Now()) {
					o.updateTold(service)
				}
			}
		}
	})
}

// Begun implements online.Origins.
func (o *StreamOrigins) Begun(stream ident.Request, origin work.Origin, split bool) {
	record := streamorigin.Record{Stream: stream, Origin: origin}
	tells := o.updateTold(origin.Service)
	o.begun.Add(record, o.Now())
	if tells || split || origin.Runner != "" {
		o.tell(pendingOrigin{record: record})
	}
}

// updateTold reports whether streams of a service are told. When that begins, those that were begun before are told too.
func (o *StreamOrigins) updateTold(service string) bool {
	versions := o.Runners.Versions(service, o.Now())
	o.mutex.Lock()
	tells := len(versions) != 1 || versions[0] == "" || !o.informed[service]
	begins := tells && !o.told[service]
	o.told[service] = tells
	learns := !o.informed[service] && o.Now().Sub(o.tried[service]) >= versionsRetry
	if learns {
		o.tried[service] = o.Now()
	}
	o.mutex.Unlock()
	if learns && o.tomb.Alive() {
		o.tomb.Go(func() error { o.learnVersions(service); return nil })
	}
	if begins {
		for _, record := range o.begun.Of(service, o.Now()) {
			o.tell(pendingOrigin{record: record})
		}
	}
	return tells
}

// learnVersions learns from a worker which versions a service had before this node started.
func (o *StreamOrigins) learnVersions(service string) {
	address, _, err := o.Client.Nearest(o.ctx, uint64(o.Now().UnixNano()))
	if err != nil {
		return
	}
	answer := &streamorigin.Answer{}
	query := &FindOriginQuery{Services: []string{service}}
	if !o.Client.ask(o.ctx, address, methodFindOrigin, query, answer, 0) || !answer.Certain {
		return
	}
	o.Runners.RememberVersions(answer.Versions, o.Now())
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.informed[service] = true
}

// tell has a record sent to the workers that keep it. Records that are due while a call is under way go with the next one.
func (o *StreamOrigins) tell(next pendingOrigin) {
	for _, address := range o.Client.originKeepers(next.record.Stream, originCopies, true) {
		o.mutex.Lock()
		o.pending[address] = append(o.pending[address], next)
		starts := !o.sending[address] && o.tomb.Alive()
		if starts {
			o.sending[address] = true
		}
		o.mutex.Unlock()
		if starts {
			o.tomb.Go(func() error { o.send(address); return nil })
		}
	}
}

// send sends the records that are due for a worker until there are none.
func (o *StreamOrigins) send(address string) {
	for {
		batch := o.takePending(address)
		if len(batch) == 0 {
			return
		}
		request := &KeepOriginsRequest{}
		for _, next := range batch {
			request.Records = append(request.Records, next.record)
		}
		if o.Client.ask(o.ctx, address, methodKeepOrigins, request, &KeepOriginsReply{}, 0) {
			continue
		}
		for _, next := range batch {
			if next.sends++; next.sends < maxOriginSends {
				o.tell(next)
			}
		}
	}
}

func (o *StreamOrigins) takePending(address string) []pendingOrigin {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	due := o.pending[address]
	batch := due[:min(len(due), maxOriginsSent)]
	o.pending[address] = due[len(batch):]
	if len(batch) == 0 {
		delete(o.pending, address)
		delete(o.sending, address)
	}
	return batch
}

// Find implements online.Origins. Workers that do not answer are asked again for a moment, because they may have been started together with
// this node. Its error is streamorigin.ErrUnknown, or streamorigin.ErrOutOfReach if workers that may know did not answer.
func (o *StreamOrigins) Find(ctx context.Context, stream ident.Request, services []string) (work.Origin, error) {
	if origin, recorded := o.begun.Find(stream, o.Now()); recorded && stream != "" {
		return origin, nil
	}
	search := &originSearch{
		query: &FindOriginQuery{Stream: stream, Services: services}, left: o.Client.originKeepers(stream, originAsked, false),
		versions: map[work.Origin]bool{},
	}
	for _, service := range services {
		search.addVersions(service, o.Runners.Versions(service, o.Now()))
		search.namesRecur = search.namesRecur || o.Runners.NamesRecur(service)
	}
	for round := 0; ; round++ {
		if origin, recorded := o.ask(ctx, search); recorded {
			return origin, nil
		}
		if len(search.left) < originCopies || round == originRounds {
			break
		}
		if !sleep(o.tomb, originRetry) || ctx.Err() != nil {
			break
		}
	}
	return search.result()
}

const (
	// originRounds is how often workers that do not answer are asked again for the origin of a stream, originRetry the time between.
	originRounds = 3
	originRetry  = 150 * time.Millisecond
)

// originSearch is the search for the origin of one stream.
type originSearch struct {
	query *FindOriginQuery
	// left are the addresses of the workers that have not answered.
	left []string
	// versions are those that any node knows of the services.
	versions map[work.Origin]bool
	// namesRecur means that names of the services' runners are used again.
	namesRecur bool
	// answered means that a worker answered, certain that one of them misses no version.
	answered, certain bool
}

func (s *originSearch) addVersions(service string, versions []work.Version) {
	for _, version := range versions {
		s.versions[work.Origin{Service: service, Version: version}] = true
	}
}

// result returns the origin of a stream that no worker has recorded: the only version if there was no other. Where names recur, each stream is
// told, and the only version that is listed need not be the one that began it.
func (s *originSearch) result() (work.Origin, error) {
	if s.certain && len(s.versions) == 1 && !s.namesRecur {
		for only := range s.versions {
			if only.Version != "" {
				return only, nil
			}
		}
	}
	if !s.answered || len(s.left) >= originCopies {
		return work.Origin{}, streamorigin.ErrOutOfReach
	}
	return work.Origin{}, streamorigin.ErrUnknown
}

// ask asks the workers that are left, all at once, and returns the origin as soon as one of them has it. Those that did not answer lately
// are asked too, because they may have the only copy.
func (o *StreamOrigins) ask(ctx context.Context, search *originSearch) (work.Origin, bool) {
	type reply struct {
		address string
		answer  *streamorigin.Answer
	}
	replies := make(chan reply, len(search.left))
	for _, address := range search.left {
		// Each call has its own tomb: during shutdown requests are still served for a while after the process's tomb accepts no more.
		new(tomb.Tomb).Go(func() error {
			answer := &streamorigin.Answer{}
			if !o.Client.ask(ctx, address, methodFindOrigin, search.query, answer, 0) {
				answer = nil
			}
			replies <- reply{address, answer}
			return nil
		})
	}
	for range search.left {
		next := <-replies
		if next.answer == nil {
			continue
		}
		if next.answer.Recorded {
			return next.answer.Origin, true
		}
		search.answered, search.certain = true, search.certain || next.answer.Certain
		for service, versions := range next.answer.Versions {
			search.addVersions(service, versions)
		}
		search.left = slices.DeleteFunc(slices.Clone(search.left), func(left string) bool { return left == next.address })
	}
	return work.Origin{}, false
}

// originKeepers returns the addresses of the first workers that keep the origin of a stream, in an order on which nodes with the same list
// agree; the second one is in another zone than the first where there is one. answering leaves out workers that did not answer lately. It
// returns the seeds if no worker is known.
func (h *WorkerClient) originKeepers(stream ident.Request, count int, answering bool) []string {
	h.mutex.Lock()
	now := h.Now()
	var ranked []jobrecord.Worker
	for _, worker := range h.workers.Value() {
		if !answering || !now.Before(h.skippedUntil[worker.Address]) {
			ranked = append(ranked, worker)
		}
	}
	h.mutex.Unlock()
	if len(ranked) == 0 {
		return slices.Clone(h.Seeds)
	}
	slices.SortFunc(ranked, func(first, second jobrecord.Worker) int {
		return cmp.Or(rendezvous.Compare(string(stream), first.Node, second.Node), cmp.Compare(first.Address, second.Address))
	})
	for index := 2; index < len(ranked) && ranked[1].Zone == ranked[0].Zone; index++ {
		if ranked[index].Zone != ranked[0].Zone {
			ranked = slices.Insert(ranked, 1, ranked[index])
			ranked = slices.Delete(ranked, index+1, index+2)
		}
	}
	var addresses []string
	for _, worker := range ranked[:min(count, len(ranked))] {
		addresses = append(addresses, worker.Address)
	}
	return addresses
}
