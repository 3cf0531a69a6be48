package server

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// Transport sends messages to other replicas.
type Transport interface {
	// Send sends messages to any number of replicas. It must not block and may drop
	// messages, but should keep the order of the messages to each replica.
	Send(messages []*pb.Message)
	// SetPeers replaces the peers, a map of ids to host:port.
	SetPeers(peers map[uint64]string)
	// Close stops sending.
	Close() error
}

const (
	// peerQueueSize is the number of messages queued for a slow peer.
	peerQueueSize = 4096
	// batchBytes limits the messages in one request, below the 4 MiB that a gRPC
	// server accepts by default.
	batchBytes = 2 << 20
	// chunkBytes is the size of one chunk of a snapshot.
	chunkBytes = 1 << 20
	// reconnectPause is the delay before a broken stream is reopened.
	reconnectPause = 100 * time.Millisecond
	// deadPeerTimeout is how long sent data may remain unacknowledged by TCP before
	// the connection is considered dead.
	deadPeerTimeout = 3 * time.Second
)

// grpcTransport sends messages over one gRPC stream per peer.
type grpcTransport struct {
	log     *slog.Logger
	options []grpc.DialOption

	mu      sync.Mutex
	peers   map[uint64]*peer
	senders sync.WaitGroup
}

func newGRPCTransport(log *slog.Logger, options []grpc.DialOption) *grpcTransport {
	if len(options) == 0 {
		options = []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	}
	reconnect := backoff.Config{BaseDelay: reconnectPause, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second}
	defaults := []grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: deadPeerTimeout}),
		grpc.WithContextDialer(dial),
	}
	return &grpcTransport{log: log, options: append(defaults, options...), peers: map[uint64]*peer{}}
}

// dial connects with a limit on the time that data may remain unacknowledged, so
// that a connection broken by a network partition is replaced soon after the
// partition heals.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			limit := int(deadPeerTimeout.Milliseconds())
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, limit)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// Send implements Transport.
func (t *grpcTransport) Send(messages []*pb.Message) {
	if len(messages) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, message := range messages {
		if p := t.peers[message.GetTo()]; p != nil {
			p.enqueue(message)
		}
	}
}

// SetPeers implements Transport.
func (t *grpcTransport) SetPeers(addresses map[uint64]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		if addresses[id] != p.address {
			p.cancel()
			delete(t.peers, id)
		}
	}
	for id, address := range addresses {
		if t.peers[id] != nil || address == "" {
			continue
		}
		p := newPeer(t, address)
		t.peers[id] = p
		t.senders.Go(p.run)
	}
}

// Close implements Transport.
func (t *grpcTransport) Close() error {
	t.mu.Lock()
	for _, p := range maps.Clone(t.peers) {
		p.cancel()
	}
	t.peers = map[uint64]*peer{}
	t.mu.Unlock()
	t.senders.Wait()
	return nil
}

// peer sends messages to one replica.
type peer struct {
	transport *grpcTransport
	address   string
	queue     chan *pb.Message
	ctx       context.Context
	cancel    context.CancelFunc
}

func newPeer(t *grpcTransport, address string) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	return &peer{transport: t, address: address, queue: make(chan *pb.Message, peerQueueSize), ctx: ctx, cancel: cancel}
}

// enqueue queues a message, or drops it if the queue is full.
func (p *peer) enqueue(message *pb.Message) {
	select {
	case p.queue <- message:
	default:
	}
}

func (p *peer) run() {
	connection, err := grpc.NewClient("passthrough:///"+p.address, p.transport.options...)
	if err != nil {
		p.transport.log.Error("invalid peer address", "address", p.address, "error", err)
		return
	}
	defer connection.Close()
	client := pb.NewReplicaClient(connection)
	for p.ctx.Err() == nil {
		if err := p.stream(client); err != nil && p.ctx.Err() == nil {
			p.transport.log.Debug("stream to peer failed", "address", p.address, "error", err)
		}
		p.waitAndDiscard()
	}
}

// stream opens a stream and sends queued messages until it fails.
func (p *peer) stream(client pb.ReplicaClient) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	stream, err := client.Send(ctx)
	if err != nil {
		return err
	}
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case message := <-p.queue:
			if err := p.sendBatch(stream, message); err != nil {
				return err
			}
		}
	}
}

// sendBatch sends a message together with those queued after it.
func (p *peer) sendBatch(stream pb.Replica_SendClient, message *pb.Message) error {
	request := &pb.SendRequest{}
	size := 0
	for {
		if message.GetSnapshot() != nil {
			var err error
			if message, err = sendSnapshotData(stream, message); err != nil {
				return err
			}
		}
		request.Messages = append(request.Messages, message)
		size += proto.Size(message)
		if size >= batchBytes/2 {
			return stream.Send(request)
		}
		select {
		case message = <-p.queue:
		default:
			return stream.Send(request)
		}
	}
}

// sendSnapshotData sends the data of a snapshot in chunks and returns the message
// without the data.
func sendSnapshotData(stream pb.Replica_SendClient, message *pb.Message) (*pb.Message, error) {
	snapshot := message.GetSnapshot()
	data := snapshot.GetData()
	for offset := 0; offset < len(data); offset += chunkBytes {
		end := min(offset+chunkBytes, len(data))
		chunk := &pb.SnapshotChunk{Offset: uint64(offset), Total: uint64(len(data)), Data: data[offset:end]}
		if err := stream.Send(&pb.SendRequest{Chunk: chunk}); err != nil {
			return nil, err
		}
	}
	return withSnapshotData(message, nil), nil
}

// withSnapshotData returns a copy of a snapshot message with other data.
func withSnapshotData(message *pb.Message, data []byte) *pb.Message {
	copied := &pb.Message{}
	message.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		copied.ProtoReflect().Set(field, value)
		return true
	})
	snapshot := message.GetSnapshot()
	copied.Snapshot = &pb.Snapshot{
		Index: snapshot.GetIndex(), Term: snapshot.GetTerm(), Membership: snapshot.GetMembership(),
		MembershipIndex: snapshot.GetMembershipIndex(), Data: data,
	}
	return copied
}

// waitAndDiscard waits before the next connection attempt, then discards the
// messages that have become stale.
func (p *peer) waitAndDiscard() {
	select {
	case <-p.ctx.Done():
	case <-time.After(reconnectPause):
	}
	for len(p.queue) > 0 {
		<-p.queue
	}
}
