package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// metadataCarrier adapts gRPC metadata to the propagator.
type metadataCarrier metadata.MD

var _ propagation.TextMapCarrier = metadataCarrier{}

// Get implements propagation.TextMapCarrier.
func (c metadataCarrier) Get(key string) string {
	values := metadata.MD(c).Get(key)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// Set implements propagation.TextMapCarrier.
func (c metadataCarrier) Set(key, value string) { metadata.MD(c).Set(key, value) }

// Keys implements propagation.TextMapCarrier.
func (c metadataCarrier) Keys() []string {
	keys := make([]string, 0, len(c))
	for key := range c {
		keys = append(keys, key)
	}
	return keys
}

// ExtractIncoming returns ctx with the trace context of the incoming gRPC metadata.
func ExtractIncoming(ctx context.Context) context.Context {
	incoming, ok := metadata.FromIncomingContext(ctx)
	if !ok {
		return ctx
	}
	return propagator.Extract(ctx, metadataCarrier(incoming))
}

// InjectOutgoing returns ctx with its trace context added to the outgoing gRPC
// metadata.
func InjectOutgoing(ctx context.Context) context.Context {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	for key, value := range carrier {
		ctx = metadata.AppendToOutgoingContext(ctx, key, value)
	}
	return ctx
}

// UnaryServerInterceptor passes the trace context of an incoming call to its handler.
func UnaryServerInterceptor(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	return handler(ExtractIncoming(ctx), request)
}

// StreamServerInterceptor passes the trace context of an incoming stream to its
// handler.
func StreamServerInterceptor(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	return handler(server, &tracedStream{stream, ExtractIncoming(stream.Context())})
}

// tracedStream is a server stream whose context carries the trace context of the
// caller.
type tracedStream struct {
	grpc.ServerStream
	ctx context.Context
}

// Context implements grpc.ServerStream.
func (s *tracedStream) Context() context.Context { return s.ctx }

// UnaryClientInterceptor sends the trace context of ctx with a call.
func UnaryClientInterceptor(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	return invoke(InjectOutgoing(ctx), method, request, reply, conn, opts...)
}

// StreamClientInterceptor sends the trace context of ctx with a stream.
func StreamClientInterceptor(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return streamer(InjectOutgoing(ctx), desc, conn, method, opts...)
}
