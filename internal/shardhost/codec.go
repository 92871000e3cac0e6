package shardhost

import (
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	pb "mallowlatch.example/mallowlatch/internal/shardhost/shardhostpb"
)

// ErrProtocol means that another node sent something that makes no sense.
const ErrProtocol = failure.Kind("shard host: protocol error")

func encodeMember(member shard.Member) *pb.Member {
	return &pb.Member{Node: string(member.Node), Incarnation: member.Incarnation}
}

func decodeMember(member *pb.Member) shard.Member {
	return shard.Member{Node: ident.Node(member.GetNode()), Incarnation: member.GetIncarnation()}
}

func encodeMembers(members []shard.Member) []*pb.Member {
	encoded := make([]*pb.Member, len(members))
	for position, member := range members {
		encoded[position] = encodeMember(member)
	}
	return encoded
}

func decodeMembers(members []*pb.Member) []shard.Member {
	decoded := make([]shard.Member, len(members))
	for position, member := range members {
		decoded[position] = decodeMember(member)
	}
	return decoded
}

func encodeTerm(term shard.Term) *pb.Term { return &pb.Term{Epoch: term.Epoch, Round: term.Round} }

func decodeTerm(term *pb.Term) shard.Term {
	return shard.Term{Epoch: term.GetEpoch(), Round: term.GetRound()}
}

func encodeConfiguration(configuration *shard.Configuration) *pb.Configuration {
	if configuration == nil {
		return nil
	}
	return &pb.Configuration{
		Epoch: configuration.Epoch, Members: encodeMembers(configuration.Members),
		Seasoned: encodeMembers(configuration.Seasoned),
	}
}

func decodeConfiguration(configuration *pb.Configuration) *shard.Configuration {
	if configuration == nil {
		return nil
	}
	return &shard.Configuration{
		Epoch: configuration.GetEpoch(), Members: decodeMembers(configuration.GetMembers()),
		Seasoned: decodeMembers(configuration.GetSeasoned()),
	}
}

func encodeMessage(message shard.Message) *pb.Envelope {
	envelope := &pb.Envelope{
		Shard: uint32(message.Shard), Term: encodeTerm(message.Term),
		Configuration: encodeConfiguration(message.Configuration),
	}
	switch body := message.Body.(type) {
	case shard.VoteRequest:
		envelope.Body = &pb.Envelope_VoteRequest{VoteRequest: &pb.VoteRequest{
			Trial: body.Trial, Transfer: body.Transfer, LastIndex: body.LastIndex, LastTerm: encodeTerm(body.LastTerm),
		}}
	case shard.VoteReply:
		envelope.Body = &pb.Envelope_VoteReply{VoteReply: &pb.VoteReply{
			Trial: body.Trial, Granted: body.Granted, Requested: encodeTerm(body.Requested),
		}}
	case shard.AppendRequest:
		envelope.Body = &pb.Envelope_AppendRequest{AppendRequest: encodeAppend(message.Term, body)}
	case shard.AppendReply:
		envelope.Body = &pb.Envelope_AppendReply{AppendReply: &pb.AppendReply{
			Requested: encodeTerm(body.Requested), Rejected: body.Rejected, Match: body.Match,
			Activated: body.Activated, SentNanoseconds: int64(body.Sent),
		}}
	case shard.TransferRequest:
		envelope.Body = &pb.Envelope_TransferRequest{TransferRequest: &pb.TransferRequest{}}
	}
	return envelope
}

func encodeAppend(leaderTerm shard.Term, request shard.AppendRequest) *pb.AppendRequest {
	encoded := &pb.AppendRequest{
		PreviousIndex: request.PreviousIndex, PreviousTerm: encodeTerm(request.PreviousTerm),
		Commit: request.Commit, SentNanoseconds: int64(request.Sent),
	}
	for _, entry := range request.Entries {
		sent := &pb.Entry{Command: entry.Command}
		if entry.Term != leaderTerm {
			sent.Term = encodeTerm(entry.Term)
		}
		encoded.Entries = append(encoded.Entries, sent)
	}
	return encoded
}

func decodeMessage(from, to shard.Member, envelope *pb.Envelope) (shard.Message, error) {
	message := shard.Message{
		Shard: ident.Shard(envelope.GetShard()), From: from, To: to, Term: decodeTerm(envelope.GetTerm()),
		Configuration: decodeConfiguration(envelope.GetConfiguration()),
	}
	switch body := envelope.GetBody().(type) {
	case *pb.Envelope_VoteRequest:
		message.Body = shard.VoteRequest{
			Trial: body.VoteRequest.GetTrial(), Transfer: body.VoteRequest.GetTransfer(),
			LastIndex: body.VoteRequest.GetLastIndex(), LastTerm: decodeTerm(body.VoteRequest.GetLastTerm()),
		}
	case *pb.Envelope_VoteReply:
		message.Body = shard.VoteReply{
			Trial: body.VoteReply.GetTrial(), Granted: body.VoteReply.GetGranted(),
			Requested: decodeTerm(body.VoteReply.GetRequested()),
		}
	case *pb.Envelope_AppendRequest:
		message.Body = decodeAppend(message.Term, body.AppendRequest)
	case *pb.Envelope_AppendReply:
		message.Body = shard.AppendReply{
			Requested: decodeTerm(body.AppendReply.GetRequested()), Rejected: body.AppendReply.GetRejected(),
			Match: body.AppendReply.GetMatch(), Activated: body.AppendReply.GetActivated(),
			Sent: time.Duration(body.AppendReply.GetSentNanoseconds()),
		}
	case *pb.Envelope_TransferRequest:
		message.Body = shard.TransferRequest{}
	default:
		return shard.Message{}, fmt.Errorf("message of an unknown kind: %w", ErrProtocol)
	}
	return message, nil
}

func decodeAppend(leaderTerm shard.Term, request *pb.AppendRequest) shard.AppendRequest {
	decoded := shard.AppendRequest{
		PreviousIndex: request.GetPreviousIndex(), PreviousTerm: decodeTerm(request.GetPreviousTerm()),
		Commit: request.GetCommit(), Sent: time.Duration(request.GetSentNanoseconds()),
	}
	index := decoded.PreviousIndex
	for _, sent := range request.GetEntries() {
		index++
		entry := shard.Entry{Index: index, Term: leaderTerm, Command: sent.GetCommand()}
		if sent.GetTerm() != nil {
			entry.Term = decodeTerm(sent.GetTerm())
		}
		decoded.Entries = append(decoded.Entries, entry)
	}
	return decoded
}
