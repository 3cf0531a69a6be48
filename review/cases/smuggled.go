package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// playSmuggled sends an ordinary request on a kept channel, and then a request whose body hides
// another request: it has both a length and chunks. With the disruption, that request is preceded by
// an empty line, or follows the ordinary request without a pause. Without it, the same bytes come
// alone on the channel after the answer, so that the entry's check sees them.
//
// The rule is broken if an engine runs the hidden request, which no consumer sent as a request.
func playSmuggled(d *deployment, trouble bool) (bool, error) {
	var mu sync.Mutex
	ran := map[string]int{}
	serve := func(r *engineRequest) bool {
		mu.Lock()
		ran[r.id]++
		mu.Unlock()
		d.record.note("engine runs %s: %s %s, %d bytes", r.id, r.method, r.target, r.length)
		return r.discardBody() && r.answer(200, "done "+r.id)
	}
	if err := d.publish(siteConfiguration()); err != nil {
		return false, err
	}
	for number := range 3 {
		e, err := startEngine(d, number, 6, 0, serve)
		if err != nil {
			return false, err
		}
		defer e.stop()
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if err := d.sendHidden("newline", true, trouble, "\r\n", false); err != nil {
		return false, err
	}
	if err := d.sendHidden("together", true, trouble, "", true); err != nil {
		return false, err
	}
	mu.Lock()
	defer mu.Unlock()
	hidden := ran["hidden-newline"] + ran["hidden-together"]
	d.record.note("engines ran %d hidden requests", hidden)
	if ran["plain-newline"] != 1 || ran["plain-together"] != 1 {
		return false, fmt.Errorf("the ordinary requests ran %d and %d times", ran["plain-newline"], ran["plain-together"])
	}
	return hidden > 0, nil
}

// sendHidden sends an ordinary request and one that hides another, on one channel. With the
// disruption, between is sent before the second request, or both are sent together.
func (d *deployment) sendHidden(name string, both, trouble bool, between string, together bool) error {
	const deadline = 2 * time.Second
	c, err := d.connect()
	if err != nil {
		return err
	}
	defer c.close()
	plain := head("plain-"+name, "1", deadline, "Content-Length: 2\r\n") + "hi"
	hidden := "0\r\n\r\n" + head("hidden-"+name, "2", deadline, "Content-Length: 0\r\n")
	framing := "Content-Length: " + strconv.Itoa(len(hidden)) + "\r\n"
	if both {
		framing += "Transfer-Encoding: chunked\r\n"
	}
	outer := head("outer-"+name, "1", deadline, framing) + hidden
	if !trouble {
		between, together = "", false
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	first := plain
	if together {
		first += outer
	}
	if _, err := c.conn.Write([]byte(first)); err != nil {
		return err
	}
	if !together {
		a, err := c.read()
		if err != nil {
			return err
		}
		d.record.note("consumer: plain-%s answered %d", name, a.status)
		if _, err := c.conn.Write([]byte(between + outer)); err != nil {
			return err
		}
	}
	for {
		a, err := c.read()
		if err != nil {
			d.record.note("consumer: the channel of %s ends: %v", name, err)
			return nil
		}
		d.record.note("consumer: answer %d to %q on the channel of %s: %.60q", a.status, a.header.Get("X-Request-Id"), name, a.body)
	}
}
