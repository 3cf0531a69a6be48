package entry

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
)

// base36 is the base of the numbers in ids, which keeps them short.
const base36 = 36

// idGenerator generates ids that are unique in the fleet: a random prefix for each start of the
// process, followed by a counter.
type idGenerator struct {
	prefix string
	last   atomic.Uint64
}

func newIDGenerator() *idGenerator {
	return &idGenerator{prefix: strconv.FormatUint(rand.Uint64(), base36) + "-"}
}

func (i *idGenerator) next() string {
	return i.prefix + strconv.FormatUint(i.last.Add(1), base36)
}

// sharedRand is a random generator that is safe for concurrent use.
var sharedRand = rand.New(globalSource{})

// globalSource is a rand.Source that uses the runtime's per-thread generators.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }
