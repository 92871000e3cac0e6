package node

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"mallowlatch.example/mallowlatch/internal/jobstore"
	"mallowlatch.example/mallowlatch/internal/settings"
	"mallowlatch.example/mallowlatch/internal/shardlog"
)

// roomAge is how old a measurement of the disk may be.
const roomAge = time.Second

// diskRoom measures the room of this node's job storage, at most once every roomAge. It is safe for concurrent use.
type diskRoom struct {
	folder string
	// limit is the most bytes the store may take, or zero; reserve is kept free for accepted work.
	limit, reserve int64
	store          *shardlog.Store

	mutex    sync.Mutex
	measured time.Time
	room     jobstore.Room
}

func newDiskRoom(chosen settings.Settings, store *shardlog.Store) *diskRoom {
	return &diskRoom{
		folder:  string(chosen.DataDir),
		limit:   int64(chosen.Jobs.DiskBytes),
		reserve: int64(chosen.Jobs.DiskReserve),
		store:   store,
	}
}

// now returns the room. A disk that cannot be measured is judged by the store's own limit alone.
func (d *diskRoom) now() jobstore.Room {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if time.Since(d.measured) < roomAge {
		return d.room
	}
	d.measured = time.Now()
	d.room = jobstore.RoomEnough
	if d.limit > 0 {
		d.room = jobstore.RoomOf(d.limit-int64(d.store.Usage().DiskBytes), d.reserve)
	}
	var found unix.Statfs_t
	if err := unix.Statfs(d.folder, &found); err == nil {
		d.room = max(d.room, jobstore.RoomOf(int64(found.Bavail)*int64(found.Bsize), d.reserve))
	}
	return d.room
}
