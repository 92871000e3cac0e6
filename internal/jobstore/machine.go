package jobstore

import (
	"fmt"

	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// machine is the deterministic state machine of a job shard. It has no memory of its own.
type machine struct{}

// NewMachine returns the state machine of a job shard.
func NewMachine() shard.Machine { return machine{} }

// Apply applies one command. A refusal is a reply with a fault and writes nothing.
func (machine) Apply(transaction shard.Transaction, _ uint64, command []byte) ([]byte, error) {
	var decoded pb.Command
	if err := decode(command, &decoded); err != nil {
		return nil, err
	}
	reply, err := apply(transaction, &decoded)
	if err != nil {
		return nil, err
	}
	return encode(reply)
}

func apply(transaction shard.Transaction, command *pb.Command) (*pb.Reply, error) {
	switch operation := command.GetOperation().(type) {
	case *pb.Command_Append:
		return applyAppend(transaction, command.GetNow(), operation.Append)
	case *pb.Command_Seal:
		return applySeal(transaction, operation.Seal)
	case *pb.Command_DeleteFile:
		return applyDeleteFile(transaction, operation.DeleteFile)
	case *pb.Command_Accept:
		return applyAccept(transaction, command.GetNow(), operation.Accept)
	case *pb.Command_Index:
		return applyIndex(transaction, command.GetNow(), operation.Index)
	case *pb.Command_Start:
		return applyStart(transaction, command.GetNow(), operation.Start)
	case *pb.Command_Release:
		return applyRelease(transaction, operation.Release)
	case *pb.Command_Complete:
		return applyComplete(transaction, command.GetNow(), operation.Complete)
	case *pb.Command_Cancel:
		return applyCancel(transaction, command.GetNow(), operation.Cancel)
	case *pb.Command_Sweep:
		return applySweep(transaction, command.GetNow(), operation.Sweep)
	case *pb.Command_Begin:
		return applyBegin(transaction, command.GetNow(), operation.Begin)
	case *pb.Command_Settle:
		return applySettle(transaction, command.GetNow(), operation.Settle)
	default:
		return nil, fmt.Errorf("operation %T: %w", operation, ErrCorrupt)
	}
}

// refuse returns the reply of a command that changes nothing.
func refuse(refusal *failure.Error) (*pb.Reply, error) {
	return &pb.Reply{Fault: FaultOf(refusal)}, nil
}
