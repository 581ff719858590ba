package keeper

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/wire"
)

// maxExpiryMs is the largest expiry that can be computed with as a time.Duration.
const maxExpiryMs = math.MaxInt64 / 4 / int64(time.Millisecond)

// decodeLease decodes a row of the table of leases, which another writer may have changed.
// sound is false if it cannot be decoded or has numbers that no lease has.
func decodeLease(r fleet.Row, generation core.Generation) (decoded lease.StoreLeaseRow, sound bool) {
	var row wire.LeaseRow
	if proto.Unmarshal(r.Value, &row) != nil || row.UntilMs < 0 || row.UntilMs > maxExpiryMs {
		return lease.StoreLeaseRow{}, false
	}
	return lease.StoreLeaseRow{
		Holder: core.NodeID(row.Holder), Incarnation: core.Incarnation(row.Incarnation),
		Fence: core.Fence(row.Fence), Expiry: time.Duration(row.UntilMs) * time.Millisecond,
	}, core.Fence(row.Fence) <= lease.MaxFence(generation)
}

// unsoundRows are the versions of the listed rows that are not sound.
type unsoundRows struct {
	versions map[string]uint64
	// found is the number of those that were found since the last call of take.
	found int64
}

// record logs and counts each row that is not sound once.
func (u *unsoundRows) record(page fleet.StoreResponse, log logrus.FieldLogger) {
	listed := make(map[string]uint64)
	for _, r := range page.Rows {
		if _, sound := decodeLease(r, page.Generation); sound {
			continue
		}
		listed[r.Key] = r.Version
		if version, known := u.versions[r.Key]; !known || version != r.Version {
			u.found++
			log.WithFields(logrus.Fields{"event": "lease_row_unsound", "key": r.Key, "version": r.Version}).Warn("row of the leases cannot be used; its lease is not acquired while the row exists")
		}
	}
	u.versions = listed
}

// take returns the number of rows found since the last call.
func (u *unsoundRows) take() int64 {
	found := u.found
	u.found = 0
	return found
}
