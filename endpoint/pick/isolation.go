package pick

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/endpoint"
)

// Isolation scores a penalty for endpoints outside the workspace's shard. Each
// workspace is assigned a few endpoints by hash (shuffle sharding). A surge of
// calls from one workspace then first affects endpoints that few other workspaces
// use, and the cached prompts and adapters of a workspace stay together.
type Isolation struct {
	// OutsideShardCost is the cost of an endpoint outside the shard.
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

// shardEndpoint returns the i-th endpoint of the workspace's shard. The index
// scales with the length of the list, so that few workspaces move when an endpoint
// joins or leaves.
func shardEndpoint(workspace uint64, i int, list []*endpoint.Endpoint) *endpoint.Endpoint {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 over the golden ratio: Fibonacci hashing
	hash := (workspace + uint64(i)*goldenRatio) * goldenRatio
	hash = (hash ^ hash>>29) * goldenRatio
	index, _ := bits.Mul64(hash, uint64(len(list)))
	return list[index]
}

// workspaceHash returns the hash that determines a workspace's shard.
func workspaceHash(workspace string) uint64 { return xxhash.Sum64String(workspace) }
