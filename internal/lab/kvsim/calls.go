package kvsim

import (
	"bytes"
	"cmp"
	"time"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/etcdwire"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

func (s *Server) header() etcdwire.Header { return etcdwire.Header{Revision: s.data.Revision()} }

func (s *Server) serveRange(request etcdwire.RangeRequest) (etcdwire.RangeResponse, *etcdwire.Error) {
	events, revision := s.data.Range(string(request.Key), string(request.RangeEnd))
	response := etcdwire.RangeResponse{
		Header: etcdwire.Header{Revision: revision},
		Count:  int64(len(events)),
	}
	if request.Limit > 0 && int64(len(events)) > request.Limit {
		events = events[:request.Limit]
		response.More = true
	}
	for _, event := range events {
		response.Kvs = append(response.Kvs, keyValueOf(event))
	}
	return response, nil
}

func keyValueOf(event kvtest.Event) etcdwire.KeyValue {
	return etcdwire.KeyValue{
		Key:            []byte(event.Pair.Key),
		CreateRevision: event.Pair.CreateRevision,
		ModRevision:    event.Pair.ModRevision,
		Version:        event.Version,
		Value:          event.Pair.Value,
		Lease:          int64(event.Pair.Lease),
	}
}

func (s *Server) servePut(request etcdwire.PutRequest) (etcdwire.PutResponse, *etcdwire.Error) {
	txn, failed := s.serveTxn(etcdwire.TxnRequest{Success: []etcdwire.RequestOp{{Put: &request}}})
	return etcdwire.PutResponse{Header: txn.Header}, failed
}

func (s *Server) serveDeleteRange(
	request etcdwire.DeleteRangeRequest,
) (etcdwire.DeleteRangeResponse, *etcdwire.Error) {
	before, _ := s.data.Range(string(request.Key), string(request.RangeEnd))
	txn, failed := s.serveTxn(etcdwire.TxnRequest{Success: []etcdwire.RequestOp{{DeleteRange: &request}}})
	return etcdwire.DeleteRangeResponse{Header: txn.Header, Deleted: int64(len(before))}, failed
}

func (s *Server) serveTxn(request etcdwire.TxnRequest) (etcdwire.TxnResponse, *etcdwire.Error) {
	var response etcdwire.TxnResponse
	var chosen []etcdwire.RequestOp
	revision, err := s.data.Transact(func(get func(string) (kv.Pair, int64, bool)) []kvtest.Op {
		response.Succeeded = allHold(request.Compare, get)
		chosen = request.Failure
		if response.Succeeded {
			chosen = request.Success
		}
		return changesOf(chosen)
	})
	if err != nil {
		return response, &etcdwire.Error{Code: etcdwire.CodeNotFound, Message: etcdwire.MessageLeaseNotFound}
	}
	response.Header.Revision = revision
	for _, op := range chosen {
		response.Responses = append(response.Responses, s.responseOf(op, revision))
	}
	return response, nil
}

// allHold reports whether every compare holds.
func allHold(compares []etcdwire.Compare, get func(string) (kv.Pair, int64, bool)) bool {
	for _, compare := range compares {
		pair, version, _ := get(string(compare.Key))
		if !holds(compare, pair, version) {
			return false
		}
	}
	return true
}

func holds(compare etcdwire.Compare, pair kv.Pair, version int64) bool {
	var order int
	switch compare.Target {
	case etcdwire.TargetMod:
		order = cmp.Compare(pair.ModRevision, compare.ModRevision)
	case etcdwire.TargetCreate:
		order = cmp.Compare(pair.CreateRevision, compare.CreateRevision)
	case etcdwire.TargetValue:
		order = bytes.Compare(pair.Value, compare.Value)
	default:
		order = cmp.Compare(version, compare.Version)
	}
	switch compare.Result {
	case etcdwire.ResultGreater:
		return order > 0
	case etcdwire.ResultLess:
		return order < 0
	case etcdwire.ResultNotEqual:
		return order != 0
	default:
		return order == 0
	}
}

func changesOf(requests []etcdwire.RequestOp) []kvtest.Op {
	var ops []kvtest.Op
	for _, request := range requests {
		switch {
		case request.Put != nil:
			ops = append(ops, kvtest.Op{
				Key:   string(request.Put.Key),
				Value: request.Put.Value,
				Lease: kv.LeaseID(request.Put.Lease),
			})
		case request.DeleteRange != nil:
			ops = append(ops, kvtest.Op{
				Key:    string(request.DeleteRange.Key),
				End:    string(request.DeleteRange.RangeEnd),
				Delete: true,
			})
		}
	}
	return ops
}

// responseOf answers one step. A range inside a transaction is read after the transaction.
func (s *Server) responseOf(op etcdwire.RequestOp, revision int64) etcdwire.ResponseOp {
	header := etcdwire.Header{Revision: revision}
	switch {
	case op.Range != nil:
		response, _ := s.serveRange(*op.Range)
		return etcdwire.ResponseOp{Range: &response}
	case op.Put != nil:
		return etcdwire.ResponseOp{Put: &etcdwire.PutResponse{Header: header}}
	default:
		return etcdwire.ResponseOp{DeleteRange: &etcdwire.DeleteRangeResponse{Header: header}}
	}
}

func (s *Server) serveCompaction(
	request etcdwire.CompactionRequest,
) (etcdwire.CompactionResponse, *etcdwire.Error) {
	s.data.Compact(request.Revision)
	return etcdwire.CompactionResponse{Header: s.header()}, nil
}

func (s *Server) serveLeaseGrant(
	request etcdwire.LeaseGrantRequest,
) (etcdwire.LeaseGrantResponse, *etcdwire.Error) {
	if request.TTL <= 0 {
		return etcdwire.LeaseGrantResponse{}, &etcdwire.Error{
			Code:    etcdwire.CodeInvalidArgument,
			Message: "etcdserver: lease TTL must be positive",
		}
	}
	id := s.data.Grant(time.Duration(request.TTL) * time.Second)
	return etcdwire.LeaseGrantResponse{Header: s.header(), ID: int64(id), TTL: request.TTL}, nil
}

// keepAliveMessage is a keep-alive's answer: a stream of one message.
type keepAliveMessage struct {
	Result etcdwire.LeaseKeepAliveResponse `json:"result"`
}

func (s *Server) serveKeepAlive(request etcdwire.LeaseRequest) (keepAliveMessage, *etcdwire.Error) {
	answer := etcdwire.LeaseKeepAliveResponse{Header: s.header(), ID: request.ID}
	ttl, err := s.data.KeepAlive(kv.LeaseID(request.ID))
	if err == nil {
		answer.TTL = int64(ttl / time.Second)
	}
	return keepAliveMessage{Result: answer}, nil
}

func (s *Server) serveRevoke(request etcdwire.LeaseRequest) (etcdwire.LeaseRevokeResponse, *etcdwire.Error) {
	if err := s.data.Revoke(kv.LeaseID(request.ID)); err != nil {
		return etcdwire.LeaseRevokeResponse{}, &etcdwire.Error{
			Code:    etcdwire.CodeNotFound,
			Message: etcdwire.MessageLeaseNotFound,
		}
	}
	return etcdwire.LeaseRevokeResponse{Header: s.header()}, nil
}
