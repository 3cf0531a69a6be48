package link

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// sentKey is the context key of a call's sent flag.
type sentKey struct{}

// withSentFlag adds a flag to the context that is set once the headers of the call
// are handed to a connection. From then on the peer may run the call.
func withSentFlag(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// sentRecorder sets the sent flag of calls. It implements stats.Handler.
type sentRecorder struct{}

// TagRPC implements stats.Handler.
func (sentRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentRecorder) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, isHeader := event.(*stats.OutHeader); !isHeader {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentRecorder) HandleConn(context.Context, stats.ConnStats) {}

// unaryClient converts the status of a call to a fault.
func unaryClient(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	ctx, sent := withSentFlag(ctx)
	err := invoke(ctx, method, request, reply, conn, opts...)
	return fromStatus(ctx, err, sent.Load())
}

// streamClient converts the statuses of a stream to faults.
func streamClient(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	ctx, sent := withSentFlag(ctx)
	stream, err := streamer(ctx, desc, conn, method, opts...)
	if err != nil {
		return nil, fromStatus(ctx, err, sent.Load())
	}
	return &faultStream{stream, sent}, nil
}

// faultStream is a client stream whose errors are faults.
type faultStream struct {
	grpc.ClientStream
	sent *atomic.Bool
}

// SendMsg implements grpc.ClientStream.
func (s *faultStream) SendMsg(message any) error {
	return fromStatus(s.Context(), s.ClientStream.SendMsg(message), s.sent.Load())
}

// RecvMsg implements grpc.ClientStream.
func (s *faultStream) RecvMsg(message any) error {
	return fromStatus(s.Context(), s.ClientStream.RecvMsg(message), s.sent.Load())
}

// unaryServer converts the fault of a handler to a status.
func unaryServer(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	reply, err := handler(ctx, request)
	return reply, ToStatus(err)
}

// streamServer converts the fault of a stream handler to a status.
func streamServer(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	return ToStatus(handler(server, stream))
}
