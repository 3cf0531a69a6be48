package replica

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a client's read or write of the register.
type operation struct {
	client int
	write  bool
	value  uint64 // written or read
	term   uint64
	index  uint64 // that must be applied before a read
	call   time.Duration
	end    time.Duration
	done   bool
}

func (o *operation) finish(now time.Duration) { o.done, o.end = true, now }

// registerModel is an integer register with the initial value 0.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		op := input.(*operation)
		if op.write {
			return true, op.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// write proposes a new value at h and returns the operation, or nil if h refuses
// it.
func (s *sim) write(h *host) *operation {
	if h == nil || h.node == nil || h.frozen {
		return nil
	}
	s.nextValue++
	index, term, err := h.node.Propose(binary.LittleEndian.AppendUint64(nil, s.nextValue))
	if err != nil {
		return nil
	}
	op := &operation{client: len(s.history), write: true, value: s.nextValue, term: term, call: s.now}
	s.history = append(s.history, op)
	h.writes[index] = op
	h.processReady()
	return op
}

// read reads the register at h, which may be any replica, and returns the
// operation, or nil if h refuses it.
func (s *sim) read(h *host) *operation {
	if h == nil || h.node == nil || h.frozen {
		return nil
	}
	id, err := h.node.ReadIndex()
	if err != nil {
		return nil
	}
	op := &operation{client: len(s.history), call: s.now}
	s.history = append(s.history, op)
	h.reads[id] = op
	h.processReady()
	return op
}

// finishReads completes the reads whose index is applied.
func (h *host) finishReads(states []ReadState) {
	for _, state := range states {
		if op := h.reads[state.ID]; op != nil && state.Err == nil {
			op.index = state.Index
			h.ready = append(h.ready, op)
		}
		delete(h.reads, state.ID)
	}
	waiting := h.ready[:0]
	for _, op := range h.ready {
		if h.applied < op.index {
			waiting = append(waiting, op)
			continue
		}
		op.value = h.value
		op.finish(h.sim.now)
	}
	h.ready = waiting
}

// checkHistory checks that the register was linearizable. A write that did not
// complete may take effect at any later time or never.
func (s *sim) checkHistory() (reads, writes int) {
	var operations []porcupine.Operation
	seen := map[uint64]bool{}
	for _, op := range s.history {
		seen[op.value] = seen[op.value] || op.done && !op.write
	}
	for _, op := range s.history {
		if !op.done && (!op.write || !seen[op.value]) {
			continue // it need not have taken effect
		}
		end := int64(math.MaxInt64)
		if op.done {
			end = int64(op.end)
			if op.write {
				writes++
			} else {
				reads++
			}
		}
		operations = append(operations, porcupine.Operation{
			ClientId: op.client, Input: op, Output: op.value, Call: int64(op.call), Return: end,
		})
	}
	if result := porcupine.CheckOperationsTimeout(registerModel, operations, time.Minute); result != porcupine.Ok {
		s.fatalf("the history of %d operations is not linearizable: %v", len(operations), result)
	}
	return reads, writes
}
