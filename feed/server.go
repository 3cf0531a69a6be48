package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Source provides the configuration that a Server publishes: the state of a
// control replica or the copy of a relay. Its methods must be safe for concurrent
// use, and the values that they return must not be modified by either side.
type Source interface {
	// Revision returns the latest revision held.
	Revision() uint64
	// Configuration returns the complete latest configuration; nil if there is
	// none yet.
	Configuration() *fleetv1.Configuration
	// DeltaSince returns the changes after the revision up to the latest one; nil
	// if the source no longer has them.
	DeltaSince(revision uint64) *fleetv1.Delta
	// Changed returns a channel that is closed when there is a new revision.
	Changed() <-chan struct{}
	// Freshness returns a revision and a local monotonic time such that every
	// revision accepted before that time is at most the one returned. The source
	// holds that revision or a later one.
	Freshness() (revision uint64, at time.Time, ok bool)
}

// ReplicaSource is implemented by a Source that knows the control replicas.
type ReplicaSource interface {
	// Replicas returns the addresses of the control replicas, host:port, in a
	// stable order.
	Replicas() []string
}

// Server publishes a source to any number of watchers. A watcher has no queue: the
// changes that it has not received yet are merged into one delta, or replaced by
// one snapshot, once its stream can accept more. A slow watcher therefore costs a
// constant amount of memory and does not delay others.
type Server struct {
	controlv1.UnimplementedFeedServer
	source  Source
	daemons *Daemons
	encoder encoder

	stopping chan struct{}
	stopOnce sync.Once
}

// NewServer returns a server that publishes the source.
func NewServer(source Source) *Server {
	return &Server{source: source, daemons: NewDaemons(), stopping: make(chan struct{})}
}

// Register adds the feed service to a gRPC server.
func (s *Server) Register(registrar grpc.ServiceRegistrar) {
	controlv1.RegisterFeedServer(registrar, s)
}

// Daemons returns the daemons that watch this server, directly or through relays.
func (s *Server) Daemons() *Daemons { return s.daemons }

// Stop ends all watches, so that the daemons switch to another source. It is part
// of a graceful stop.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stopping) }) }

type watchStream = grpc.BidiStreamingServer[controlv1.WatchRequest, controlv1.WatchResponse]

// Watch implements controlv1.FeedServer.
func (s *Server) Watch(stream watchStream) error {
	first, err := stream.Recv()
	if err != nil {
		return trace.Wrap(err)
	}
	hello := first.GetHello()
	if hello == nil {
		return fault.New(fault.Invalid, "the first message of a watch must be hello", "update the client")
	}
	w := &watcher{server: s, stream: stream, hello: hello, sentRevision: hello.GetRevision(), pendingPing: make(chan uint64, 1)}
	s.daemons.updateFromHello(time.Now(), hello, hello.GetRevision())
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		w.receivePings()
	}()
	return w.send(ctx)
}

// watcher serves the stream of one daemon.
type watcher struct {
	server *Server
	stream watchStream
	hello  *controlv1.Hello
	// sentRevision is the revision that was last sent to the daemon.
	sentRevision uint64
	// sentReplicas are the control replicas that were last sent to the daemon.
	sentReplicas []string
	// pendingPing holds the latest unanswered ping. A newer ping replaces it,
	// since the pong to the newer one is evidence of later freshness.
	pendingPing chan uint64
}

// unsentReplicas returns the control replicas if the daemon has not been sent them on
// this stream, and nil otherwise or if the source does not know them.
func (w *watcher) unsentReplicas() []string {
	provider, ok := w.server.source.(ReplicaSource)
	if !ok {
		return nil
	}
	replicas := provider.Replicas()
	if slices.Equal(replicas, w.sentReplicas) {
		return nil
	}
	w.sentReplicas = replicas
	return replicas
}

// receivePings processes pings until the stream ends.
func (w *watcher) receivePings() {
	for {
		request, err := w.stream.Recv()
		if err != nil {
			return
		}
		ping := request.GetPing()
		if ping == nil {
			continue
		}
		now := time.Now()
		w.server.daemons.updateFromHello(now, w.hello, ping.GetRevision())
		w.server.daemons.updateDownstream(now, ping.GetBelow())
		select {
		case <-w.pendingPing:
		default:
		}
		w.pendingPing <- ping.GetSeq()
	}
}

// send sends changes and pongs. It is the only sender on the stream.
func (w *watcher) send(ctx context.Context) error {
	source := w.server.source
	for {
		changed := source.Changed()
		if err := w.sendChanges(); err != nil {
			return trace.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.server.stopping:
			return fault.New(fault.Leaving, "the configuration feed is stopping", "watch the next source")
		case <-changed:
		case seq := <-w.pendingPing:
			if err := w.sendPong(seq); err != nil {
				return trace.Wrap(err)
			}
		}
	}
}

// sendChanges updates the daemon to the latest revision.
func (w *watcher) sendChanges() error {
	if w.server.source.Revision() <= w.sentRevision {
		return nil
	}
	update, err := w.server.encoder.update(w.stream, w.server.source, w.sentRevision)
	if err != nil || update == nil {
		return err
	}
	if err := w.stream.SendMsg(update.prepared); err != nil {
		return err
	}
	w.sentRevision = update.revision
	return nil
}

// sendPong answers a ping. Changes are sent first, so that the daemon holds a
// revision by the time it learns that a quorum confirmed it.
func (w *watcher) sendPong(seq uint64) error {
	revision, at, known := w.server.source.Freshness()
	if err := w.sendChanges(); err != nil {
		return err
	}
	pong := &controlv1.Pong{Seq: seq, Revision: revision, Known: known, Replicas: w.unsentReplicas()}
	if known {
		pong.AgeMs = ageMillis(time.Since(at))
	}
	return w.stream.Send(&controlv1.WatchResponse{Kind: &controlv1.WatchResponse_Pong{Pong: pong}})
}

// ageMillis converts an age to milliseconds. It rounds up, so that the age is
// never understated.
func ageMillis(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
