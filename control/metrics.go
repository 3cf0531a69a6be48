package control

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/control/reconcile"
)

var (
	leasesExpired = metrics.NewCounter("lilackeel_control_leases_expired_total")
	intentsDone   = metrics.NewCounter("lilackeel_control_intents_done_total")
	termsLed      = metrics.NewCounter("lilackeel_control_terms_led_total")

	orderOutcomes = map[reconcile.Outcome]*metrics.Counter{
		reconcile.Done:        metrics.NewCounter(`lilackeel_control_orders_total{outcome="done"}`),
		reconcile.NotRun:      metrics.NewCounter(`lilackeel_control_orders_total{outcome="not_run"}`),
		reconcile.Interrupted: metrics.NewCounter(`lilackeel_control_orders_total{outcome="cut_short"}`),
	}
)

// exportMetrics registers the gauges of this replica. If several replicas run in one process,
// as in tests, the gauges show the first one.
func (d *Daemon) exportMetrics() {
	metrics.GetOrCreateGauge("lilackeel_control_configuration_revision", func() float64 {
		return float64(d.source.Revision())
	})
	metrics.GetOrCreateGauge("lilackeel_control_log_applied", func() float64 {
		return float64(d.log.Applied())
	})
	metrics.GetOrCreateGauge("lilackeel_control_leading", func() float64 {
		if d.terms.current() == nil {
			return 0
		}
		return 1
	})
	metrics.GetOrCreateGauge("lilackeel_control_quorum_age_seconds", func() float64 {
		_, at, ok := d.source.Freshness()
		if !ok {
			return -1
		}
		return time.Since(at).Seconds()
	})
	metrics.GetOrCreateGauge("lilackeel_control_daemons", func() float64 {
		return float64(len(d.feed.Daemons().List(time.Now())))
	})
}
