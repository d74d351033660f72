package duty_test

import (
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/state/duty"
)

// TestLease guards against actions before those of the predecessor have arrived, after the end of the router's own term, and
// with a refused fence.
func TestLease(t *testing.T) {
	d := duty.New(duty.Options{Validity: 1500 * time.Millisecond, SettleTime: 3 * time.Second})
	checkMayAct := func(now time.Duration, want bool, when string) {
		t.Helper()
		if _, ok := d.MayAct(now); ok != want {
			t.Errorf("%s: May() = %v, want %v", when, ok, want)
		}
	}
	renew := func(from, to time.Duration, fence int64) {
		for at := from; at <= to; at += 500 * time.Millisecond {
			d.RecordRenewal(at, at, fence, true)
		}
	}
	checkMayAct(time.Hour, false, "never held")
	renew(0, 2*time.Second, 7)
	checkMayAct(2*time.Second, false, "before the predecessor's actions have arrived")
	renew(2500*time.Millisecond, 3500*time.Millisecond, 7)
	checkMayAct(3600*time.Millisecond, true, "settled")
	checkMayAct(5*time.Second, false, "not renewed in time, as after a suspension")
	d.RecordRenewal(6*time.Second, 6*time.Second, 8, true)
	checkMayAct(6100*time.Millisecond, false, "renewed after a gap in which another router may have held the lease")
	renew(6500*time.Millisecond, 10*time.Second, 8)
	checkMayAct(10*time.Second, true, "settled again")
	d.RecordRefusal(8)
	checkMayAct(10*time.Second, false, "the fence was refused")
	renew(10500*time.Millisecond, 11*time.Second, 9)
	checkMayAct(11*time.Second, true, "a later term")
	if !d.RecordRenewal(11100*time.Millisecond, 11100*time.Millisecond, 10, false) {
		t.Error("RecordRenewal() = false after the loss of the lease, want true")
	}
	checkMayAct(11100*time.Millisecond, false, "lost")
}
