package jobclient

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// waitingParallel bounds the nodes asked for waiting jobs at a time.
const waitingParallel = 8

// heldLease is what a new leader needs to adopt a lease.
type heldLease struct {
	job     ident.Job
	indexes []uint32
}

// Waiting lists the jobs with items to lease, one call to each node that leads shards. Shards that cannot be asked are
// left out; it fails only if none could be.
func (c *Client) Waiting(ctx context.Context, limit int) ([]job.Priority, error) {
	byNode := map[ident.Node][]uint32{}
	for number := range c.options.Directory.Shards() {
		if node, known := c.leaderNode(ident.Shard(number)); known {
			byNode[node] = append(byNode[node], uint32(number))
		}
	}
	answers := make(chan *pb.WaitingReply, len(byNode))
	var group errgroup.Group
	group.SetLimit(waitingParallel)
	for node, shards := range byNode {
		group.Go(func() error { return c.askWaiting(ctx, node, shards, limit, answers) })
	}
	err := group.Wait()
	close(answers)
	var waiting []job.Priority
	answered := false
	for answer := range answers {
		answered = true
		for _, found := range answer.GetJobs() {
			waiting = append(waiting, priorityOf(found))
		}
	}
	if !answered && err != nil {
		return nil, failure.New(failure.CodeShardUnavailable, "no job storage can be reached").WithCause(err)
	}
	slices.SortStableFunc(waiting, func(a, b job.Priority) int { return a.Deadline.Compare(b.Deadline) })
	return waiting, nil
}

func (c *Client) askWaiting(ctx context.Context, node ident.Node, shards []uint32, limit int, answers chan<- *pb.WaitingReply) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	answer, err := c.callWaiting(ctx, node, &pb.WaitingRequest{Shards: shards, Limit: uint32(limit)})
	if err != nil {
		for _, id := range shards {
			c.forgetHint(ident.Shard(id))
		}
		return err
	}
	for _, id := range answer.GetMissed() {
		c.locate(ctx, ident.Shard(id))
	}
	answers <- answer
	return nil
}

// locate learns the leader of a shard that the node asked does not lead, so that the next list has the shard's jobs. The
// answer to Waiting does not name it, and the directory may know no more than a member: a renewal of nothing is
// redirected like any call.
func (c *Client) locate(ctx context.Context, id ident.Shard) {
	_, _ = try(ctx, c, id, func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.RenewReply, error) {
		return leader.Renew(ctx, &pb.RenewRequest{Shard: uint32(id), Worker: string(c.options.Self)})
	})
}

func (c *Client) callWaiting(ctx context.Context, node ident.Node, request *pb.WaitingRequest) (*pb.WaitingReply, error) {
	server, err := c.node(ctx, node)
	if err != nil {
		return nil, err
	}
	return server.Waiting(ctx, request)
}

func priorityOf(found *pb.WaitingJob) job.Priority {
	return job.Priority{
		Shard:    ident.Shard(found.GetShard()),
		Job:      ident.Job(found.GetJob()),
		Tenant:   ident.Tenant(found.GetTenant()),
		Service:  found.GetService(),
		Waiting:  int(found.GetWaiting()),
		Deadline: timeOf(found.GetDeadline()),
		Created:  timeOf(found.GetCreated()),
	}
}

// Lease leases items of one job. It is sent once: if the answer is lost, the lease is released in the background,
// since nothing of it will run here.
func (c *Client) Lease(ctx context.Context, id ident.Shard, of ident.Job, request job.LeaseRequest) (job.Lease, error) {
	asked := &pb.LeaseRequest{
		Shard:    uint32(id),
		Job:      string(of),
		Worker:   string(request.Worker),
		Services: request.Services,
		Max:      uint32(request.Max),
		Lease:    "lease_" + c.options.NewID(),
	}
	answer, err := try(ctx, c, id, func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.LeaseReply, error) {
		return leader.Lease(ctx, asked)
	})
	if err != nil {
		var tried attempts
		tried.note(err)
		if tried.unknown {
			c.background(func(ctx context.Context) { _ = c.sendRelease(ctx, id, asked.GetJob(), asked.GetLease(), nil) })
		}
		return job.Lease{}, tried.failure()
	}
	return c.hold(id, of, answer), nil
}

