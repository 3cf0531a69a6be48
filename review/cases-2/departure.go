package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["departure"] = departure }

const (
	// drain is drainMs.
	drain = 2 * time.Second
	// servesOn is how long a server that leaves goes on serving after its withdrawal was confirmed.
	servesOn = 12 * time.Second
	// pingLate is how late the first ping of the server arrives.
	pingLate = 3 * time.Second
)

// departure starts a server that is taken away half a second later: it withdraws and serves on for a while.
// With trouble its only ping arrives late, after the withdrawal was confirmed.
func departure(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	front, err := d.startSmall(ctx, smallConfiguration(1), func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })
	if err != nil {
		return false, err
	}
	controls := d.machines[:3]
	leaving := &server{
		id: "i-leaving", service: "app", zone: "z1", address: fmt.Sprintf("%s:%d", d.address(60), serverPort), slots: 6,
		record: d.record, controls: controls,
		respond: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) },
	}
	serverCtx, stop := context.WithCancel(ctx)
	defer stop()
	if err := leaving.listen(serverCtx); err != nil {
		return false, err
	}
	ping := leaving.ping()
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		if trouble {
			sleep(ctx, pingLate)
		}
		status, _ := call(ctx, http.MethodPut, "http://"+controlAddress(controls[0])+"/lilackeel/instances/"+leaving.id, ping)
		d.record.add("the ping of %s arrives: %d", leaving.id, status)
	}()
	sleep(ctx, 500*time.Millisecond)
	confirmed, ok := leaving.withdraw(ctx)
	if !ok {
		return false, errNotRun
	}
	c := &caller{address: fmt.Sprintf("%s:%d", front.ip, frontPort)}
	defer c.close()
	for i := 0; time.Since(confirmed) < servesOn && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("q%d", i)
		a := c.send(ctx, http.MethodPost, "a.example", "/p/x", id, time.Second)
		if a.status != http.StatusOK {
			d.record.add("request %s: %s", id, a)
		}
		sleep(ctx, 50*time.Millisecond)
	}
	<-delivered
	late := leaving.arrivedAfter(confirmed.Add(drain))
	d.record.add("%d requests reached %s later than %s after its withdrawal was confirmed", late, leaving.id, drain)
	return late > 0, ctx.Err()
}

// withdraw withdraws a server at one machine after the other, until one confirms it.
func (s *server) withdraw(ctx context.Context) (confirmed time.Time, ok bool) {
	for _, m := range s.controls {
		status, _ := call(ctx, http.MethodDelete, "http://"+controlAddress(m)+"/lilackeel/instances/"+s.id, nil)
		s.record.add("%s answers the withdrawal of %s with %d", m.name, s.id, status)
		if status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}
