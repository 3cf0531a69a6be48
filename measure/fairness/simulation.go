package fairness

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lilackeel/lilackeel/measure/eventqueue"
	"github.com/lilackeel/lilackeel/workspace"
)

// stream is the traffic of one workspace.
type stream struct {
	workspace string
	// rate is the mean number of arrivals a second, a Poisson process from begin
	// to end.
	rate       float64
	begin, end time.Duration
	// burst is a number of requests that arrive together at begin.
	burst int
	// hold is the mean run time, spread log-normally.
	hold time.Duration
	// least and most bound the time from arrival to deadline, uniformly
	// distributed; zero means no deadline.
	least, most time.Duration
}

// holdSpread is the standard deviation of the logarithm of run times: their
// coefficient of variation is 0.66.
const holdSpread = 0.6

// record is what became of one request.
type record struct {
	workspace  string
	arrived    time.Duration
	deadline   time.Duration
	hold       time.Duration
	started    time.Duration
	ended      time.Duration
	refused    time.Duration
	retryAfter time.Duration
	ran        bool
	wasRefused bool
}

// latency is the time from arrival to answer; infinite for a refusal.
func (r *record) latency() float64 {
	if !r.ran {
		return math.Inf(1)
	}
	return (r.ended - r.arrived).Seconds()
}

// inTime reports whether the request was answered by its deadline.
func (r *record) inTime() bool {
	return r.ran && (r.deadline == 0 || r.ended <= r.deadline)
}

// arrivals draws the requests of all streams. Each stream has a random source of
// its own, so that adding one leaves the others as they are.
func arrivals(seed uint64, streams []stream) []*record {
	var records []*record
	for i, s := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for range s.burst {
			records = append(records, s.draw(random, s.begin))
		}
		for at := s.begin; s.rate > 0; {
			at += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second))
			if at >= s.end {
				break
			}
			records = append(records, s.draw(random, at))
		}
	}
	return records
}

// draw makes one request of the stream.
func (s stream) draw(random *rand.Rand, at time.Duration) *record {
	factor := math.Exp(holdSpread*random.NormFloat64() - holdSpread*holdSpread/2)
	r := &record{
		workspace: s.workspace,
		arrived:   at,
		hold:      time.Duration(float64(s.hold) * factor),
	}
	if s.most > 0 {
		r.deadline = at + s.least + time.Duration(random.Float64()*float64(s.most-s.least))
	}
	return r
}

// event is an arrival or an end of a request.
type event struct {
	// id is the index in simulation.records.
	id   int
	ends bool
}

// simulation runs requests through a policy.
type simulation struct {
	policy  policy
	records []*record
	events  eventqueue.Queue[event]
	now     time.Duration
	// onRefusal, if set, is told of each refusal; it may add requests.
	onRefusal func(s *simulation, r *record)
}

// simulate runs all requests to their end.
func simulate(p policy, records []*record, onRefusal func(*simulation, *record)) *simulation {
	s := &simulation{policy: p, onRefusal: onRefusal}
	for _, r := range records {
		s.add(r)
	}
	for {
		at, ok := s.events.NextTime()
		if !ok {
			return s
		}
		s.step(at)
	}
}

// add schedules the arrival of a request.
func (s *simulation) add(r *record) {
	s.records = append(s.records, r)
	s.events.Add(r.arrived, event{id: len(s.records) - 1})
}

// step handles the next event, which is at the given time, or what the policy has
// due before it.
func (s *simulation) step(at time.Duration) {
	if wake, ok := s.policy.wake(s.now); ok && wake < at {
		s.now = max(wake, s.now)
		s.tick()
		return
	}
	var next event
	s.now, next = s.events.Take()
	if next.ends {
		s.begin(s.policy.done(s.now, strconv.Itoa(next.id)))
	} else {
		s.arrive(next.id)
	}
	s.tick()
}

func (s *simulation) arrive(id int) {
	r := s.records[id]
	verdict, retryAfter := s.policy.arrive(s.now, workspace.Request{
		ID:        strconv.Itoa(id),
		Workspace: r.workspace,
		Deadline:  r.deadline,
	})
	switch verdict {
	case workspace.Admitted:
		s.begin([]string{strconv.Itoa(id)})
	case workspace.Refused:
		s.refuse(refusal{strconv.Itoa(id), retryAfter})
	}
}

func (s *simulation) tick() {
	started, refused := s.policy.tick(s.now)
	s.begin(started)
	for _, each := range refused {
		s.refuse(each)
	}
}

func (s *simulation) begin(ids []string) {
	for _, id := range ids {
		index, _ := strconv.Atoi(id)
		r := s.records[index]
		r.ran = true
		r.started = s.now
		r.ended = s.now + r.hold
		s.events.Add(r.ended, event{id: index, ends: true})
	}
}

func (s *simulation) refuse(each refusal) {
	index, _ := strconv.Atoi(each.id)
	r := s.records[index]
	r.wasRefused = true
	r.refused = s.now
	r.retryAfter = each.retryAfter
	if s.onRefusal != nil {
		s.onRefusal(s, r)
	}
}