// hold remembers a lease and returns it as its worker sees it.
func (c *Client) hold(id ident.Shard, of ident.Job, answer *pb.LeaseReply) job.Lease {
	lease := job.Lease{ID: answer.GetLease(), Shard: id, Job: of, TTL: time.Duration(answer.GetTtl())}
	held := &heldLease{job: of}
	for _, item := range answer.GetItems() {
		held.indexes = append(held.indexes, item.GetIndex())
		lease.Items = append(lease.Items, job.Item{
			Job:        of,
			Index:      item.GetIndex(),
			CustomID:   item.GetCustomId(),
			Tenant:     ident.Tenant(answer.GetTenant()),
			Endpoint:   inference.Endpoint(answer.GetEndpoint()),
			Body:       item.GetBody(),
			Repeatable: !item.GetNotRepeatable(),
			Deadline:   timeOf(answer.GetDeadline()),
		})
	}
	if len(held.indexes) > 0 {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.held[lease.ID] = held
	}
	return lease
}

// Renew extends leases and returns those that are no longer held. After an error none is known to be extended.
func (c *Client) Renew(ctx context.Context, id ident.Shard, worker ident.Node, leases []string) ([]string, error) {
	request := &pb.RenewRequest{Shard: uint32(id), Worker: string(worker), Leases: c.describe(leases)}
	answer, _, err := call(ctx, c, id, "Renew", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.RenewReply, error) {
		return leader.Renew(ctx, request)
	})
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, lost := range answer.GetLost() {
		delete(c.held, lost)
	}
	return answer.GetLost(), nil
}

func (c *Client) describe(leases []string) []*pb.HeldLease {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	described := make([]*pb.HeldLease, 0, len(leases))
	for _, id := range leases {
		one := &pb.HeldLease{Lease: id}
		if held := c.held[id]; held != nil {
			one.Job = string(held.job)
			one.Indexes = slices.Clone(held.indexes)
		}
		described = append(described, one)
	}
	return described
}

// Complete commits results. It may be called again after any failure.
func (c *Client) Complete(ctx context.Context, lease job.Lease, results []job.Result) error {
	customIDs := map[uint32]string{}
	for _, item := range lease.Items {
		customIDs[item.Index] = item.CustomID
	}
	indexes := make([]uint32, 0, len(results))
	for _, result := range results {
		indexes = append(indexes, result.Index)
	}
	for len(results) > 0 {
		count := fitting(results)
		if err := c.sendComplete(ctx, lease, results[:count], customIDs); err != nil {
			return err
		}
		results = results[count:]
	}
	c.letGo(lease.ID, indexes)
	return nil
}

// maxCompleteBytes bounds the bodies of one Complete call, in bytes, unless one result is larger.
const maxCompleteBytes = 1 << 20

func fitting(results []job.Result) int {
	size := 0
	for count, result := range results {
		size += len(result.Body)
		if size > maxCompleteBytes && count > 0 {
			return count
		}
	}
	return len(results)
}

func (c *Client) sendComplete(ctx context.Context, lease job.Lease, results []job.Result, customIDs map[uint32]string) error {
	request := &pb.CompleteRequest{Shard: uint32(lease.Shard), Job: string(lease.Job), Lease: lease.ID}
	for _, result := range results {
		request.Items = append(request.Items, &pb.CompletedItem{
			Index:      result.Index,
			CustomId:   customIDs[result.Index],
			HttpStatus: int32(result.Status),
			Body:       result.Body,
			Failed:     result.Failed,
		})
	}
	_, _, err := call(ctx, c, lease.Shard, "Complete", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.Ack, error) {
		return leader.Complete(ctx, request)
	})
	return err
}

// Release gives items back that were definitely not run.
func (c *Client) Release(ctx context.Context, lease job.Lease, indexes []uint32) error {
	if len(indexes) == 0 {
		return nil
	}
	c.letGo(lease.ID, indexes)
	return c.sendRelease(ctx, lease.Shard, string(lease.Job), lease.ID, indexes)
}

func (c *Client) sendRelease(ctx context.Context, id ident.Shard, of, lease string, indexes []uint32) error {
	request := &pb.ReleaseRequest{Shard: uint32(id), Job: of, Lease: lease, Indexes: indexes}
	_, _, err := call(ctx, c, id, "Release", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.Ack, error) {
		return leader.Release(ctx, request)
	})
	return err
}

// letGo forgets items of a lease.
func (c *Client) letGo(lease string, indexes []uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.held[lease]
	if held == nil {
		return
	}
	gone := map[uint32]bool{}
	for _, index := range indexes {
		gone[index] = true
	}
	held.indexes = slices.DeleteFunc(held.indexes, func(index uint32) bool { return gone[index] })
	if len(held.indexes) == 0 {
		delete(c.held, lease)
	}
}
