package workspace

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures one arrival and one end while all slots are taken, with few
// and many configured and active workspaces.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ known, active int }{{10, 10}, {37000, 10}, {37000, 1000}} {
		b.Run(fmt.Sprintf("known=%d/active=%d", size.known, size.active), func(b *testing.B) {
			limits := make(map[string]Limits, size.known)
			names := make([]string, size.known)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
				limits[names[i]] = Limits{Importance: 1 + i%4, GuaranteedShare: 0.5 / float64(size.known)}
			}
			const slots = 512
			a := NewAdmission(Config{MaxWait: time.Hour})
			a.Configure(0, limits)
			a.SetCapacity(0, slots)
			running := make([]string, 0, 2*slots)
			now := time.Duration(0)
			arrive := func(i int, id string) {
				decision, err := a.Arrive(now, Request{ID: id, Workspace: names[i%size.active]})
				if err != nil {
					b.Fatal(err)
				}
				if decision == Admitted {
					running = append(running, id)
				}
			}
			for i := range 2 * slots { // half of them are queued
				arrive(i, fmt.Sprint("request-", i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				ended := running[0]
				running = running[1:]
				for _, grant := range a.Done(now, ended) {
					running = append(running, grant.ID)
				}
				arrive(i, ended)
			}
		})
	}
}
