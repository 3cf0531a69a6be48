package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["first-start"] = firstStart }

// firstStart starts three core machines and one front machine for the first time, all within 0.3 s. With
// trouble, the first of the core machines loses its disk right after its start and is back, empty, within
// a second. Much later than recoverS, requests are sent.
func firstStart(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	controls := []*machine{d.add("control", 1), d.add("control", 2), d.add("control", 3)}
	front := d.add("entry", 4)
	lost := controls[2]
	if err := d.start(lost); err != nil {
		return false, err
	}
	time.Sleep(150 * time.Millisecond)
	if trouble {
		d.kill(lost)
		if err := d.loseDisk(lost); err != nil {
			return false, err
		}
	}
	for _, m := range []*machine{controls[0], controls[1], front} {
		if err := d.start(m); err != nil {
			return false, err
		}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := d.start(lost); err != nil {
			return false, err
		}
	}
	back := time.Now()
	serverCtx, stopServers := context.WithCancel(ctx)
	defer stopServers()
	for i := range 2 {
		s := &server{
			id: fmt.Sprintf("i-%d", i), service: "app", zone: "z1", address: fmt.Sprintf("%s:%d", d.address(50+i), serverPort),
			slots: 6, record: d.record, controls: controls,
			respond: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) },
		}
		if err := startServer(serverCtx, s); err != nil {
			return false, err
		}
	}
	publishCtx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	acknowledged := publish(publishCtx, d.record, controls, smallConfiguration(1))
	d.record.add("the configuration was acknowledged: %t, %.1f s after all machines were back", acknowledged, time.Since(back).Seconds())
	sleep(ctx, 5*time.Second)
	return !serveSome(ctx, d, front), ctx.Err()
}

// serveSome sends 50 requests and reports whether any is served.
func serveSome(ctx context.Context, d *deployment, front *machine) bool {
	served := 0
	c := &caller{address: fmt.Sprintf("%s:%d", front.ip, frontPort)}
	defer c.close()
	for i := range 50 {
		id := fmt.Sprintf("q%d", i)
		a := c.send(ctx, http.MethodPost, "a.example", "/p/x", id, time.Second)
		d.record.add("request %s: %s", id, a)
		if a.status == http.StatusOK && a.whole {
			served++
		}
		sleep(ctx, 100*time.Millisecond)
	}
	d.record.add("%d of 50 requests were served", served)
	return served > 0
}
