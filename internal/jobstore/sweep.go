package jobstore

import (
	"time"

	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// inputHold is how long a file past its retention is kept at a time while an unfinished job reads it.
const inputHold = time.Hour

// dueEntries returns the keys of at most limit due entries of the expiry index.
func dueEntries(reader shard.Reader, now int64, limit int) ([][]byte, error) {
	start, _ := spaceRange(spaceExpiry)
	end := expiryKey(now+1, 0, "")
	var due [][]byte
	err := reader.Scan(start, end, func(key, _ []byte) bool {
		if len(due) == limit {
			return false
		}
		due = append(due, append([]byte(nil), key...))
		return true
	})
	return due, err
}

// applySweep works off due entries of the expiry index. An entry is only a reminder: the record it names decides.
func applySweep(transaction shard.Transaction, now int64, sweep *pb.Sweep) (*pb.Reply, error) {
	due, err := dueEntries(transaction, now, int(sweep.GetLimit()))
	if err != nil {
		return nil, err
	}
	writes := &writer{transaction: transaction}
	for _, key := range due {
		writes.delete(key)
		if err := writes.expire(now, key, sweep); err != nil {
			return nil, err
		}
	}
	return &pb.Reply{Swept: uint32(len(due))}, writes.err
}

func (w *writer) expire(now int64, key []byte, sweep *pb.Sweep) error {
	_, kind, id := parseExpiryKey(key)
	switch kind {
	case expiryDeadline:
		return w.passDeadline(now, id)
	case expiryJob:
		return w.expireJob(id)
	case expiryFile:
		return w.expireFile(now, id)
	case expiryLedger:
		return w.expireLedger(now, []byte(id), sweep.GetRetention())
	default:
		return nil
	}
}

// passDeadline stops a job that is past its deadline; the leader then ends its items.
func (w *writer) passDeadline(now int64, id string) error {
	job, err := loadJob(w.transaction, "", id)
	if err != nil || job == nil || job.GetDone() || job.GetStop() != pb.StopReason_STOP_NONE {
		return err
	}
	job.Stop = pb.StopReason_STOP_EXPIRED
	job.Stopped = now
	w.save(idKey(spaceJob, id), job)
	return w.err
}

func (w *writer) expireJob(id string) error {
	job, err := loadJob(w.transaction, "", id)
	if err != nil || job == nil || !job.GetDone() {
		return err
	}
	w.deleteJob(job)
	return w.err
}

// expireFile deletes a file past its retention, or an upload that was never sealed. A sealed file's older entry, from
// its upload, finds that the record expires later.
func (w *writer) expireFile(now int64, id string) error {
	file := &pb.FileRecord{}
	found, err := load(w.transaction, idKey(spaceFile, id), file)
	if err != nil || !found || file.GetExpires() > now {
		return err
	}
	if file.GetJobs() > 0 {
		w.set(expiryKey(now+int64(inputHold), expiryFile, id), nil)
		return w.err
	}
	w.deleteFile(file)
	return w.err
}

// expireLedger makes a started entry past its deadline unknown, and deletes an ended one past its retention.
func (w *writer) expireLedger(now int64, key []byte, retention int64) error {
	entry := &pb.LedgerRecord{}
	found, err := load(w.transaction, key, entry)
	if err != nil || !found {
		return err
	}
	if entry.GetState() == pb.LedgerState_LEDGER_STARTED {
		if entry.GetDeadline() <= now {
			w.endAttempt(key, entry, pb.LedgerState_LEDGER_UNKNOWN, now+retention)
		}
		return w.err
	}
	if entry.GetExpires() <= now {
		w.delete(key)
	}
	return w.err
}
