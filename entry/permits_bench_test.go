package entry

import (
	"fmt"
	"log/slog"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// BenchmarkPermit measures one permit request of an entry that reads the reports of the given
// number of hosts, including the cost of the host and of the connection.
func BenchmarkPermit(b *testing.B) {
	for _, hosts := range []int{16, 2500} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			addr, _ := startTestHost(b, "127.0.0.1:0")
			pool := link.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()))
			b.Cleanup(func() { _ = pool.Close() })
			addrs := make([]string, hosts)
			for i := range addrs {
				addrs[i] = fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250)
			}
			p := &PermitClient{RateLimits: NewRateLimits(Config{}, endpoint.NewTable(), NewAdmissionController(Config{}), slog.New(slog.DiscardHandler)), pool: pool}
			p.hosts = func() []string { return addrs }
			for b.Loop() {
				p.permitHosts("e/1")
				p.hosts = func() []string { return []string{addr} }
				p.requestPermit(b.Context(), &endpoint.Endpoint{ID: "e", Incarnation: 1}, ratelimit.Limit{Rate: 1e6})
				p.hosts = func() []string { return addrs }
			}
		})
	}
}
