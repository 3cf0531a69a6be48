package pick

import (
	"math/rand/v2"

	"github.com/lilackeel/lilackeel/endpoint"
)

// sampler chooses the candidates: some that are likely to have a low cost, and
// random ones (power of d choices).
type sampler struct {
	// candidates is the total number of candidates.
	candidates int
	// shard is the number of endpoints in a workspace's shard. These are always
	// candidates, so that calls of one workspace with a common prefix go to the
	// same endpoints even before cache events have arrived.
	shard int
}

// sample fills s.candidates: with the whole list if it is short, otherwise with
// the holders of the prefix, the workspace's shard, and random endpoints.
func (m sampler) sample(s *scratch, list []*endpoint.Endpoint, view *endpoint.View, key endpoint.Key) {
	q := &s.query
	if len(list) <= m.candidates {
		for _, e := range list {
			s.add(e)
		}
		m.addShard(s, list)
		shuffle(q.Rand, s.candidates)
		return
	}
	for _, id := range s.holders {
		if e, ok := view.Get(id); ok && servesKey(e, key) {
			s.add(e)
		}
	}
	m.addShard(s, list)
	// A draw may yield a duplicate or an excluded endpoint, so allow more draws than
	// candidates.
	for draws := 4 * m.candidates; draws > 0 && len(s.candidates) < m.candidates; draws-- {
		drawn := Candidate{Endpoint: list[q.Rand.IntN(len(list))]}
		if (Excluded{}).Keep(q, &drawn) {
			s.addUnique(drawn.Endpoint)
		}
	}
}

// addShard adds the endpoints of the workspace's shard and sets InShard.
func (m sampler) addShard(s *scratch, list []*endpoint.Endpoint) {
	if s.query.Workspace == "" {
		return
	}
	hash := workspaceHash(s.query.Workspace)
	for i := range m.shard {
		s.addUnique(shardEndpoint(hash, i, list)).InShard = true
	}
}

// servesKey reports whether the endpoint is in the serving list of the key. It is
// used for endpoints that do not come from that list.
func servesKey(e *endpoint.Endpoint, key endpoint.Key) bool {
	return e.State == endpoint.Serving &&
		e.Pool == key.Pool && e.Model == key.Model &&
		(key.Version == "" || e.Version == key.Version) &&
		e.Serves(key.Adapter)
}

// shuffle randomizes the order of the candidates, so that equal costs do not
// always favor the same endpoint.
func shuffle(rng *rand.Rand, list []Candidate) {
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
