package jobstore

import (
	"encoding/binary"
)

// The key spaces of a shard's state. Strings within a key are prefixed by their length, so that no tenant's name can
// reach into another's keys; numbers are big endian, so that keys sort by them.
const (
	spaceFile        = 'F' // file id -> FileRecord
	spaceTenantFile  = 'f' // tenant, inverted file id -> file id
	spaceChunk       = 'C' // file id, sequence -> bytes of the chunk
	spaceChunkRecord = 'D' // file id, sequence -> ChunkRecord
	spaceJob         = 'J' // job id -> JobRecord
	spaceTenantJob   = 'j' // tenant, inverted job id -> job id
	spaceActive      = 'A' // job id -> empty, while the job is not done
	spaceKey         = 'K' // tenant, submission key -> KeyRecord
	spaceIndex       = 'I' // job id, chunk -> IndexRecord
	spaceDone        = 'B' // job id, block -> bitmap of the items with a result
	spaceStart       = 'S' // job id, item -> StartRecord
	spaceOutput      = 'O' // job id, item -> line of the output file
	spaceError       = 'X' // job id, item -> line of the error file
	spaceLedger      = 'L' // tenant, idempotency key -> LedgerRecord
	spaceBegun       = 'G' // ledger key -> empty, while the entry is started
	spaceExpiry      = 'E' // time, kind, id -> empty
)

// The kinds of entry in the expiry index.
const (
	expiryDeadline = 'd' // a job's deadline
	expiryJob      = 'j' // the end of a job's retention
	expiryFile     = 'f' // the end of a file's retention, or of an unsealed upload
	expiryLedger   = 'l' // a started ledger entry's deadline, or the end of its retention
)

func appendString(key []byte, text string) []byte {
	key = binary.AppendUvarint(key, uint64(len(text)))
	return append(key, text...)
}

func idKey(space byte, id string) []byte {
	return append([]byte{space}, id...)
}

func pairKey(space byte, owner, id string) []byte {
	key := appendString([]byte{space}, owner)
	return append(key, id...)
}

func numberKey(space byte, owner string, number uint32) []byte {
	key := appendString([]byte{space}, owner)
	return binary.BigEndian.AppendUint32(key, number)
}

// ownerRange returns the bounds of all keys of one owner in a space.
func ownerRange(space byte, owner string) (start, end []byte) {
	start = appendString([]byte{space}, owner)
	return start, successor(start)
}

// spaceRange returns the bounds of a whole space.
func spaceRange(space byte) (start, end []byte) {
	return []byte{space}, []byte{space + 1}
}

// successor returns the least key greater than every key with the prefix.
func successor(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for position := len(end) - 1; position >= 0; position-- {
		if end[position] < 0xff {
			end[position]++
			return end[:position+1]
		}
	}
	return nil
}

// numberOf returns the number at the end of a key made by numberKey.
func numberOf(key []byte) uint32 {
	return binary.BigEndian.Uint32(key[len(key)-4:])
}

// newestFirst inverts an id so that a forward scan lists the newest first. Ids of one kind have one length.
func newestFirst(id string) string {
	inverted := []byte(id)
	for position := range inverted {
		inverted[position] = ^inverted[position]
	}
	return string(inverted)
}

func expiryKey(due int64, kind byte, id string) []byte {
	key := binary.BigEndian.AppendUint64([]byte{spaceExpiry}, uint64(due))
	key = append(key, kind)
	return append(key, id...)
}

const expiryIDOffset = 1 + 8 + 1

// parseExpiryKey splits a key made by expiryKey.
func parseExpiryKey(key []byte) (due int64, kind byte, id string) {
	due = int64(binary.BigEndian.Uint64(key[1:9]))
	return due, key[9], string(key[expiryIDOffset:])
}
