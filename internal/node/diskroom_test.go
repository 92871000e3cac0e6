package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/jobstore"
	"mallowlatch.example/mallowlatch/internal/settings"
	"mallowlatch.example/mallowlatch/internal/shardlog"
)

func TestDiskRoomHasTheSmallerOfLimitAndFileSystem(t *testing.T) {
	folder := t.TempDir()
	store, err := shardlog.Open(folder, shardlog.Options{})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, store.Close()) }()
	for _, one := range []struct {
		limit, reserve settings.Size
		room           jobstore.Room
	}{
		{limit: 0, reserve: 1, room: jobstore.RoomEnough},
		{limit: 1, reserve: 1, room: jobstore.RoomNone},
		{limit: 1 << 30, reserve: 1 << 20, room: jobstore.RoomEnough},
		{limit: 1 << 30, reserve: 1 << 30, room: jobstore.RoomLow},
		{limit: 0, reserve: 1 << 60, room: jobstore.RoomNone},
	} {
		chosen := settings.Settings{DataDir: settings.Path(folder), Jobs: settings.Jobs{DiskBytes: one.limit, DiskReserve: one.reserve}}
		assert.Equal(t, newDiskRoom(chosen, store).now(), one.room, "limit %d reserve %d", one.limit, one.reserve)
	}
}
