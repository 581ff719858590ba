package backlog

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// TTL is the time after which a summary no longer counts that its sender has not replaced. A
// front sends one every 200 ms. Summaries pass two collectors, which adds up to three pauses of
// that length, so that all fronts forget the work of one that has stopped within 1.2 s.
const TTL = 400 * time.Millisecond

// Board contains the newest summary of each sender, which is a front or a collector that has
// added up the summaries of several.
type Board struct {
	entries map[core.NodeID]boardEntry
}

type boardEntry struct {
	summary    Summary
	receivedAt time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{entries: make(map[core.NodeID]boardEntry)} }

// Put replaces the summary of a sender.
func (b *Board) Put(now time.Time, sender core.NodeID, s Summary) {
	b.entries[sender] = boardEntry{summary: s.Bounded(), receivedAt: now}
}

// Others returns the sum of the summaries of all senders but one.
func (b *Board) Others(now time.Time, except core.NodeID) Summary {
	var sum Summary
	for sender, e := range b.entries {
		switch {
		case now.Sub(e.receivedAt) > TTL:
			delete(b.entries, sender)
		case sender != except:
			sum = Add(sum, e.summary)
		}
	}
	return sum
}
