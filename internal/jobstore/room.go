package jobstore

import (
	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// Room says what the disk may still take.
type Room int

const (
	// RoomEnough takes everything.
	RoomEnough Room = iota
	// RoomLow takes no new uploads and jobs: what is left is for the results of accepted ones.
	RoomLow
	// RoomNone takes only what frees space or is needed to give it free: nothing is leased and no result is stored, but
	// files and jobs are read, cancelled, deleted and expired. Accepted work waits.
	RoomNone
)

// lastShare is the part of the reserve that not even results may use: the store needs it to delete and compact.
const lastShare = 4

// RoomOf returns the room of a disk with a number of free bytes, of which reserve are kept for accepted work.
func RoomOf(free, reserve int64) Room {
	switch {
	case free >= reserve:
		return RoomEnough
	case free >= reserve/lastShare:
		return RoomLow
	default:
		return RoomNone
	}
}

// room returns what the disk may take now.
func (s *Server) room() Room {
	if s.settings.Room == nil {
		return RoomEnough
	}
	return s.settings.Room()
}

// takes refuses a command that the disk has no room for, before anything of it is written. Uploads and submissions are
// checked on their own (admitUpload, admitJob).
func (s *Server) takes(command *pb.Command) error {
	switch command.GetOperation().(type) {
	case *pb.Command_Index, *pb.Command_Start, *pb.Command_Complete, *pb.Command_Begin:
		return s.require(RoomLow)
	default:
		return nil
	}
}

// require refuses unless the disk has at least as much room as the given level has.
func (s *Server) require(least Room) error {
	if s.room() <= least {
		return nil
	}
	return failure.New(failure.CodeStorageFull, "job storage is full").WithRetryAfter(s.settings.RetryAfter)
}
