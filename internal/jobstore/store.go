package jobstore

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"mallowlatch.example/mallowlatch/internal/shard"
)

// deterministic makes replicas write the same bytes for the same record.
var deterministic = proto.MarshalOptions{Deterministic: true}

// load reads the record of a key; false means that there is none.
func load(reader shard.Reader, key []byte, record proto.Message) (bool, error) {
	value, err := reader.Get(key)
	if err != nil || value == nil {
		return false, err
	}
	return true, decode(value, record)
}

func decode(value []byte, record proto.Message) error {
	if err := proto.Unmarshal(value, record); err != nil {
		return fmt.Errorf("decoding %T: %w: %w", record, ErrCorrupt, err)
	}
	return nil
}

func encode(record proto.Message) ([]byte, error) {
	value, err := deterministic.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encoding %T: %w: %w", record, ErrCorrupt, err)
	}
	return value, nil
}

func save(transaction shard.Transaction, key []byte, record proto.Message) error {
	value, err := encode(record)
	if err != nil {
		return err
	}
	return transaction.Set(key, value)
}

// writer applies a series of writes and keeps the first error, so that a command's writes read as a list.
type writer struct {
	transaction shard.Transaction
	err         error
}

func (w *writer) save(key []byte, record proto.Message) {
	if w.err == nil {
		w.err = save(w.transaction, key, record)
	}
}

func (w *writer) set(key, value []byte) {
	if w.err == nil {
		w.err = w.transaction.Set(key, value)
	}
}

func (w *writer) delete(key []byte) {
	if w.err == nil {
		w.err = w.transaction.Delete(key)
	}
}

func (w *writer) deleteOwner(space byte, owner string) {
	if w.err != nil {
		return
	}
	start, end := ownerRange(space, owner)
	w.err = w.transaction.DeleteRange(start, end)
}

// scanRecords visits the records of the keys in [start, end).
func scanRecords[R any, M interface {
	*R
	proto.Message
}](reader shard.Reader, start, end []byte, visit func(key []byte, record M)) error {
	var failed error
	err := reader.Scan(start, end, func(key, value []byte) bool {
		record := M(new(R))
		if failed = decode(value, record); failed != nil {
			return false
		}
		visit(key, record)
		return true
	})
	if err != nil {
		return err
	}
	return failed
}
