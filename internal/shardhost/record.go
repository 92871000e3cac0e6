package shardhost

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// DefaultPrefix is where the replica sets stand in the key-value service: one key for each shard, its number in
// decimal.
const DefaultPrefix = "mallowlatch/shards/"

// ErrRecord means that a stored replica set cannot be read.
const ErrRecord = failure.Kind("shard host: stored replica set is invalid")

func recordKey(prefix string, id ident.Shard) string {
	return prefix + strconv.FormatUint(uint64(id), 10)
}

func shardOfRecord(prefix, key string) (ident.Shard, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(key, prefix), 10, 32)
	if err != nil {
		return 0, fmt.Errorf("key %q: %w: %w", key, ErrRecord, err)
	}
	return ident.Shard(number), nil
}

func encodeRecord(configuration shard.Configuration) ([]byte, error) {
	encoded, err := json.Marshal(configuration)
	if err != nil {
		return nil, fmt.Errorf("encoding a replica set: %w", err)
	}
	return encoded, nil
}

func decodeRecord(value []byte) (shard.Configuration, error) {
	var configuration shard.Configuration
	if err := json.Unmarshal(value, &configuration); err != nil {
		return shard.Configuration{}, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if configuration.Epoch == 0 || len(configuration.Members) == 0 || len(configuration.Seasoned) == 0 {
		return shard.Configuration{}, fmt.Errorf("epoch %d without members: %w", configuration.Epoch, ErrRecord)
	}
	return configuration, nil
}
