// Package etcdwire holds the messages of the etcd v3 JSON-over-HTTP mapping: keys and values are base64 (Go's []byte in
// JSON), 64-bit integers are strings. The adapter and the lab's stand-in share it.
package etcdwire

import "encoding/json"

// Paths of the mapping. Every call is a POST.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathDeleteRange = "/v3/kv/deleterange"
	PathTxn         = "/v3/kv/txn"
	PathCompaction  = "/v3/kv/compaction"
	PathWatch       = "/v3/watch"
	PathLeaseGrant  = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathRevoke      = "/v3/lease/revoke"
)

// ClientHeader names the client, so that the stand-in can cut off one of several clients on one machine.
const ClientHeader = "Mallowlatch-Client"

// Codes of an Error that the adapter tells apart; the numbers are gRPC's.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Messages of errors that the adapter tells apart.
const (
	MessageNoLeader      = "etcdserver: no leader"
	MessageCompacted     = "etcdserver: mvcc: required revision has been compacted"
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageTooMany       = "etcdserver: too many requests"
)

// Error is the body of a failed call.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Header is the head of every answer.
type Header struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// KeyValue is one stored pair.
type KeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// RangeRequest reads one key, or the keys in [Key, RangeEnd).
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes one key, or the keys in [Key, RangeEnd).
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,omitempty,string"`
}

// Results and targets of a Compare.
const (
	ResultEqual    = "EQUAL"
	ResultGreater  = "GREATER"
	ResultLess     = "LESS"
	ResultNotEqual = "NOT_EQUAL"

	TargetVersion = "VERSION"
	TargetCreate  = "CREATE"
	TargetMod     = "MOD"
	TargetValue   = "VALUE"
)

// Compare is one condition of a transaction. Empty Result and Target mean EQUAL and VERSION.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key"`
	Version        int64  `json:"version,omitempty,string"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
}

// RequestOp is one step of a transaction; exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp answers a RequestOp.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest runs Success if every compare holds, Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// CompactionRequest forgets the history up to Revision.
type CompactionRequest struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// CompactionResponse answers a CompactionRequest.
type CompactionResponse struct {
	Header Header `json:"header"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest watches one key, or the keys in [Key, RangeEnd), from StartRevision; zero means from now.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// EventDelete is the Type of a deletion; a put has no type.
const EventDelete = "DELETE"

// WatchEvent is one change.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,omitempty,string"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// StreamMessage wraps each message of a streamed answer.
type StreamMessage struct {
	Result json.RawMessage `json:"result,omitempty"`
	Error  *Error          `json:"error,omitempty"`
}

// LeaseGrantRequest creates a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,omitempty,string"`
	ID  int64 `json:"ID,omitempty,string"`
}

// LeaseGrantResponse answers a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// LeaseRequest names a lease to keep alive or revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,omitempty,string"`
}

// LeaseKeepAliveResponse answers a keep-alive; TTL is in seconds, and zero if the lease has lapsed.
type LeaseKeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// LeaseRevokeResponse answers a revocation.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}
