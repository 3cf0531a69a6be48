package quarantine

import "github.com/lilackeel/lilackeel/call"

const (
	// maxCredit bounds the credit of a part, and with it the crash events after which a part that
	// was harmless until then is blamed for them.
	maxCredit = 16.0
	// creditGeneration bounds the parts of one generation.
	creditGeneration = 2048
)

// credits holds how many requests with a part have run without a crash. Each crash halves the credit
// of a part, and the part is not blamed while it has some left. The parts that were not used
// recently are forgotten: the older of two generations is dropped when the newer one is full.
type credits struct {
	newer, older map[call.Fingerprint]float64
}

func newCredits() credits { return credits{newer: map[call.Fingerprint]float64{}} }

func (c *credits) get(f call.Fingerprint) float64 {
	if value, found := c.newer[f]; found {
		return value
	}
	return c.older[f]
}

// add adds one survived request.
func (c *credits) add(f call.Fingerprint) { c.set(f, min(c.get(f)+1, maxCredit)) }

// spend halves the credit of a part for a crash and reports whether it had any.
func (c *credits) spend(f call.Fingerprint) bool {
	value := c.get(f)
	if value < 1 {
		return false
	}
	c.set(f, value/2)
	return true
}

func (c *credits) set(f call.Fingerprint, value float64) {
	if len(c.newer) >= creditGeneration {
		c.newer, c.older = make(map[call.Fingerprint]float64, creditGeneration), c.newer
	}
	c.newer[f] = value
}
