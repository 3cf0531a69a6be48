package server

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica"
)

// serve lets a running replica be reached at its address.
func (c *cluster) serve(id uint64, addr string) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		c.t.Fatal(err)
	}
	c.grpc[id] = grpc.NewServer()
	c.replicas[id].Register(c.grpc[id])
	go c.grpc[id].Serve(listener)
}

// roleOf returns the role of a replica according to the leader.
func (c *cluster) roleOf(id uint64) pb.Role {
	for _, replicaServer := range c.replicas {
		if _, _, _, self := replicaServer.Leader(); self {
			return replica.FindMember(replicaServer.Status().Membership, id).GetRole()
		}
	}
	return pb.Role_ROLE_UNSPECIFIED
}

func (c *cluster) waitUntil(condition string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// A voter that could not be reached is replaced, and the others restart with settings
// that no longer name it. Once it can be reached again it must learn of its removal: the
// others have to connect to the address that it states.
func TestRemovedReplicaIsAnsweredAtItsAddress(t *testing.T) {
	is := is.New(t)
	cfg := Config{ElectionTimeout: 100 * time.Millisecond, RepairAfter: 200 * time.Millisecond, Voters: 3}
	c := newCluster(t, 3, cfg)
	leader := c.propose("before")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c.peers[4], c.dirs[4], c.cfg.Join = listener.Addr().String(), t.TempDir(), true
	c.start(4, listener)
	c.waitUntil("the new replica is a standby", func() bool { return c.roleOf(4) == pb.Role_ROLE_LEARNER })
	removed := leader%3 + 1
	addr := c.peers[removed]
	c.grpc[removed].Stop()
	c.waitUntil("the standby is a voter", func() bool { return c.roleOf(4) == pb.Role_ROLE_VOTER })
	delete(c.peers, removed)
	for id := uint64(1); id <= 4; id++ {
		if id != removed {
			c.stop(id)
			c.start(id, nil)
			c.propose("restarted")
		}
	}
	c.serve(removed, addr)
	select {
	case <-c.replicas[removed].Done():
	case <-time.After(waitTimeout):
		t.Fatal("the removed replica does not know that it was removed")
	}
	is.Equal(fault.KindOf(c.replicas[removed].Err()), fault.Fenced)
}
