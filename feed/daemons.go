package feed

import (
	"sort"
	"sync"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// daemonRetention is how long a daemon that no longer reports remains listed.
const daemonRetention = 10 * time.Minute

// Daemons records which daemons have reported, when, and the revision that each
// has applied. Its methods are safe for concurrent use.
type Daemons struct {
	mu     sync.Mutex
	byName map[string]*daemonRecord
}

type daemonRecord struct {
	role, zone  string
	incarnation uint64
	revision    uint64
	lastHeard   time.Time
	// lastChange is when the revision or the incarnation last changed.
	lastChange time.Time
}

// NewDaemons returns an empty list.
func NewDaemons() *Daemons {
	return &Daemons{byName: map[string]*daemonRecord{}}
}

// Update records the status that a daemon reported at the given time. A status
// that is older than the recorded one is dropped.
func (d *Daemons) Update(reportedAt time.Time, status *controlv1.DaemonStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateLocked(reportedAt, status)
}

func (d *Daemons) updateLocked(reportedAt time.Time, status *controlv1.DaemonStatus) {
	record, ok := d.byName[status.GetName()]
	if !ok {
		record = &daemonRecord{}
		d.byName[status.GetName()] = record
	}
	if reportedAt.Before(record.lastHeard) {
		return
	}
	if !ok || record.revision != status.GetRevision() || record.incarnation != status.GetIncarnation() {
		record.lastChange = reportedAt
	}
	record.role = status.GetRole()
	record.zone = status.GetZone()
	record.incarnation = status.GetIncarnation()
	record.revision = status.GetRevision()
	record.lastHeard = reportedAt
}

func (d *Daemons) updateFromHello(now time.Time, hello *controlv1.Hello, revision uint64) {
	d.Update(now, &controlv1.DaemonStatus{
		Name:        hello.GetDaemon(),
		Role:        hello.GetRole(),
		Zone:        hello.GetZone(),
		Incarnation: hello.GetIncarnation(),
		Revision:    revision,
	})
}

// updateDownstream records a relay's report of the daemons that watch it.
func (d *Daemons) updateDownstream(now time.Time, statuses []*controlv1.DaemonStatus) {
	if len(statuses) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, status := range statuses {
		reportedAt := now.Add(-time.Duration(status.GetHeardMs()) * time.Millisecond)
		d.updateLocked(reportedAt, status)
	}
}

// List returns the daemons in the order of their names. It removes those whose
// last report is older than daemonRetention.
func (d *Daemons) List(now time.Time) []*controlv1.DaemonStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*controlv1.DaemonStatus, 0, len(d.byName))
	for name, record := range d.byName {
		if now.Sub(record.lastHeard) > daemonRetention {
			delete(d.byName, name)
			continue
		}
		list = append(list, record.status(name, now))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// changedSince returns the daemons whose revision or incarnation changed at the
// given time or later.
func (d *Daemons) changedSince(since, now time.Time) []*controlv1.DaemonStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*controlv1.DaemonStatus
	for name, record := range d.byName {
		if !record.lastChange.Before(since) {
			list = append(list, record.status(name, now))
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
		HeardMs:     now.Sub(r.lastHeard).Milliseconds(),
		Incarnation: r.incarnation,
	}
}
