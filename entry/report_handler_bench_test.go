package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint"
)

// reportsPerSecond is the default report rate of an agent.
const reportsPerSecond = 5

// hostReport returns the report of a host with eight ranks of a group, each with the given number
// of cache events of 16 blocks.
func hostReport(events int) *agentv1.Report {
	const perHost, blocks = 8, 8
	r := &agentv1.Report{Incarnation: rand.Uint64(), TicketNs: time.Now().UnixNano()}
	for i := range perHost {
		id := fmt.Sprintf("sahel-a-host-017-engine-%d", i)
		waiting := int64(1800)
		r.Loads = append(r.Loads, &agentv1.LoadReport{
			Endpoint: id, Running: 14, Waiting: 2, CacheUsed: 0.93, AgeMs: 120, TokensPerSecond: 2431.7, RankLoad: 1.04,
			PrefillTokens: &waiting, PrefillRate: 8123.4, StepUs: 5731, OwnStepUs: 5102,
			Adapters: &agentv1.ResidentAdapters{Names: []string{"legality", "pairing"}},
		})
		for n := range events {
			e := &agentv1.CacheEvent{Endpoint: id, Seq: 1<<20 + uint64(n)}
			for range blocks {
				e.Stored, e.Removed = append(e.Stored, rand.Uint64()), append(e.Removed, rand.Uint64())
			}
			r.Events = append(r.Events, e)
		}
	}
	return r
}

// BenchmarkReport decodes and handles one report of a host in a fleet of 2,500 endpoints. The last
// two metrics are the cost of one endpoint at the default rate.
func BenchmarkReport(b *testing.B) {
	for _, events := range []int{0, 1, 4} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			f := newReportFleet(0)
			f.reports.index = newIndex()
			message := hostReport(events)
			f.table.Apply(benchEndpoints(message), nil)
			data, err := proto.Marshal(message)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Now()
			before := f.reports.index.Stats().Ignored
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				report := &agentv1.Report{}
				if err := proto.Unmarshal(data, report); err != nil {
					b.Fatal(err)
				}
				renumberEvents(report, uint64(i), uint64(events))
				f.reports.HandleReport("agent", report, now.Add(time.Duration(i)*time.Second/reportsPerSecond))
			}
			if ignored := f.reports.index.Stats().Ignored - before; ignored > 0 {
				b.Fatalf("%d events were ignored", ignored)
			}
			perEndpoint := reportsPerSecond / float64(len(message.GetLoads()))
			b.ReportMetric(float64(len(data)), "B/report")
			b.ReportMetric(float64(len(data))*perEndpoint, "B/s/endpoint")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)*perEndpoint, "us/s/endpoint")
		})
	}
}

// renumberEvents gives the events of a report the sequence numbers of the i-th report, and blocks
// that differ from those of other reports.
func renumberEvents(r *agentv1.Report, i, events uint64) {
	for _, e := range r.GetEvents() {
		e.Seq += i * events
		for j := range e.Stored {
			e.Stored[j] += i
		}
	}
}

// benchEndpoints returns the endpoints of the report together with endpoints of other hosts.
func benchEndpoints(r *agentv1.Report) []endpoint.Endpoint {
	const fleet = 2500
	var all []endpoint.Endpoint
	for i := range fleet {
		e := endpoint.Endpoint{ID: fmt.Sprint("other-", i), Pool: "pool", Kind: endpoint.Engine, Model: "draft", Group: fmt.Sprint("group-", i/64)}
		if i < len(r.GetLoads()) {
			e.ID = r.GetLoads()[i].GetEndpoint()
		}
		all = append(all, e)
	}
	return all
}
