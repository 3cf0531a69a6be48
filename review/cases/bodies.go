package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyConsumers is the number of consumers, that of the site.
	bodyConsumers = 90
	// usualBody is the site's usual size of a body.
	usualBody = 600
	// bodyPause is the time between the beginnings of two consumers' requests.
	bodyPause = 4 * time.Millisecond
	// workTime is how long an engine works on a request.
	workTime = time.Second
	// memoryPoll is the interval at which the platform's stand-in reads the memory of the entry.
	memoryPoll = 5 * time.Millisecond
	// memoryMB is the memory of a front machine of the site.
	memoryMB = 284
)

// playBodies lets many consumers, each on a channel that it keeps, send a request within half a second.
// With the disruption, the bodies are as long as the configuration allows. The platform's stand-in
// kills the entry if it uses more memory than its machine has.
//
// The rule is broken if more than three requests that engines have read whole and run end with a closed
// channel and no answer.
func playBodies(d *deployment, trouble bool) (bool, error) {
	var passed sync.Map
	serve := func(r *engineRequest) bool {
		if !r.discardBody() {
			d.record.note("engine: the body of %s doesn't come whole, it is not run", r.id)
			return false
		}
		passed.Store(r.id, true)
		d.record.note("engine runs %s, %d bytes", r.id, r.length)
		time.Sleep(workTime)
		return r.answer(200, "done "+r.id)
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
	size := usualBody
	if trouble {
		size = maxBodyBytes
	}
	entry := "entry-" + d.entry
	watched := make(chan struct{})
	var highest atomic.Int64
	go d.enforceMemory(entry, &highest, watched)
	defer close(watched)
	lost, answered, refused := d.postAtOnce(bytes.Repeat([]byte("b"), size), &passed)
	d.record.note("%d consumers with bodies of %d bytes: %d answered, %d refused, %d run by an engine and then cut without an answer; the entry used up to %d MB of %d",
		bodyConsumers, size, answered, refused, lost, highest.Load(), memoryMB)
	return lost > 3, nil
}

// postAtOnce lets each consumer send a small request, and then all of them one with the body, one
// shortly after the other. It returns how many of the latter were run and cut, answered, and refused.
func (d *deployment) postAtOnce(body []byte, passed *sync.Map) (lost, answered, refused int) {
	var mu sync.Mutex
	var connected, done sync.WaitGroup
	begin := make(chan struct{})
	for i := range bodyConsumers {
		connected.Add(1)
		done.Go(func() {
			c, err := d.connect()
			if err == nil {
				defer c.close()
				_, err = c.post(fmt.Sprintf("first-%02d", i), "1", []byte("hi"), 8*time.Second)
			}
			connected.Done()
			if err != nil {
				d.record.note("consumer: first-%02d: %v", i, err)
				return
			}
			<-begin
			time.Sleep(time.Duration(i) * bodyPause)
			id := fmt.Sprintf("body-%02d", i)
			a, err := c.post(id, "1", body, 8*time.Second)
			_, wasPassed := passed.Load(id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && a.status == 200:
				answered++
			case err == nil:
				refused++
			case wasPassed:
				lost++
			}
			if err != nil {
				d.record.note("consumer: the channel of %s ends without an answer (run by an engine: %v): %v", id, wasPassed, err)
				return
			}
			d.record.note("consumer: %s answered %d", id, a.status)
		})
	}
	connected.Wait()
	close(begin)
	done.Wait()
	return lost, answered, refused
}

// enforceMemory kills a process that uses more memory than its machine has, as the platform does.
func (d *deployment) enforceMemory(name string, highest *atomic.Int64, stop <-chan struct{}) {
	pid := d.pid(name)
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPoll):
		}
		used, ok := residentMB(pid)
		if !ok {
			return
		}
		highest.Store(max(highest.Load(), used))
		if used > memoryMB {
			d.record.note("platform: %s uses %d MB, over its %d MB, and is killed", name, used, memoryMB)
			d.kill(name)
			return
		}
	}
}
