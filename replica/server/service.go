package server

import (
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// maxSnapshotBytes limits the memory for a snapshot that is being received.
const maxSnapshotBytes = 2 << 30

// Register adds the Replica service to a gRPC server.
func (s *Server) Register(g *grpc.Server) {
	pb.RegisterReplicaServer(g, &service{server: s})
}

// service receives the messages of other replicas.
type service struct {
	pb.UnimplementedReplicaServer
	server *Server
}

// Send implements the Replica service.
func (v *service) Send(stream pb.Replica_SendServer) error {
	assembly := snapshotAssembly{}
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.SendResponse{})
		}
		if err != nil {
			return err
		}
		select {
		case <-v.server.done:
			return status.Error(codes.Unavailable, "the replica has stopped")
		default:
		}
		if err := v.receive(&assembly, request); err != nil {
			return err
		}
	}
}

func (v *service) receive(a *snapshotAssembly, request *pb.SendRequest) error {
	if chunk := request.GetChunk(); chunk != nil {
		if err := a.add(chunk); err != nil {
			return err
		}
	}
	for _, message := range request.GetMessages() {
		if message.GetSnapshot() != nil {
			data, err := a.take()
			if err != nil {
				return err
			}
			message.Snapshot.Data = data
		}
		v.server.Receive(message)
	}
	return nil
}

// snapshotAssembly joins the chunks of a snapshot.
type snapshotAssembly struct {
	data  []byte
	total uint64
}

func (a *snapshotAssembly) add(chunk *pb.SnapshotChunk) error {
	if chunk.GetTotal() > maxSnapshotBytes {
		return status.Errorf(codes.ResourceExhausted, "a snapshot of %d bytes is over the limit of %d", chunk.GetTotal(), maxSnapshotBytes)
	}
	if chunk.GetOffset() == 0 {
		a.data, a.total = nil, chunk.GetTotal()
	}
	if chunk.GetOffset() != uint64(len(a.data)) || chunk.GetTotal() != a.total {
		return status.Errorf(codes.InvalidArgument, "snapshot chunk at offset %d does not follow the %d bytes received", chunk.GetOffset(), len(a.data))
	}
	a.data = append(a.data, chunk.GetData()...)
	return nil
}

// take returns the collected data, or an error if it is incomplete.
func (a *snapshotAssembly) take() ([]byte, error) {
	data, total := a.data, a.total
	a.data, a.total = nil, 0
	if uint64(len(data)) != total {
		return nil, status.Errorf(codes.InvalidArgument, "snapshot truncated: got %d of %d bytes", len(data), total)
	}
	return data, nil
}
