package fatal

import "time"

// maxDurations is the number of completed runs from which all earlier ones count half.
const maxDurations = 1 << 16

// durations estimates the mean time that runs take. Runs that are in progress or did not complete count with the time that has passed, so that
// the estimate is not too low shortly after the start, when only short runs can have completed. It is not safe for concurrent use.
type durations struct {
	start     time.Time
	completed int
	// running is the number of runs in progress, began the sum of the times from start at which they began, ended the time of all others.
	running      int
	began, ended time.Duration
}

func (d *durations) begin(at time.Time) {
	d.running++
	d.began += at.Sub(d.start)
}

// end ends a run, whether it completed or not.
func (d *durations) end(began, now time.Time) {
	d.running--
	d.began -= began.Sub(d.start)
	d.ended += now.Sub(began)
}

// complete records that the run that ended last completed.
func (d *durations) complete() {
	d.completed++
	if d.completed >= maxDurations {
		d.completed, d.ended = d.completed/2, d.ended/2
	}
}

// mean returns the estimate at a time.
func (d *durations) mean(now time.Time) time.Duration {
	inProgress := time.Duration(d.running)*now.Sub(d.start) - d.began
	return (d.ended + inProgress) / time.Duration(max(d.completed, 1))
}
