package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

const (
	// marksTable contains the marks of generations.
	marksTable Table = "generations"
	// maxRemovedMarks is the number of marks that one transaction removes, of the 100
	// entries that it may have.
	maxRemovedMarks = 90
)

// GenerationMark is a row that binds writes of other rows to one generation of the
// store's content. It is for rows whose keys are given and cannot contain the generation.
//
// A write that got no response may take effect after a restore, when the version of the
// row that it replaces may have been assigned again. A marked write is also conditional on
// the mark of its generation, and removes the marks of older generations. Once a row has
// been written in a generation, no write of an older one can therefore change it. The key
// of a mark is used by one transaction only, so that its version cannot be that of another
// row.
type GenerationMark struct {
	// Generation is the generation that the mark belongs to.
	Generation core.Generation
	// condition is met while the mark exists. older contains the marks to remove.
	condition Row
	older     []Row
}

// ReadGenerationMark returns a mark of the store's generation, and writes one if there is
// none. The error is that of the store, or has the kind errs.Conflict if the store was
// restored meanwhile.
func ReadGenerationMark(ctx context.Context, store Store) (GenerationMark, error) {
	page, err := store.Rows(ctx, marksTable)
	if err != nil {
		return GenerationMark{}, err
	}
	mark, ok := newGenerationMark(page)
	if ok {
		return mark, nil
	}
	key := fmt.Sprintf("%d/%016x", page.Generation, rand.Uint64())
	created := Transaction{Conditions: []Row{{Table: marksTable, Key: key}}, Puts: []Row{{Table: marksTable, Key: key, Value: []byte(key)}}, Removes: mark.older}
	if _, err := store.Commit(ctx, created); err != nil {
		return GenerationMark{}, err
	}
	if page, err = store.Rows(ctx, marksTable); err != nil {
		return GenerationMark{}, err
	}
	if mark, ok = newGenerationMark(page); !ok {
		return GenerationMark{}, errs.New(errs.Conflict, "read the marks again", "the metadata store was restored after the mark was written")
	}
	return mark, nil
}

// newGenerationMark returns the mark of the page's generation. ok is false if there is
// none, or if more older marks have to be removed than one transaction can.
func newGenerationMark(page StoreResponse) (mark GenerationMark, ok bool) {
	mark.Generation = page.Generation
	for _, row := range page.Rows {
		prefix, _, _ := strings.Cut(row.Key, "/")
		generation, err := strconv.ParseUint(prefix, 10, 64)
		switch {
		case err == nil && core.Generation(generation) == page.Generation:
			mark.condition, ok = Row{Table: marksTable, Key: row.Key, Version: row.Version}, true
		case len(mark.older) < maxRemovedMarks:
			mark.older = append(mark.older, Row{Table: marksTable, Key: row.Key})
		default:
			return mark, false
		}
	}
	return mark, ok
}

// Bind returns the transaction with the condition that the store's content is of the
// mark's generation. The versions in its other conditions must have been read in that
// generation.
func (m GenerationMark) Bind(tx Transaction) Transaction {
	tx.Conditions = append(tx.Conditions, m.condition)
	tx.Removes = append(tx.Removes, m.older...)
	return tx
}
