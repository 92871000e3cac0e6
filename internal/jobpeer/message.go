// Package jobpeer implements the calls between the nodes of a site, over drpc, and the node state derived from them.
//
// Nodes use these calls to read job results and item bodies from the memory of the worker that runs the job, which saves calls
// of the key-value service; without a definite answer they read from there. Nodes also have jobs written to workers' disks
// while the store is unavailable, reserve queue capacity, assign accepted jobs, report online demand and quota use, share
// records of poison requests, and follow the registry and the open jobs through workers. Workers further replicate item output
// to each other and lend each other slots.
package jobpeer

import (
	"context"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/streamorigin"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Names of the calls on the wire.
const (
	methodResults  = "/mallowlatch.jobpeer.Jobs/Results"
	methodBody     = "/mallowlatch.jobpeer.Jobs/Body"
	methodKeep     = "/mallowlatch.jobpeer.Jobs/Keep"
	methodPending  = "/mallowlatch.jobpeer.Jobs/Pending"
	methodDemand   = "/mallowlatch.jobpeer.Jobs/Demand"
	methodMirror   = "/mallowlatch.jobpeer.Jobs/Mirror"
	methodRecall   = "/mallowlatch.jobpeer.Jobs/Recall"
	methodAssign   = "/mallowlatch.jobpeer.Jobs/Assign"
	methodLend     = "/mallowlatch.jobpeer.Jobs/Lend"
	methodTakeBack = "/mallowlatch.jobpeer.Jobs/TakeBack"
	methodLive     = "/mallowlatch.jobpeer.Jobs/Live"
	methodEnds     = "/mallowlatch.jobpeer.Jobs/Ends"
	methodQuota    = "/mallowlatch.jobpeer.Jobs/Quota"
	methodRoom     = "/mallowlatch.jobpeer.Jobs/Room"
	// A worker of an earlier build does not answer these two.
	methodKeepOrigins = "/mallowlatch.jobpeer.Jobs/KeepOrigins"
	methodFindOrigin  = "/mallowlatch.jobpeer.Jobs/FindOrigin"
)

// ResultsQuery asks for the results of a job, starting at position From.
type ResultsQuery struct {
	Job  ident.Job `json:"job"`
	From int       `json:"from"`
	// WaitMs is how long the worker may wait for the next result, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
}

// ResultsReply is the answer to a ResultsQuery: the state of the job at the worker.
type ResultsReply struct {
	// Sure means that the worker has the latest state; the other fields are meaningless without it.
	Sure bool `json:"sure"`
	// Tenant owns the job. It is empty if the job has no tenant or the worker runs a build without tenants.
	Tenant  ident.Tenant  `json:"tenant,omitempty"`
	Total   int           `json:"total"`
	Results []work.Result `json:"results"`
	// Holder is the address of the worker that holds the job, or held it last, as far as a worker knows that is not sure. NoHolder
	// means that it knows of none. Workers of earlier builds send neither.
	Holder   string `json:"holder,omitempty"`
	NoHolder bool   `json:"no_holder,omitempty"`
}

// BodyQuery asks for the body of an item without a recorded result.
type BodyQuery struct {
	Job  ident.Job     `json:"job"`
	Item ident.Request `json:"item"`
}

// BodyReply contains the body if the worker has it.
type BodyReply struct {
	Found bool `json:"found"`
	// Tenant owns the job, as in Reply.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	Body   []byte       `json:"body"`
}

// KeepRequest asks a worker to write a job to its disk until the store accepts it.
type KeepRequest struct {
	Entry *handoff.Entry `json:"entry"`
	// MaximumQueuedTokens is the limit of the route, or zero if the job's capacity is already reserved.
	MaximumQueuedTokens int `json:"maximum_queued_tokens"`
	// Copies is the number of workers asked to write the job.
	Copies int `json:"copies"`
}

// KeepReply reports whether the worker wrote the job to its disk.
type KeepReply struct {
	Kept bool `json:"kept"`
	// Code and Outcome are set if the worker refused the job.
	Code    failure.Code    `json:"code,omitempty"`
	Message string          `json:"message,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	// RetryAfterMs is when the caller may retry, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// PendingQuery asks whether a worker has a job on its disk that the store may not have yet.
type PendingQuery struct {
	Job ident.Job `json:"job"`
}

// PendingReply answers a PendingQuery.
type PendingReply struct {
	Pending bool `json:"pending"`
	// Doubt means that the store was unavailable or the worker started recently: workers with jobs on disk may not be
	// registered again yet.
	Doubt bool `json:"doubt,omitempty"`
}

// AssignRequest notifies a worker of a job that was accepted with a claim for that worker.
type AssignRequest struct {
	Job    ident.Job  `json:"job"`
	Route  string     `json:"route"`
	Zone   ident.Zone `json:"zone"`
	Tokens int        `json:"tokens"`
	// Tenant and Bytes are those of the job's open entry; earlier builds do not send them.
	Tenant ident.Tenant `json:"tenant,omitempty"`
	Bytes  int64        `json:"bytes,omitempty"`
	// Opened and Claimed are the revisions of the job's open entry and of its claim; Lease is the lease of the claim.
	Opened  int64 `json:"opened"`
	Claimed int64 `json:"claimed"`
	Lease   int64 `json:"lease"`
}

func (r *AssignRequest) assigned() jobrecord.Assigned {
	return jobrecord.Assigned{
		Open:  jobrecord.Open{ID: r.Job, Route: r.Route, Zone: r.Zone, Tenant: r.Tenant, Tokens: r.Tokens, Bytes: r.Bytes, Revision: r.Opened},
		Claim: jobrecord.Claim{Job: r.Job, Revision: r.Claimed},
	}
}

// AssignReply reports whether the worker runs the job.
type AssignReply struct {
	Taken bool `json:"taken"`
}

// MirrorRequest replicates output of items to a second worker.
type MirrorRequest struct {
	Updates []progress.Update `json:"updates"`
}

// MirrorReply lists the items whose output must be sent again from the start.
type MirrorReply struct {
	Gaps []ident.Request `json:"gaps"`
}

// RecallQuery asks for the output of a job that a worker has replicated.
type RecallQuery struct {
	Job ident.Job `json:"job"`
}

// RecallReply contains the replicated output.
type RecallReply struct {
	Outputs []progress.Output `json:"outputs"`
}

// TakeBackReply confirms that the recalled slots were returned.
type TakeBackReply struct{}

// EndsRequest sends records of poison requests to a worker and optionally reads the worker's records.
type EndsRequest struct {
	Records []poison.Record `json:"records,omitempty"`
	// PassOn makes the worker forward the records to the other workers.
	PassOn bool `json:"pass_on,omitempty"`
	// Read is the position up to which the caller has read the worker's records; nil reads nothing.
	Read *poison.Cursor `json:"read,omitempty"`
}

// EndsReply contains the records that the caller lacks.
type EndsReply struct {
	News poison.Changes `json:"news,omitzero"`
}

// Server handles the calls between nodes.
type Server interface {
	Results(ctx context.Context, query *ResultsQuery) (*ResultsReply, error)
	Body(ctx context.Context, query *BodyQuery) (*BodyReply, error)
	Keep(ctx context.Context, request *KeepRequest) (*KeepReply, error)
	Pending(ctx context.Context, query *PendingQuery) (*PendingReply, error)
	Demand(ctx context.Context, report *demand.Report) (*demand.Answer, error)
	Mirror(ctx context.Context, request *MirrorRequest) (*MirrorReply, error)
	Recall(ctx context.Context, query *RecallQuery) (*RecallReply, error)
	Assign(ctx context.Context, request *AssignRequest) (*AssignReply, error)
	Lend(ctx context.Context, request *lending.Request) (*lending.Reply, error)
	TakeBack(ctx context.Context, recall *lending.Recall) (*TakeBackReply, error)
	Live(ctx context.Context, query *LiveQuery) (*LiveReply, error)
	Ends(ctx context.Context, request *EndsRequest) (*EndsReply, error)
	Quota(ctx context.Context, spending *quota.NodeReport) (*quota.Answer, error)
	Room(ctx context.Context, request *RoomRequest) (*RoomReply, error)
	KeepOrigins(ctx context.Context, request *KeepOriginsRequest) (*KeepOriginsReply, error)
	FindOrigin(ctx context.Context, query *FindOriginQuery) (*streamorigin.Answer, error)
}

// Description registers a Server with a drpc.Mux.
type Description struct{}

// NumMethods implements drpc.Description.
func (Description) NumMethods() int { return 16 }

// Method implements drpc.Description.
func (Description) Method(index int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch index {
	case 0:
		return methodResults, jsoncall.Encoding{}, receiveResults, Server.Results, true
	case 1:
		return methodBody, jsoncall.Encoding{}, receiveBody, Server.Body, true
	case 2:
		return methodKeep, jsoncall.Encoding{}, receiveKeep, Server.Keep, true
	case 3:
		return methodPending, jsoncall.Encoding{}, receivePending, Server.Pending, true
	case 4:
		return methodDemand, jsoncall.Encoding{}, receiveDemand, Server.Demand, true
	case 5:
		return methodMirror, jsoncall.Encoding{}, receiveMirror, Server.Mirror, true
	case 6:
		return methodRecall, jsoncall.Encoding{}, receiveRecall, Server.Recall, true
	case 7:
		return methodAssign, jsoncall.Encoding{}, receiveAssign, Server.Assign, true
	case 8:
		return methodLend, jsoncall.Encoding{}, receiveLend, Server.Lend, true
	case 9:
		return methodTakeBack, jsoncall.Encoding{}, receiveTakeBack, Server.TakeBack, true
	case 10:
		return methodLive, jsoncall.Encoding{}, receiveLive, Server.Live, true
	case 11:
		return methodEnds, jsoncall.Encoding{}, receiveEnds, Server.Ends, true
	case 12:
		return methodQuota, jsoncall.Encoding{}, receiveQuota, Server.Quota, true
	case 13:
		return methodRoom, jsoncall.Encoding{}, receiveRoom, Server.Room, true
	case 14:
		return methodKeepOrigins, jsoncall.Encoding{}, receiveKeepOrigins, Server.KeepOrigins, true
	case 15:
		return methodFindOrigin, jsoncall.Encoding{}, receiveFindOrigin, Server.FindOrigin, true
	}
	return "", nil, nil, nil, false
}

func receiveResults(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Results(ctx, in.(*ResultsQuery))
}

func receiveBody(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Body(ctx, in.(*BodyQuery))
}

func receiveKeep(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Keep(ctx, in.(*KeepRequest))
}

func receivePending(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Pending(ctx, in.(*PendingQuery))
}

func receiveDemand(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Demand(ctx, in.(*demand.Report))
}

func receiveMirror(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Mirror(ctx, in.(*MirrorRequest))
}

func receiveRecall(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Recall(ctx, in.(*RecallQuery))
}

func receiveAssign(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Assign(ctx, in.(*AssignRequest))
}

func receiveLend(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Lend(ctx, in.(*lending.Request))
}

func receiveTakeBack(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).TakeBack(ctx, in.(*lending.Recall))
}

func receiveLive(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Live(ctx, in.(*LiveQuery))
}

func receiveEnds(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Ends(ctx, in.(*EndsRequest))
}

func receiveQuota(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Quota(ctx, in.(*quota.NodeReport))
}

func receiveRoom(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).Room(ctx, in.(*RoomRequest))
}

func receiveKeepOrigins(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).KeepOrigins(ctx, in.(*KeepOriginsRequest))
}

func receiveFindOrigin(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
	return server.(Server).FindOrigin(ctx, in.(*FindOriginQuery))
}
