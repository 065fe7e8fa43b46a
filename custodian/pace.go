package custodian

import (
	"time"

	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

// interference returns the estimate for a pair of images, or the default one.
func (c *Custodian) interference(serving, bestEffort string) float64 {
	if p, ok := c.interferences[[2]string{serving, bestEffort}]; ok {
		return p
	}
	return c.config.DefaultInterference
}

// updatePaces decides the paces of an executor's best-effort runs. It returns the calls that set
// those that have changed.
func (c *Custodian) updatePaces(now time.Time, e *executor) Calls {
	shares := map[string]float64{}
	var bestEffort []pacer.BestEffort
	var runs []*run
	for _, r := range e.sortedRuns() {
		if r.order.Fills && r.phase == messenger.RunRunning {
			bestEffort = append(bestEffort, pacer.BestEffort{
				Image: r.order.Image, Pace: r.pace, Background: r.order.Background, Preferred: r.order.Preferred || now.Before(r.preferredUntil),
			})
			runs = append(runs, r)
			shares[r.order.Image] += r.share()
		}
	}
	if len(bestEffort) == 0 {
		return Calls{}
	}
	serving := c.servingTasks(now, e, shares)
	var calls Calls
	for i, pace := range pacer.Decide(c.config.Pacer, serving, bestEffort, c.interference) {
		c.setPace(now, e, runs[i], pace, serving, &calls)
	}
	return calls
}

// setPace adds the call that sets the pace of a run, if it changes.
func (c *Custodian) setPace(now time.Time, e *executor, r *run, pace int, serving []pacer.Serving, calls *Calls) {
	if r.pace == pace {
		return
	}
	c.logPace(now, e, r, pace, serving)
	r.pace = pace
	calls.Paces = append(calls.Paces, RunCall{Executor: e.ID, Born: e.StartedMillis, Address: e.Address, Token: e.token, Run: r.order.Run, Percent: pace})
}

// servingTasks returns the serving tasks of an executor, each with the headroom that it would have
// without best-effort work.
func (c *Custodian) servingTasks(now time.Time, e *executor, shares map[string]float64) []pacer.Serving {
	var serving []pacer.Serving
	for _, r := range e.sortedRuns() {
		if r.order.TailTargetMillis <= 0 || r.phase != messenger.RunRunning {
			continue
		}
		if h := r.headroom(); h > 0 && e.runsListedAt.After(r.smoothedAt) {
			alone := pacer.HeadroomAlone(h, r.order.Image, shares, c.interference)
			if r.undisturbed == 0 || now.Sub(r.smoothedAt) > c.config.SilenceTimeout {
				r.undisturbed = alone
			}
			r.undisturbed += c.config.Smoothing * (alone - r.undisturbed)
			r.smoothedAt = e.runsListedAt
		}
		if h := r.headroom(); h == 0 || h >= 1 || r.onTargetAt.IsZero() {
			r.onTargetAt = now
		}
		doubtful := now.Sub(r.onTargetAt) > c.config.DoubtAfter
		serving = append(serving, pacer.Serving{Image: r.order.Image, Undisturbed: r.undisturbed, Doubtful: doubtful})
	}
	return serving
}

// logPace logs a new pace that differs much from the one logged last.
func (c *Custodian) logPace(now time.Time, e *executor, r *run, pace int, serving []pacer.Serving) {
	change := pace - r.loggedPace
	if change < c.config.MinLoggedChange && change > -c.config.MinLoggedChange {
		return
	}
	r.loggedPace = pace
	c.logger.Info("pace", "run", r.order.Run, "executor", e.ID, "image", r.order.Image, "percent", pace,
		"before", r.pace, "alone", serving, "figuresAgeMillis", now.Sub(e.runsListedAt).Milliseconds())
}

// share returns the share of full speed at which a best-effort run worked recently.
func (r *run) share() float64 {
	return pacer.Share(r.state.Figure, int64(r.order.Resources.ProcessorMillis))
}

// headroom returns the latency target of a serving run divided by its tail latency; 0 for
// unknown.
func (r *run) headroom() float64 {
	return pacer.Headroom(r.order.TailTargetMillis, r.state.Figure)
}

// HandlePaceAnswer takes the answer to a change of pace. After a failed one the run counts as not
// throttled, so that the next decision repeats the call.
func (c *Custodian) HandlePaceAnswer(call RunCall, err error) {
	if _, r := c.findRun(call.Executor, call.Born, call.Run); r != nil && err != nil {
		r.pace = pacer.FullSpeed
	}
}

// preferenceTTL is how long the preference of a run lasts. The owner repeats it in the answer to each whole report,
// and one that is lost leaves no preference behind.
const preferenceTTL = time.Second

// preferRuns has other best-effort runs throttled before the given ones for preferenceTTL.
func (c *Custodian) preferRuns(now time.Time, refs []messenger.RunRef) {
	for _, ref := range refs {
		for _, e := range c.executors {
			if r := e.runs[ref]; r != nil {
				r.preferredUntil = now.Add(preferenceTTL)
			}
		}
	}
}
