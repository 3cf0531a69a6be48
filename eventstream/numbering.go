package eventstream

import (
	"math"
	"sync"
)

// Numbering is what is known of how a source numbers its events. Ids increase, but not always by the
// same step: some sources number events by the tokens up to their end. Only where they do increase
// evenly does another step show that events are missing.
type Numbering int

// The kinds of numbering.
const (
	// Unknown numbering counts as even once a stream has had unknownEvenSteps equal steps.
	Unknown Numbering = iota
	// Even numbering has one step for all events of a stream.
	Even
	// Uneven numbering shows no missing events.
	Uneven
)

const (
	// unknownEvenSteps is how many equal steps of a stream show that its source numbers evenly, while
	// nothing else is known.
	unknownEvenSteps = 2
	// minKnownSteps is the number of equal steps without which a stream says nothing about its source.
	minKnownSteps = 2
)

// minEvenSteps returns after how many equal steps another one is an error.
func (n Numbering) minEvenSteps() int {
	switch n {
	case Even:
		return 1
	case Uneven:
		return math.MaxInt
	}
	return unknownEvenSteps
}

const (
	// minStreams is how many streams of a source must have been seen before its numbering is known.
	minStreams = 4
	// evenBelow and unevenAbove are the shares of uneven streams below which a source numbers evenly
	// and above which it does not. Some streams of a faulty source lack events.
	evenBelow, unevenAbove = 0.3, 0.7
	// streamWeight is the weight of the latest stream in that share.
	streamWeight = 0.05
)

// Numberings learns from streams how their sources number events. No other lock is acquired while its
// lock is held. The zero value is ready for use.
type Numberings struct {
	mu      sync.Mutex
	sources map[string]*sourceNumbering
}

type sourceNumbering struct {
	streams     int
	unevenShare float64
}

// Of returns what is known of a source.
func (n *Numberings) Of(source string) Numbering {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.sources[source]
	switch {
	case known == nil || known.streams < minStreams:
		return Unknown
	case known.unevenShare > unevenAbove:
		return Uneven
	case known.unevenShare < evenBelow:
		return Even
	}
	return Unknown
}

// Observe records the stream that a splitter has read from a source.
func (n *Numberings) Observe(source string, s *Splitter) {
	uneven, ok := s.Uneven()
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.sources[source]
	if known == nil {
		if n.sources == nil {
			n.sources = map[string]*sourceNumbering{}
		}
		known = &sourceNumbering{}
		n.sources[source] = known
	}
	known.streams++
	observed := 0.0
	if uneven {
		observed = 1
	}
	known.unevenShare += max(streamWeight, 1/float64(known.streams)) * (observed - known.unevenShare)
}
