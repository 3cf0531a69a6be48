package feed

import (
	"sort"
	"sync"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// forgetDaemonAfter is how long a daemon that does not report any more stays
// listed.
const forgetDaemonAfter = 10 * time.Minute

// Daemons knows which daemons have reported, when, and the revision that each acts
// on. Its methods may be called from any goroutine.
type Daemons struct {
	mu     sync.Mutex
	byName map[string]*daemonRecord
}

type daemonRecord struct {
	role, zone  string
	incarnation uint64
	revision    uint64
	heard       time.Time
	// moved is when revision or incarnation last changed.
	moved time.Time
}

// NewDaemons returns an empty list.
func NewDaemons() *Daemons {
	return &Daemons{byName: map[string]*daemonRecord{}}
}

// Hear records the report of a daemon that came at the given time. A report
// that is older than what is known is dropped.
func (d *Daemons) Update(heard time.Time, status *controlv1.DaemonStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(heard, status)
}

func (d *Daemons) record(heard time.Time, status *controlv1.DaemonStatus) {
	known, ok := d.byName[status.GetName()]
	if !ok {
		known = &daemonRecord{}
		d.byName[status.GetName()] = known
	}
	if heard.Before(known.heard) {
		return
	}
	if !ok || known.revision != status.GetRevision() || known.incarnation != status.GetIncarnation() {
		known.moved = heard
	}
	known.role = status.GetRole()
	known.zone = status.GetZone()
	known.incarnation = status.GetIncarnation()
	known.revision = status.GetRevision()
	known.heard = heard
}

func (d *Daemons) hear(now time.Time, hello *controlv1.Hello, revision uint64) {
	d.Update(now, &controlv1.DaemonStatus{
		Name:        hello.GetDaemon(),
		Role:        hello.GetRole(),
		Zone:        hello.GetZone(),
		Incarnation: hello.GetIncarnation(),
		Revision:    revision,
	})
}

// hearBelow takes in a relay's report of the daemons that watch it.
func (d *Daemons) hearBelow(now time.Time, below []*controlv1.DaemonStatus) {
	if len(below) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, status := range below {
		heard := now.Add(-time.Duration(status.GetHeardMs()) * time.Millisecond)
		d.record(heard, status)
	}
}

// List returns the daemons by name, and forgets those that have long gone.
func (d *Daemons) List(now time.Time) []*controlv1.DaemonStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*controlv1.DaemonStatus, 0, len(d.byName))
	for name, known := range d.byName {
		if now.Sub(known.heard) > forgetDaemonAfter {
			delete(d.byName, name)
			continue
		}
		list = append(list, known.status(name, now))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// movedSince returns the daemons whose revision or incarnation has changed at
// the given time or later.
func (d *Daemons) movedSince(since, now time.Time) []*controlv1.DaemonStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*controlv1.DaemonStatus
	for name, known := range d.byName {
		if !known.moved.Before(since) {
			list = append(list, known.status(name, now))
		}
	}
	return list
}

func (r *daemonRecord) status(name string, now time.Time) *controlv1.DaemonStatus {
	return &controlv1.DaemonStatus{
		Name:        name,
		Role:        r.role,
		Zone:        r.zone,
		Revision:    r.revision,
		HeardMs:     now.Sub(r.heard).Milliseconds(),
		Incarnation: r.incarnation,
	}
}
