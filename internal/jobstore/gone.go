package jobstore

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// loseGone commits that requests started by processes that are gone have an unknown outcome. It never lets one run
// again: a wrong word about a process that lives costs a resend its answer, not a second run.
func (s *Server) loseGone(ctx context.Context) error {
	if s.settings.Gone == nil {
		return nil
	}
	orphans, err := s.orphans(ctx)
	if err != nil {
		return err
	}
	for _, entry := range orphans {
		settle := &pb.SettleRequest{
			Tenant:     entry.GetTenant(),
			Key:        entry.GetKey(),
			Attempt:    entry.GetAttempt(),
			Settlement: pb.Settlement_SETTLEMENT_LOSE,
			Retention:  int64(s.settings.LedgerRetention),
		}
		_, err := s.propose(ctx, &pb.Command{Operation: &pb.Command_Settle{Settle: settle}}, 0)
		if err != nil && failure.As(err).Code != failure.CodeConflict {
			return err
		}
		event.JobRequestLost.Log(s.logger).Str("tenant", entry.GetTenant()).Str("node", entry.GetNode()).Send()
	}
	return nil
}

// orphans returns the started ledger entries of processes that are gone.
func (s *Server) orphans(ctx context.Context) ([]*pb.LedgerRecord, error) {
	var orphans []*pb.LedgerRecord
	err := s.view(ctx, func(reader shard.Reader) error {
		keys, err := begunKeys(reader)
		if err != nil {
			return err
		}
		for _, key := range keys {
			entry := &pb.LedgerRecord{}
			found, err := load(reader, key, entry)
			if err != nil {
				return err
			}
			if found && s.settings.Gone(ident.Node(entry.GetNode()), time.Unix(0, entry.GetStarted())) {
				orphans = append(orphans, entry)
			}
		}
		return nil
	})
	return orphans, err
}

// begunKeys lists the ledger keys of started entries.
func begunKeys(reader shard.Reader) ([][]byte, error) {
	var keys [][]byte
	start, end := spaceRange(spaceBegun)
	err := reader.Scan(start, end, func(key, _ []byte) bool {
		keys = append(keys, append([]byte(nil), key[1:]...))
		return true
	})
	return keys, err
}
