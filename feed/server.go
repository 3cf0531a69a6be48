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

// Source is what a Server publishes: the state of a control replica or the copy
// that a relay keeps. Its methods may be called from any goroutine, and what
// they return must not be modified by either side.
type Source interface {
	// Revision is the latest revision held.
	Revision() uint64
	// Configuration returns the whole latest configuration; nil for none yet.
	Configuration() *fleetv1.Configuration
	// DeltaSince returns the changes after the revision up to the latest one; nil
	// when the source does not have them any more.
	DeltaSince(revision uint64) *fleetv1.Delta
	// Changed returns a channel that is closed at the next new revision.
	Changed() <-chan struct{}
	// Freshness returns a revision and a local monotonic time such that every
	// revision accepted before that time is at most the one returned. The source
	// holds that revision or a later one.
	Freshness() (revision uint64, at time.Time, ok bool)
}

// ReplicaSource is a Source that knows where the control replicas are.
type ReplicaSource interface {
	// Replicas returns their addresses, host:port, in a stable order.
	Replicas() []string
}

// Server publishes a source to any number of watchers. A watcher has no queue:
// what it has not been sent yet is joined into one delta, or one snapshot, at
// the moment at which it can take more. A slow one therefore costs a constant
// amount of memory and holds up nobody else.
type Server struct {
	controlv1.UnimplementedFeedServer
	source  Source
	daemons *Daemons
	encoder encoder

	stopping chan struct{}
	stopOnce sync.Once
}

// NewServer returns a server of the source.
func NewServer(source Source) *Server {
	return &Server{source: source, daemons: NewDaemons(), stopping: make(chan struct{})}
}

// Register adds the feed service to a gRPC server.
func (s *Server) Register(registrar grpc.ServiceRegistrar) {
	controlv1.RegisterFeedServer(registrar, s)
}

// Daemons returns the daemons that watch here or below.
func (s *Server) Daemons() *Daemons { return s.daemons }

// Stop ends all watches, so that the daemons move to another source. It is part
// of a planned stop.
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
		return fault.New(fault.Invalid, "a watch starts with hello", "update the client")
	}
	w := &watcher{server: s, stream: stream, hello: hello, sent: hello.GetRevision(), pings: make(chan uint64, 1)}
	s.daemons.hear(time.Now(), hello, hello.GetRevision())
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		w.receivePings()
	}()
	return w.send(ctx)
}

// watcher is one daemon's stream.
type watcher struct {
	server *Server
	stream watchStream
	hello  *controlv1.Hello
	// sent is the revision that the daemon has been brought to.
	sent uint64
	// replicas are the control replicas that were sent to the daemon.
	replicas []string
	// pings holds the latest ping that waits for its answer. A newer ping
	// replaces it: an answer to the newer one says more.
	pings chan uint64
}

// newReplicas returns the control replicas if they have not been sent to the daemon on
// this stream; a source that does not know them has none.
func (w *watcher) newReplicas() []string {
	known, ok := w.server.source.(ReplicaSource)
	if !ok {
		return nil
	}
	replicas := known.Replicas()
	if slices.Equal(replicas, w.replicas) {
		return nil
	}
	w.replicas = replicas
	return replicas
}

// receivePings takes pings in until the stream ends.
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
		w.server.daemons.hear(now, w.hello, ping.GetRevision())
		w.server.daemons.hearBelow(now, ping.GetBelow())
		select {
		case <-w.pings:
		default:
		}
		w.pings <- ping.GetSeq()
	}
}

// send sends changes and answers pings. It is the only sender on the stream.
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
			return fault.New(fault.Leaving, "this feed is stopping", "watch the next source")
		case <-changed:
		case seq := <-w.pings:
			if err := w.answer(seq); err != nil {
				return trace.Wrap(err)
			}
		}
	}
}

// sendChanges brings the daemon to the latest revision.
func (w *watcher) sendChanges() error {
	if w.server.source.Revision() <= w.sent {
		return nil
	}
	update, err := w.server.encoder.update(w.stream, w.server.source, w.sent)
	if err != nil || update == nil {
		return err
	}
	if err := w.stream.SendMsg(update.prepared); err != nil {
		return err
	}
	w.sent = update.revision
	return nil
}

// answer sends a pong. The changes go first, so that a daemon holds a revision
// when it learns that a quorum confirmed it.
func (w *watcher) answer(seq uint64) error {
	revision, at, known := w.server.source.Freshness()
	if err := w.sendChanges(); err != nil {
		return err
	}
	pong := &controlv1.Pong{Seq: seq, Revision: revision, Known: known, Replicas: w.newReplicas()}
	if known {
		pong.AgeMs = ageMillis(time.Since(at))
	}
	return w.stream.Send(&controlv1.WatchResponse{Kind: &controlv1.WatchResponse_Pong{Pong: pong}})
}

// ageMillis rounds up, so that an age is never understated.
func ageMillis(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
