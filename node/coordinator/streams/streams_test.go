package streams

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/event"
	"peridotpier.example/node/origin"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

// newKeeper returns a keeper of a host with a registry of its own.
func newKeeper(table store.Table, host string, acting *bool) (*Keeper, *origin.Registry) {
	r := origin.NewRegistry(time.Now())
	return New(Deps{Table: table, Registry: r, Host: host, Acting: func() bool { return *acting }, Log: event.NewLog(nil), Now: time.Now}), r
}

func record(k origin.Key) origin.Record {
	return origin.Record{Attempt: k, Content: k + 1000, Software: "v1", TTL: 20 * time.Second}
}

// Guards against streams that began while the store turned the acting host away, and that
// nobody writes once another host acts.
func TestAHostThatBeginsToActWritesWhatItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, acting := standin.NewTable(), false
		k, known := newKeeper(table, "a", &acting)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = k.Run(ctx) }()
		known.Put(record(1), time.Now())
		time.Sleep(2 * writeInterval)
		reader, read := newKeeper(table, "b", &acting)
		reader.Load(t.Context())
		assert.Assert(t, !read.Find(1, time.Now()).Known(), "it is not acting")
		acting = true
		known.Put(record(2), time.Now())
		time.Sleep(2 * writeInterval)
		reader.Load(t.Context())
		assert.Assert(t, !read.Find(1, time.Now()).Known(), "the rows were read a moment ago")
		time.Sleep(loadInterval)
		reader.Load(t.Context())
		for _, key := range []origin.Key{1, 2} {
			assert.Equal(t, read.Find(key, time.Now()).Software, "v1")
		}
		stop()
		synctest.Wait()
	})
}

// Guards against rows that grow with all streams that ever began, and against records that
// outlive their streams.
func TestARingOfRowsIsOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, acting := standin.NewTable(), true
		k, known := newKeeper(table, "a", &acting)
		for i := range 2 * ringSize {
			known.Put(record(origin.Key(i)), time.Now())
			k.write(t.Context())
			time.Sleep(writeInterval)
		}
		rows, err := table.List(t.Context(), "streams/", "", 10*ringSize)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), ringSize)
		reader, read := newKeeper(table, "b", &acting)
		reader.Load(t.Context())
		assert.Assert(t, read.Find(2*ringSize-1, time.Now()).Known())
		assert.Assert(t, !read.Find(ringSize+1, time.Now()).Known(), "its stream has ended")
	})
}

// Guards against a host that starts again, acts, and overwrites what its former process knew of
// streams that may still be taken up.
func TestARestartedHostKeepsTheRowsOfItsFormerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, acting := standin.NewTable(), true
		const processes, rows = 4, 3
		for process := range processes {
			k, known := newKeeper(table, "a", &acting)
			for i := range rows {
				known.Put(record(origin.Key(process*rows+i+1)), time.Now())
				k.write(t.Context())
				time.Sleep(writeInterval)
			}
		}
		reader, read := newKeeper(table, "b", &acting)
		reader.Load(t.Context())
		for k := origin.Key(1); k <= processes*rows; k++ {
			assert.Check(t, read.Find(k, time.Now()).Known(), "stream %d", k)
		}
	})
}

// Guards against a row of another release, or of somebody else, that ends the host.
func TestARowThatCannotBeReadSaysNothing(t *testing.T) {
	table, acting := standin.NewTable(), true
	_, err := table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "streams/x", Value: []byte("no rows")}, {Key: "streams/y"}}})
	assert.NilError(t, err)
	reader, read := newKeeper(table, "b", &acting)
	reader.Load(t.Context())
	assert.Equal(t, read.Len(), 0)
}

// busyTable receives a record of another stream during each write.
type busyTable struct {
	store.Table
	known  *origin.Registry
	writes int
}

func (b *busyTable) Commit(ctx context.Context, txn store.Txn) (version uint64, err error) {
	b.writes++
	b.known.Put(record(origin.Key(b.writes)), time.Now())
	return b.Table.Commit(ctx, txn)
}

// Guards against writes without a pause where streams begin faster than one write takes.
func TestRecordsThatArriveDuringAWriteWaitForTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, acting := &busyTable{Table: standin.NewTable()}, true
		k, known := newKeeper(table, "a", &acting)
		table.known = known
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = k.Run(ctx) }()
		synctest.Wait()
		known.Put(record(1000), time.Now())
		const intervals = 20
		time.Sleep(intervals * writeInterval)
		stop()
		synctest.Wait()
		assert.Assert(t, table.writes > intervals/2 && table.writes <= intervals, "%d writes", table.writes)
	})
}
