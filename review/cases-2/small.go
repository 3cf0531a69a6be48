package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// startSmall starts three core machines, one front machine and two servers of the service app, and publishes
// a configuration. It returns the front machine once that serves.
func (d *deployment) startSmall(ctx context.Context, c *configuration, respond func(http.ResponseWriter, *http.Request)) (*machine, error) {
	controls := []*machine{d.add("control", 1), d.add("control", 2), d.add("control", 3)}
	front := d.add("entry", 4)
	for _, m := range append(controls, front) {
		if err := d.start(m); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		s := &server{
			id: fmt.Sprintf("i-%d", i), service: "app", zone: "z1", address: fmt.Sprintf("%s:%d", d.address(50+i), serverPort),
			slots: 6, record: d.record, controls: controls, respond: respond,
		}
		if err := startServer(ctx, s); err != nil {
			return nil, err
		}
	}
	if !publish(ctx, d.record, controls, c) {
		return nil, errNotRun
	}
	for ctx.Err() == nil {
		if status, _ := call(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/lilackeel/readyz", front.ip, readyPort), nil); status == http.StatusOK {
			sleep(ctx, 2*time.Second) // the servers are announced by then
			return front, nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return nil, errNotRun
}
