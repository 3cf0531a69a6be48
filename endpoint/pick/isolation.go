package pick

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/endpoint"
)

// Isolation weighs the spreading of a workspace beyond its shard. Each
// workspace has a few endpoints of its own, chosen by hash (shuffle sharding), so that a flood
// from one workspace first meets endpoints that few others use, and the caches
// and adapters of a workspace stay together.
type Isolation struct {
	// Outside is the cost of an endpoint outside the shard.
	OutsideShardCost time.Duration
}

// Phase implements Scorer.
func (Isolation) Phase() Phase { return AfterFirstToken }

// Cost implements Scorer.
func (s Isolation) Cost(q *Query, c *Candidate) time.Duration {
	if q.Workspace == "" || c.InShard {
		return 0
	}
	return s.OutsideShardCost
}

// shardEndpoint returns the i-th endpoint of the workspace's shard. The place
// scales with the list, so that an endpoint that joins or leaves moves few
// workspaces.
func shardEndpoint(workspace uint64, i int, list []*endpoint.Endpoint) *endpoint.Endpoint {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 over the golden ratio: Fibonacci hashing
	hash := (workspace + uint64(i)*goldenRatio) * goldenRatio
	hash = (hash ^ hash>>29) * goldenRatio
	place, _ := bits.Mul64(hash, uint64(len(list)))
	return list[place]
}

// workspaceHash is the hash that places a workspace.
func workspaceHash(workspace string) uint64 { return xxhash.Sum64String(workspace) }
