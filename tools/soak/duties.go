package main

import (
	"encoding/json"
	"fmt"
	"time"

	"waxwingtide.example/waxwingtide/standin"
)

const (
	// leaseTime is the lease of duties, usageWindow the length of the windows of usage
	// reports and usageDue the time after their end by which they are due.
	leaseTime   = 3 * time.Second
	usageWindow = time.Second
	usageDue    = 4 * time.Second
	// thawSlack is the time after a freeze or a fault of a link within which calls of its
	// process may still arrive that were sent before.
	thawSlack = 300 * time.Millisecond
	// reportSilence is the longest time without a usage report when all works again.
	reportSilence = 2 * usageWindow
	// usageTolerance is the share by which the counts of a calm window may differ, and
	// usageSlack the number of calls beyond it that begin at the border of two windows.
	usageTolerance = 0.1
	usageSlack     = 10
	// workspace is the customer whose calls are counted.
	workspace = "crew"
)

// cloudLink is the name of the link of a front to the platform's interface for duties.
func cloudLink(front string) string { return "cloud of " + front }

// dutySettings returns the settings of a front's duties.
func dutySettings(address string) string {
	return fmt.Sprintf(`
cloud: {address: %q, calls_per_second: 50, duties: [usage_report, autoscale], usage_window: %s, usage_due: %s}
autoscale: {failure_domains: [%s, %s]}
`, address, usageWindow, usageDue, zones[0], zones[1])
}

// excused reports whether a call may have been sent before its process was suspended or
// killed, or its link to the platform failed.
func (t *timeline) excused(c standin.DutyCall) bool {
	for _, spans := range [][]span{t.disrupted[c.Machine], t.touched[cloudLink(c.Machine)]} {
		for _, s := range spans {
			if s.from.Before(c.At) && (s.to.IsZero() || c.At.Sub(s.to) < thawSlack) {
				return true
			}
		}
	}
	return false
}

// dutyBreaks returns the broken promises in the calls of duties, which are in the order of
// their arrival.
func dutyBreaks(calls []standin.DutyCall, t *timeline) (broken []string) {
	subjects := make(map[string][]standin.DutyCall)
	reports := make(map[int64]standin.DutyCall)
	for _, c := range calls {
		subjects[c.Subject] = append(subjects[c.Subject], c)
		if c.Counts == "" {
			continue
		}
		if first, ok := reports[c.Window]; ok && first.Counts != c.Counts {
			broken = append(broken, fmt.Sprintf("window %d: %s reported %s, then %s %s", c.Window, first.Machine, first.Counts, c.Machine, c.Counts))
		}
		reports[c.Window] = c
	}
	for subject, calls := range subjects {
		for _, b := range fenceBreaks(calls, t) {
			broken = append(broken, subject+": "+b)
		}
	}
	return broken
}

// fenceBreaks checks the holders and fences of the calls of one subject.
func fenceBreaks(calls []standin.DutyCall, t *timeline) (broken []string) {
	holders := make(map[uint64]string)
	highest := uint64(0)
	lastCall := make(map[string]standin.DutyCall)
	previous := standin.DutyCall{}
	for _, c := range calls {
		if holder, ok := holders[c.Fence]; ok && holder != c.Machine {
			broken = append(broken, fmt.Sprintf("%s and %s both sent fence %d", holder, c.Machine, c.Fence))
		}
		holders[c.Fence] = c.Machine
		if c.Fence < highest && !t.excused(c) {
			broken = append(broken, fmt.Sprintf("%s sent fence %d after %d", c.Machine, c.Fence, highest))
		}
		highest = max(highest, c.Fence)
		last, acted := lastCall[c.Machine]
		if acted && previous.Machine != c.Machine && c.At.Sub(last.At) < leaseTime && !t.excused(c) {
			broken = append(broken, fmt.Sprintf("%s acted again %s after its last call, with %s in between", c.Machine, c.At.Sub(last.At).Round(time.Millisecond), previous.Machine))
		}
		lastCall[c.Machine], previous = c, c
	}
	return broken
}

// usageBreaks checks the reports of the time without faults: they arrive until the end of
// the run, and count the calls that began in their windows.
func usageBreaks(calls []standin.DutyCall, started []time.Time, calm, end time.Time) (broken []string) {
	var lastReport time.Time
	reported := make(map[int64]string)
	for _, c := range calls {
		if c.Counts != "" {
			lastReport, reported[c.Window] = c.At, c.Counts
		}
	}
	if end.Sub(lastReport) > reportSilence {
		broken = append(broken, fmt.Sprintf("no usage was reported in the last %s", end.Sub(lastReport).Round(time.Millisecond)))
	}
	begun := make(map[int64]int)
	for _, at := range started {
		begun[at.UnixNano()/int64(usageWindow)]++
	}
	for w, counts := range reported {
		from := time.Unix(0, w*int64(usageWindow))
		if from.Before(calm) || from.Add(usageWindow).After(end) {
			continue
		}
		var got map[string]int
		if err := json.Unmarshal([]byte(counts), &got); err != nil {
			broken = append(broken, err.Error())
		}
		if off := got[workspace] - begun[w]; max(off, -off) > int(usageTolerance*float64(begun[w]))+usageSlack {
			broken = append(broken, fmt.Sprintf("window %d: %d calls were reported, %d began", w, got[workspace], begun[w]))
		}
	}
	return broken
}
