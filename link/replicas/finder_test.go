package replicas

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
)

// replica answers announcements with err, or without an error if it is the leader.
type replica struct {
	controlv1.UnimplementedControlServer
	err error
}

func (r *replica) Announce(context.Context, *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	return &controlv1.AnnounceResponse{}, r.err
}

func serve(t *testing.T, r *replica) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options, err := link.ServerOptions(link.Config{Insecure: true})
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(options...)
	controlv1.RegisterControlServer(server, r)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// TestFinderFindsUnconfiguredLeader guards against a process that cannot find the leader
// after a restart because its settings name three of five replicas and one of the others
// is the leader.
func TestFinderFindsUnconfiguredLeader(t *testing.T) {
	is := is.New(t)
	leader := serve(t, &replica{})
	var configured []string
	for range 3 {
		configured = append(configured, serve(t, &replica{err: fault.NewNotLeader(4, leader)}))
	}
	options, err := link.DialOptions(link.Config{Insecure: true})
	is.NoErr(err)
	if len(options) == 0 {
		options = []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	}
	pool := link.NewPool(options...)
	defer func() { _ = pool.Close() }()
	finder := New(pool, configured)
	is.NoErr(finder.Call(t.Context(), func(ctx context.Context, client controlv1.ControlClient) error {
		_, err := client.Announce(ctx, &controlv1.AnnounceRequest{})
		return err
	}))
}

// TestFinderPassesOverReplicaWithoutLeaderAddress guards against a process that never calls a
// control replica again after one of them, which had lost its disk, knew the id of the leader but
// not its address yet.
func TestFinderPassesOverReplicaWithoutLeaderAddress(t *testing.T) {
	is := is.New(t)
	joining := serve(t, &replica{err: fault.NewNotLeader(4, "")})
	leader := serve(t, &replica{})
	options, err := link.DialOptions(link.Config{Insecure: true})
	is.NoErr(err)
	pool := link.NewPool(options...)
	defer func() { _ = pool.Close() }()
	finder := &Finder{pool: pool, cursor: NewCursor([]string{joining, leader}, 0)}
	is.NoErr(finder.Call(t.Context(), func(ctx context.Context, client controlv1.ControlClient) error {
		_, err := client.Announce(ctx, &controlv1.AnnounceRequest{})
		return err
	}))
}
