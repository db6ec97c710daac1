// Package command changes the state that all hosts of a site share: the
// configuration, the preset in force, and where the audit trail is kept.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/config"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

// putRetryPause is the wait before a document is stored again after the answer was
// lost.
const putRetryPause = 50 * time.Millisecond

// Deps are the dependencies of the commands. Now and Log may be nil.
type Deps struct {
	Table   store.Table
	Objects store.Objects
	Log     *event.Log
	Now     func() time.Time
}

// Configuration executes commands that change the configuration or the preset in
// force.
type Configuration struct{ deps Deps }

// NewConfiguration returns a Configuration that uses time.Now and discards log events
// where deps has no clock or log.
func NewConfiguration(deps Deps) *Configuration {
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Log == nil {
		deps.Log = event.NewLog(nil)
	}
	return &Configuration{deps: deps}
}

// ApplyRequest is an operator's request to apply a new configuration.
type ApplyRequest struct {
	Author   string
	Parent   uint64 // the version that the document is based on; 0: there is none yet
	Document []byte
	Preset   string // to put in force; "": the one in force now, or else the document's first
}

// UsePresetRequest is an operator's request to put another preset in force.
type UsePresetRequest struct {
	Author string
	Parent uint64 // the version that the operator saw; 0: any
	Preset string
}

// InvalidError lists the faults of a configuration document.
type InvalidError struct{ Faults []config.Fault }

// maxShownFaults is the maximum number of faults in an error message.
// InvalidError.Faults has all of them.
const maxShownFaults = 5

// Error implements error. The message has the first faults only.
func (e *InvalidError) Error() string {
	var lines []string
	for _, f := range e.Faults[:min(len(e.Faults), maxShownFaults)] {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("invalid configuration, %d faults: %s", len(e.Faults), strings.Join(lines, "; "))
}

// ConflictError means that another change was committed first. The command changed
// nothing.
type ConflictError struct {
	Parent  uint64
	Current revision.Head
}

// Error implements error. The message names the change in force and says what to
// do.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is in force (by %s at %s), not %d: look at it, then repeat the change upon it",
		e.Current.Version, e.Current.Author, e.Current.At.Format(time.RFC3339), e.Parent)
}

// Apply checks a configuration and puts it in force, with its audit entry, in one
// conditional write. Its errors are fault.Errors that wrap an InvalidError, a
// ConflictError or an error of package store; store.ErrUnconfirmed means that ctx
// ended before the outcome of the write was known.
func (c *Configuration) Apply(ctx context.Context, a ApplyRequest) (revision.Head, error) {
	cfg, faults := config.Parse(a.Document)
	if len(faults) > 0 {
		return revision.Head{}, refuse(fault.CodeBadRequest, &InvalidError{faults})
	}
	cur, err := c.readHead(ctx)
	if err != nil {
		return revision.Head{}, err
	}
	if cur.head.Version != a.Parent {
		return cur.head, refuse(fault.CodeConflict, &ConflictError{a.Parent, cur.head})
	}
	preset, err := choosePreset(cfg, a.Preset, cur.head.Preset)
	if err != nil {
		return revision.Head{}, err
	}
	old, err := c.readDocument(ctx, cur.head)
	if err != nil {
		return revision.Head{}, err
	}
	digest := revision.Digest(a.Document)
	if err := c.putDocument(ctx, digest, a.Document); err != nil {
		return revision.Head{}, err
	}
	return c.commit(ctx, cur, revision.Entry{Action: revision.ActionApply, Changes: revision.Changes(old, cfg),
		Head: revision.Head{Digest: digest, Preset: preset, Author: a.Author}})
}

