package event

import "github.com/rs/zerolog"

// Events of the shard replicas and their host: 3100 to 3199.
var (
	ShardLeading        = register(3100, "shard_leading", zerolog.InfoLevel, "This replica is the leader of the shard and serves it.", "none")
	ShardFollowing      = register(3101, "shard_following", zerolog.InfoLevel, "This replica is no longer the leader of the shard.", "none")
	ShardReplicaFailed  = register(3102, "shard_replica_failed", zerolog.ErrorLevel, "A replica stopped on an error; the others continue without it after the suspicion timeout.", "read the error field; check the disk; if the data is damaged, wipe the data folder and restart the node (docs/operators/lost-disk.md)")
	ShardSetChanged     = register(3103, "shard_set_changed", zerolog.InfoLevel, "This replica stored a new replica set in the key-value service.", "none; many in a row mean that a member repeatedly leaves and returns")
	ShardSetLearned     = register(3104, "shard_set_learned", zerolog.InfoLevel, "The stored replica set of the shard changed.", "none")
	ShardReplicaRemoved = register(3105, "shard_replica_removed", zerolog.InfoLevel, "A replica that left its set removed its data, after the key-value service confirmed that the set is complete without it.", "none")

	ShardHostStarted      = register(3150, "shard_host_started", zerolog.InfoLevel, "The node's shard replicas run; the incarnation identifies its disk.", "none")
	ShardStoreUnavailable = register(3151, "shard_store_unavailable", zerolog.WarnLevel, "The key-value service could not be reached for a replica set. Shards whose members are all alive continue.", "check the key-value service if it persists")
	ShardSnapshotSent     = register(3152, "shard_snapshot_sent", zerolog.InfoLevel, "The state of a shard was sent to a replica that lacked it.", "none")
	ShardSnapshotFailed   = register(3153, "shard_snapshot_failed", zerolog.WarnLevel, "Sending the state of a shard failed; it is retried.", "check the receiving node's disk and the network if it repeats")
	ShardBootstrapped     = register(3154, "shard_bootstrapped", zerolog.InfoLevel, "This node stored the first replica set of a new shard.", "none")
	ShardRecordInvalid    = register(3155, "shard_record_invalid", zerolog.ErrorLevel, "The key-value service holds a replica set that cannot be read.", "restore the key from its history; no node changes it")
	ShardStopAway         = register(3156, "shard_stop_away", zerolog.WarnLevel, "A planned stop ends although replica sets still name this node. Shards of which it has the only copy (sole) are unavailable until its disk returns; the others continue once they have removed it from their sets.", "start the node again with its disk, or another node with a disk before you stop this one (docs/operators/draining.md)")
	ShardMapPollFailed    = register(3160, "shard_map_poll_failed", zerolog.DebugLevel, "A node with a disk did not report where the job shards are; another one is asked. The last known locations stay in use.", "none; if it persists, check the peers of the node")
)
