package entry

import (
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/link"
)

// endlessAgent sends a stream without end and counts the bytes sent.
type endlessAgent struct {
	agentv1.UnimplementedAgentServer
	sentBytes atomic.Int64
	cancelled chan struct{}
}

func (a *endlessAgent) Dispatch(d *agentv1.DispatchRequest, stream grpc.ServerStreamingServer[agentv1.DispatchResponse]) error {
	defer close(a.cancelled)
	send := func(r *agentv1.DispatchResponse) error {
		r.RequestId, r.Attempt, r.Incarnation = d.GetRequestId(), d.GetAttempt(), d.GetIncarnation()
		return stream.Send(r)
	}
	if err := send(headOf("text/event-stream", "s1")); err != nil {
		return err
	}
	part := string(make([]byte, 16<<10))
	for {
		if err := send(chunkOf(int(a.sentBytes.Load()), part)); err != nil {
			return err
		}
		a.sentBytes.Add(int64(len(part)))
	}
}

// TestSlowReader has a caller that reads nothing of an endless stream. The buffered data must be
// bounded by the flow-control windows and the kernel's buffers, and the agent's stream must be
// cancelled after the write timeout.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	agent := &endlessAgent{cancelled: make(chan struct{})}
	options, err := link.ServerOptions(link.Config{})
	is.NoErr(err)
	server := grpc.NewServer(options...)
	agentv1.RegisterAgentServer(server, agent)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	dial, err := link.DialOptions(link.Config{})
	is.NoErr(err)

	s := (&fakes{}).server()
	s.Agents = NewAgents(NewPool(dial))
	s.Picker = fixedPicker{endpoint: endpoint.Endpoint{ID: "e1", AgentAddr: listener.Addr().String(), Incarnation: 5}}
	front := httptest.NewServer(s)
	t.Cleanup(front.Close)
	connection, err := net.Dial("tcp", front.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(streamBody), streamBody)
	select {
	case <-agent.cancelled:
	case <-time.After(20 * time.Second):
		t.Fatal("the agent's stream was not cancelled")
	}
	t.Logf("the agent sent %d bytes", agent.sentBytes.Load())
	is.True(agent.sentBytes.Load() < 64<<20) // an unbounded reader would take gigabytes per second
}
