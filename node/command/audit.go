package command

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/event"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

// The archiving of the audit trail.
const (
	// retainedRows is how many of the newest entries stay in the table: those of
	// a few hours at 3,200 changes a day.
	retainedRows = 500
	// archiveInterval is the mean time between two checks for a full batch. At
	// 3,200 changes a day a batch of 100 entries fills in 45 minutes.
	archiveInterval = 10 * time.Minute
	// minLeaseLeft is how much time the lease must have left before the rows of a
	// batch are deleted: the deletion may take as long.
	minLeaseLeft = 3 * time.Second
)

// ArchiverLeaseName is the name of the archiver's lease.
const ArchiverLeaseName = "audit-archive"

// Archiver moves old audit entries from the table to the object store, while this
// process holds the lease AuditLease.
type Archiver struct {
	deps Deps
	role *lease.Lease
}

// NewArchiver returns an archiver that acts under the lease role. The caller must
// run the lease.
func NewArchiver(deps Deps, role *lease.Lease) *Archiver {
	if deps.Log == nil {
		deps.Log = event.NewLog(nil)
	}
	return &Archiver{deps: deps, role: role}
}

// Run archives until ctx ends.
func (a *Archiver) Run(ctx context.Context) error {
	for pace.Sleep(ctx, pace.DefaultRand().Jitter(archiveInterval, 0.1)) {
		for moved, err := a.ArchiveNext(ctx); moved || err != nil; moved, err = a.ArchiveNext(ctx) {
			if err != nil {
				a.deps.Log.Emit(event.AuditArchiveFailed, zap.Error(err))
				break
			}
		}
	}
	return ctx.Err()
}

// ArchiveNext moves one batch, if this process holds the lease and a batch is due,
// and reports whether it did. The object is written first; then the rows are
// deleted in a write that is conditional on the lease's term. A reader thus finds
// each entry in one place or in both, and two archivers cannot move the same batch.
func (a *Archiver) ArchiveNext(ctx context.Context) (moved bool, err error) {
	term, ok := a.role.Term()
	if !ok {
		return false, nil
	}
	rows, err := a.deps.Table.Get(ctx, revision.HeadKey, revision.ArchiveKey)
	if err != nil {
		return false, storeError(fault.StepTable, err, "read the archive's state")
	}
	var head revision.Head
	var batch, rowVersion uint64
	for _, r := range rows {
		if r.Key == revision.HeadKey {
			head, err = revision.Decode[revision.Head](r.Value)
		} else {
			rowVersion = r.Version
			batch, err = strconv.ParseUint(string(r.Value), 10, 64)
		}
		if err != nil {
			return false, fault.From(fault.StepConfig, err)
		}
	}
	if _, last := revision.BatchVersions(batch); last+retainedRows > head.Version {
		return false, nil
	}
	return a.move(ctx, term, batch, rowVersion)
}

func (a *Archiver) move(ctx context.Context, term lease.Term, batch, rowVersion uint64) (bool, error) {
	first, last := revision.BatchVersions(batch)
	rows, err := a.deps.Table.List(ctx, revision.AuditPrefix, revision.AuditKey(last+1), revision.BatchSize)
	if err != nil {
		return false, storeError(fault.StepTable, err, "read batch %d", batch)
	}
	entries := make([]json.RawMessage, 0, len(rows))
	writes := []store.Write{{Key: revision.ArchiveKey, Value: strconv.AppendUint(nil, batch+1, 10)}}
	for _, r := range rows {
		entries = append(entries, r.Value)
		writes = append(writes, store.Write{Key: r.Key, Delete: true})
	}
	if uint64(len(rows)) != last-first+1 || rows[len(rows)-1].Key != revision.AuditKey(first) {
		return false, fault.From(fault.StepConfig, errors.New("audit batch "+strconv.FormatUint(batch, 10)+" has a gap"))
	}
	data, err := json.Marshal(entries)
	if err != nil {
		return false, fault.From(fault.StepConfig, err)
	}
	if err := a.deps.Objects.Put(ctx, revision.ArchiveName(batch), data); err != nil {
		return false, storeError(fault.StepObject, err, "store batch %d", batch)
	}
	if err := a.role.Check(term.Epoch, minLeaseLeft); err != nil {
		return false, nil
	}
	_, err = store.CommitResolved(ctx, a.deps.Table, store.Txn{Op: uuid.NewString(), Writes: writes,
		Conds: []store.Cond{term.Guard, {Key: revision.ArchiveKey, Version: rowVersion}}})
	if err != nil {
		return false, storeError(fault.StepTable, err, "drop batch %d", batch)
	}
	a.deps.Log.Emit(event.AuditArchived, zap.Uint64("first", first), zap.Uint64("last", last))
	return true, nil
}