// UsePreset puts another preset in force, with its audit entry, in one conditional
// write. If the preset is in force already, it writes nothing.
func (c *Configuration) UsePreset(ctx context.Context, u UsePresetRequest) (revision.Head, error) {
	cur, err := c.readHead(ctx)
	if err != nil {
		return revision.Head{}, err
	}
	if u.Parent != 0 && u.Parent != cur.head.Version {
		return cur.head, refuse(fault.CodeConflict, &ConflictError{u.Parent, cur.head})
	}
	cfg, err := c.readDocument(ctx, cur.head)
	if err != nil {
		return revision.Head{}, err
	}
	if cfg == nil {
		return revision.Head{}, refuse(fault.CodeNotFound, errors.New("no configuration yet: apply one first"))
	}
	if _, err := choosePreset(cfg, u.Preset, ""); err != nil {
		return revision.Head{}, err
	}
	if u.Preset == cur.head.Preset {
		return cur.head, nil
	}
	return c.commit(ctx, cur, revision.Entry{Action: revision.ActionPreset,
		Changes: []string{fmt.Sprintf("preset %s to %s", cur.head.Preset, u.Preset)},
		Head:    revision.Head{Digest: cur.head.Digest, Preset: u.Preset, Author: u.Author}})
}

// maxRewritten bounds how many lost versions one call of Rewrite writes again, with an
// audit entry for each.
const maxRewritten = 90

// Rewrite writes a head that was in force again, if the table has an older one, as after it
// was restored from a copy: otherwise hosts that start would use the older version, and
// the numbers of the lost versions would be given out again. It does nothing if the table
// has the head or a newer one.
func (c *Configuration) Rewrite(ctx context.Context, head revision.Head) error {
	cur, err := c.readHead(ctx)
	if err != nil || cur.head.Version >= head.Version {
		return err
	}
	value, err := json.Marshal(head)
	if err != nil {
		return fault.From(fault.StepConfig, err)
	}
	txn := store.Txn{Op: uuid.NewString(), Conds: []store.Cond{{Key: revision.HeadKey, Version: cur.version}},
		Writes: []store.Write{{Key: revision.HeadKey, Value: value}}}
	for v := max(cur.head.Version+1, head.Version-min(maxRewritten, head.Version)+1); v <= head.Version; v++ {
		e := revision.Entry{Head: head, Action: revision.ActionRewrite, FromVersion: cur.head.Version, FromDigest: cur.head.Digest, FromPreset: cur.head.Preset,
			Changes: []string{"lost by the table, which was restored from a copy"}}
		e.Version = v
		entry, err := json.Marshal(e)
		if err != nil {
			return fault.From(fault.StepConfig, err)
		}
		txn.Writes = append(txn.Writes, store.Write{Key: revision.AuditKey(v), Value: entry})
	}
	if _, err := store.CommitResolved(ctx, c.deps.Table, txn); err != nil {
		return storeError(fault.StepTable, err, "write version %d again", head.Version)
	}
	c.deps.Log.Emit(event.ConfigRewritten, zap.Uint64("version", head.Version), zap.Uint64("was", cur.head.Version))
	return nil
}

// headRow is the head in force with the version of its row.
type headRow struct {
	head    revision.Head
	version uint64
}

func (c *Configuration) readHead(ctx context.Context) (headRow, error) {
	rows, err := c.deps.Table.Get(ctx, revision.HeadKey)
	if err != nil {
		return headRow{}, storeError(fault.StepTable, err, "read the head")
	}
	if len(rows) == 0 {
		return headRow{version: store.Absent}, nil
	}
	head, err := revision.Decode[revision.Head](rows[0].Value)
	if err != nil {
		return headRow{}, fault.From(fault.StepConfig, err)
	}
	return headRow{head, rows[0].Version}, nil
}

// readDocument reads the configuration of a head. It returns nil if there is none
// yet.
func (c *Configuration) readDocument(ctx context.Context, h revision.Head) (*config.Config, error) {
	if h.Version == 0 {
		return nil, nil
	}
	compressed, err := c.deps.Objects.Get(ctx, revision.DocumentName(h.Digest))
	if err != nil {
		return nil, storeError(fault.StepObject, err, "read the document in force")
	}
	doc, err := revision.DecompressVerified(compressed, h.Digest)
	if err != nil {
		return nil, fault.From(fault.StepConfig, err)
	}
	cfg := new(config.Config)
	if err := json.Unmarshal(doc, cfg); err != nil {
		return nil, fault.From(fault.StepConfig, eris.Wrap(err, "document in force"))
	}
	return cfg, nil
}

