package sharing

import (
	"math"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement/links"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

// linkReport is what one process, or all processes for which a collector collects, have
// observed of links.
type linkReport struct {
	delays     []links.Delays
	receivedAt time.Time
}

// linkBoard contains the newest report of each sender. A report replaces the sender's
// earlier one, so that a repeated or lost message does not change the sums for long.
type linkBoard map[core.NodeID]linkReport

// add records a report. A message without a report, for example from a process of an older
// version, leaves the last one, which fades.
func (b linkBoard) add(now time.Time, sender core.NodeID, delays []links.Delays) {
	if len(delays) > 0 {
		b[sender] = linkReport{delays: delays, receivedAt: now}
	}
}

// sumWithout returns the sums of what all senders but one have observed.
func (b linkBoard) sumWithout(now time.Time, sender core.NodeID) []links.Delays {
	var reports [][]links.Delays
	var weights []float64
	for node, report := range b {
		weight := links.Weight(now.Sub(report.receivedAt))
		if weight == 0 {
			delete(b, node)
			continue
		}
		if node != sender {
			reports, weights = append(reports, report.delays), append(weights, weight)
		}
	}
	return links.Sum(reports, weights)
}

// RecordLinkDelays replaces this process's observations of links in the next exchange. It
// never blocks.
func (e *Exchanger) RecordLinkDelays(delays []links.Delays) { e.localLinkDelays.Push(delays) }

// RemoteLinkDelays returns the ring of the sums of what all other processes have observed of
// links.
func (e *Exchanger) RemoteLinkDelays() *ring.Ring[[]links.Delays] { return e.remoteLinkDelays }

// transfersUnit is the unit of encoded numbers of transfers.
const transfersUnit = 0.01

// encodeLinkDelays returns nil if no link was observed. Of many links, some are left out.
func encodeLinkDelays(delays []links.Delays) *wire.LinkDelays {
	if len(delays) == 0 {
		return nil
	}
	out := new(wire.LinkDelays)
	for _, d := range links.Reported(slices.Clone(delays)) {
		out.Links = append(out.Links, uint32(d.Link))
		out.Transfers = append(out.Transfers, encodeCount(d.Transfers/transfersUnit))
		out.DelayMs = append(out.DelayMs, encodeCount(d.DelayMs))
	}
	return out
}

// encodeCount rounds a value to a count within the bounds of the encoding.
func encodeCount(value float64) uint32 {
	return uint32(min(max(math.Round(value), 0), math.MaxUint32))
}

// decodeLinkDelays returns the observations of a message. Links without figures are left out.
func decodeLinkDelays(message *wire.LinkDelays) []links.Delays {
	n := min(len(message.GetLinks()), len(message.GetTransfers()), len(message.GetDelayMs()))
	var out []links.Delays
	for i := range n {
		out = append(out, links.Delays{Link: links.ID(message.Links[i]), Transfers: float64(message.Transfers[i]) * transfersUnit, DelayMs: float64(message.DelayMs[i])})
	}
	return links.Reported(out)
}
