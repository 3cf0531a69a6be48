package fairness

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lilackeel/lilackeel/measure/eventqueue"
	"github.com/lilackeel/lilackeel/workspace"
)

// workload is the traffic of one workspace.
type workload struct {
	workspace string
	// rate is the mean number of arrivals per second of a Poisson process that
	// runs from begin to end.
	rate       float64
	begin, end time.Duration
	// burst is the number of requests that arrive together at begin.
	burst int
	// meanRunTime is the mean of the log-normally distributed run times.
	meanRunTime time.Duration
	// minDeadline and maxDeadline bound the uniformly distributed time from
	// arrival to deadline; a zero maxDeadline means no deadline.
	minDeadline, maxDeadline time.Duration
}

// runTimeSigma is the standard deviation of the logarithm of run times; it gives
// them a coefficient of variation of 0.66.
const runTimeSigma = 0.6

// record is one request and its outcome. All times are virtual times since the
// start of the simulation, except the durations runTime and retryAfter.
type record struct {
	workspace  string
	arrived    time.Duration
	deadline   time.Duration
	runTime    time.Duration
	started    time.Duration
	ended      time.Duration
	refusedAt  time.Duration
	retryAfter time.Duration
	ran        bool
	wasRefused bool
}

// latency returns the seconds from arrival to answer, or +Inf if the request did
// not run.
func (r *record) latency() float64 {
	if !r.ran {
		return math.Inf(1)
	}
	return (r.ended - r.arrived).Seconds()
}

// inTime reports whether the request completed by its deadline, if it has one.
func (r *record) inTime() bool {
	return r.ran && (r.deadline == 0 || r.ended <= r.deadline)
}

// generateArrivals returns the requests of all workloads. Each workload has its own
// random source, so that adding one leaves the others unchanged.
func generateArrivals(seed uint64, workloads []workload) []*record {
	var records []*record
	for i, w := range workloads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for range w.burst {
			records = append(records, w.newRecord(random, w.begin))
		}
		for at := w.begin; w.rate > 0; {
			at += time.Duration(random.ExpFloat64() / w.rate * float64(time.Second))
			if at >= w.end {
				break
			}
			records = append(records, w.newRecord(random, at))
		}
	}
	return records
}

// newRecord generates one request that arrives at the given time.
func (w workload) newRecord(random *rand.Rand, at time.Duration) *record {
	factor := math.Exp(runTimeSigma*random.NormFloat64() - runTimeSigma*runTimeSigma/2)
	r := &record{
		workspace: w.workspace,
		arrived:   at,
		runTime:   time.Duration(float64(w.meanRunTime) * factor),
	}
	if w.maxDeadline > 0 {
		r.deadline = at + w.minDeadline + time.Duration(random.Float64()*float64(w.maxDeadline-w.minDeadline))
	}
	return r
}

// event is the arrival or the completion of a request.
type event struct {
	// id is the index in simulation.records.
	id         int
	completion bool
}

// simulation is a discrete-event simulation of requests under a policy.
type simulation struct {
	policy  policy
	records []*record
	events  eventqueue.Queue[event]
	now     time.Duration
	// onRefusal, if set, is called for each refusal; it may schedule further
	// requests.
	onRefusal func(s *simulation, r *record)
}

// simulate processes events until none is left, and returns the simulation with
// the outcome of every request.
func simulate(p policy, records []*record, onRefusal func(*simulation, *record)) *simulation {
	s := &simulation{policy: p, onRefusal: onRefusal}
	for _, r := range records {
		s.schedule(r)
	}
	for {
		at, ok := s.events.NextTime()
		if !ok {
			return s
		}
		s.step(at)
	}
}

// schedule adds the arrival of a request to the event queue.
func (s *simulation) schedule(r *record) {
	s.records = append(s.records, r)
	s.events.Add(r.arrived, event{id: len(s.records) - 1})
}

// step processes the next event, which is due at the given time, or an earlier
// timer of the policy.
func (s *simulation) step(at time.Duration) {
	if due, ok := s.policy.nextWake(s.now); ok && due < at {
		s.now = max(due, s.now)
		s.tick()
		return
	}
	var next event
	s.now, next = s.events.Take()
	if next.completion {
		s.start(s.policy.complete(s.now, strconv.Itoa(next.id)))
	} else {
		s.arrive(next.id)
	}
	s.tick()
}

func (s *simulation) arrive(id int) {
	r := s.records[id]
	decision, retryAfter := s.policy.arrive(s.now, workspace.Request{
		ID:        strconv.Itoa(id),
		Workspace: r.workspace,
		Deadline:  r.deadline,
	})
	switch decision {
	case workspace.Admitted:
		s.start([]string{strconv.Itoa(id)})
	case workspace.Refused:
		s.refuse(refusal{strconv.Itoa(id), retryAfter})
	}
}

func (s *simulation) tick() {
	started, refused := s.policy.tick(s.now)
	s.start(started)
	for _, item := range refused {
		s.refuse(item)
	}
}

func (s *simulation) start(ids []string) {
	for _, id := range ids {
		index, _ := strconv.Atoi(id)
		r := s.records[index]
		r.ran = true
		r.started = s.now
		r.ended = s.now + r.runTime
		s.events.Add(r.ended, event{id: index, completion: true})
	}
}

func (s *simulation) refuse(item refusal) {
	index, _ := strconv.Atoi(item.id)
	r := s.records[index]
	r.wasRefused = true
	r.refusedAt = s.now
	r.retryAfter = item.retryAfter
	if s.onRefusal != nil {
		s.onRefusal(s, r)
	}
}