// putDocument stores a document. It must be called before the head that refers to
// the document is written: a head must never refer to a missing document. A
// document that remains after a lost race is harmless. A conflict means that the
// same document is stored already, compressed in another way.
func (c *Configuration) putDocument(ctx context.Context, digest string, doc []byte) error {
	compressed, err := revision.Compress(doc)
	if err != nil {
		return fault.From(fault.StepConfig, err)
	}
	for {
		err := c.deps.Objects.Put(ctx, revision.DocumentName(digest), compressed)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if !errors.Is(err, store.ErrUnconfirmed) || !pace.Sleep(ctx, putRetryPause) {
			// The head is unchanged, so the command did not run even if this write took effect.
			return fault.NotRun(fault.StepObject, "platform", fault.CodeStoreUnavailable, "store the document: %w", err)
		}
	}
}

func (c *Configuration) commit(ctx context.Context, cur headRow, e revision.Entry) (revision.Head, error) {
	e.Version, e.At = cur.head.Version+1, c.deps.Now().UTC()
	e.FromVersion, e.FromDigest, e.FromPreset = cur.head.Version, cur.head.Digest, cur.head.Preset
	head, err := json.Marshal(e.Head)
	if err != nil {
		return revision.Head{}, fault.From(fault.StepConfig, err)
	}
	entry, err := json.Marshal(e)
	if err != nil {
		return revision.Head{}, fault.From(fault.StepConfig, err)
	}
	_, err = store.CommitResolved(ctx, c.deps.Table, store.Txn{Op: uuid.NewString(),
		Conds: []store.Cond{{Key: revision.HeadKey, Version: cur.version}},
		Writes: []store.Write{{Key: revision.HeadKey, Value: head},
			{Key: revision.AuditKey(e.Version), Value: entry}}})
	if errors.Is(err, store.ErrConflict) {
		return c.lostRace(ctx, cur)
	}
	if err != nil {
		return revision.Head{}, storeError(fault.StepTable, err, "put version %d in force", e.Version)
	}
	c.deps.Log.Emit(event.ConfigCommitted, zap.Uint64("version", e.Version), zap.String("preset", e.Preset),
		zap.String("author", e.Author), zap.String("action", string(e.Action)))
	return e.Head, nil
}

// lostRace returns the ConflictError of a commit that lost against another change,
// and reads that change for the message.
func (c *Configuration) lostRace(ctx context.Context, cur headRow) (revision.Head, error) {
	winner, err := c.readHead(ctx)
	if err != nil {
		winner = headRow{}
	}
	return winner.head, refuse(fault.CodeConflict, &ConflictError{cur.head.Version, winner.head})
}

// choosePreset returns the preset to put in force with cfg: the wanted one, else
// the one in force, else the first. The preset must exist in cfg.
func choosePreset(cfg *config.Config, wanted, inForce string) (string, error) {
	if wanted == "" {
		wanted = inForce
	}
	if wanted == "" {
		return cfg.Presets[0].Name, nil
	}
	var names []string
	for _, p := range cfg.Presets {
		if p.Name == wanted {
			return wanted, nil
		}
		names = append(names, p.Name)
	}
	return "", refuse(fault.CodeBadRequest, &InvalidError{[]config.Fault{{Path: "presets",
		Problem: fmt.Sprintf("preset %q is to be in force, there are only %s", wanted, strings.Join(names, ", "))}}})
}

func refuse(code fault.Code, err error) error {
	return fault.NotRun(fault.StepConfig, "", code, "%w", err)
}

// storeError wraps an error of package store for the operator. The outcome is "not
// run", unless the answer was lost.
func storeError(step fault.Step, err error, format string, args ...any) error {
	err = eris.Wrapf(err, format, args...)
	if errors.Is(err, store.ErrUnconfirmed) {
		return fault.Unknown(step, "platform", fault.CodeOutcomeUnknown, "%w", err)
	}
	return fault.NotRun(step, "platform", fault.CodeStoreUnavailable, "%w", err)
}
