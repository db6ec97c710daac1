package query

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/revision"
)

// AuditReader reads the audit trail, both from the table and from the archive in
// the object store.
type AuditReader struct{ deps Deps }

// NewAuditReader returns an AuditReader of the table and the object store in deps.
func NewAuditReader(deps Deps) *AuditReader { return &AuditReader{deps: deps} }

// Page returns up to limit entries below version before, newest first; with before
// 0 it starts at the newest. For the next page, pass the version of the last entry;
// a page with fewer entries than limit is the last one. Every version has exactly
// one entry, so a version that is not in the table is in the object store: the
// archiver writes there before it deletes rows.
func (a *AuditReader) Page(ctx context.Context, before uint64, limit int) ([]revision.Entry, error) {
	after := ""
	if before > 0 {
		after = revision.AuditKey(before)
	}
	rows, err := a.deps.Table.List(ctx, revision.AuditPrefix, after, limit)
	if err != nil {
		return nil, eris.Wrap(err, "list the audit trail")
	}
	if before == 0 && len(rows) == 0 {
		return nil, nil
	}
	var out []revision.Entry
	for _, r := range rows {
		e, err := revision.Decode[revision.Entry](r.Value)
		if err != nil {
			return nil, err
		}
		if next := nextVersion(out, before); next != 0 && e.Version != next {
			break // the entries in between were archived after the list was read
		}
		out = append(out, e)
	}
	for next := nextVersion(out, before); len(out) < limit && next > 0; next = nextVersion(out, before) {
		batch, err := a.archived(ctx, next)
		if err != nil {
			return nil, err
		}
		out = append(out, batch[:min(len(batch), limit-len(out))]...)
	}
	return out, nil
}

// nextVersion returns the version that follows the entries read so far, in
// descending order; 0: there is none, or it is not known yet.
func nextVersion(read []revision.Entry, before uint64) uint64 {
	if len(read) > 0 {
		return read[len(read)-1].Version - 1
	}
	return max(before, 1) - 1
}

// archived returns the archived entries of a version's batch, from that version
// downwards.
func (a *AuditReader) archived(ctx context.Context, version uint64) ([]revision.Entry, error) {
	data, err := a.deps.Objects.Get(ctx, revision.ArchiveName(revision.BatchOf(version)))
	if err != nil {
		return nil, eris.Wrapf(err, "audit entry of version %d", version)
	}
	batch, err := revision.Decode[[]revision.Entry](data)
	if err != nil {
		return nil, err
	}
	for i, e := range batch {
		if e.Version == version {
			return batch[i:], nil
		}
	}
	return nil, fmt.Errorf("audit entry of version %d is in neither store", version)
}
