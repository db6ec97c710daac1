package keys_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"peridotpier.example/core/token"
	"peridotpier.example/node/event"
	"peridotpier.example/node/keys"
	"peridotpier.example/node/settings"
	"peridotpier.example/standin/pki"
)

// The files of a test's host.
const (
	certFile, keyFile, caFile = "certificate", "key", "authorities"
	resumeFile, saltFile      = "resume", "salt"
)

// bench is one host's ring over files in memory.
type bench struct {
	t     *testing.T
	ca    *pki.Authority
	files *pki.Files
	set   *settings.Settings
	logs  *observer.ObservedLogs
	log   *event.Log
}

func newBench(t *testing.T) *bench {
	t.Helper()
	ca, err := pki.New("test")
	assert.NilError(t, err)
	core, logs := observer.New(zapcore.DebugLevel)
	b := &bench{t: t, ca: ca, files: pki.NewFiles(), logs: logs, log: event.NewLog(zap.New(core))}
	b.issue(b.files, ca, pki.WithIPAddress("127.0.0.1"))
	b.files.Put(resumeFile, []byte(strings.Repeat("r", 32)))
	b.files.Put(saltFile, []byte(strings.Repeat("s", 32)))
	own := &settings.TLS{Certificate: certFile, Key: keyFile, Authorities: caFile}
	b.set = &settings.Settings{Peer: settings.Listener{Address: "127.0.0.1:0", TLS: own},
		Keys: settings.Keys{Resume: []settings.KeyFile{{ID: "k1", File: resumeFile}}, PrefixSalt: saltFile}}
	return b
}

func (b *bench) issue(files *pki.Files, ca *pki.Authority, changes ...pki.CertificateOption) {
	b.t.Helper()
	c, k, err := ca.Issue("host", changes...)
	assert.NilError(b.t, err)
	files.Put(certFile, c)
	files.Put(keyFile, k)
	files.Put(caFile, b.ca.PEM())
}

func (b *bench) load() *keys.Ring {
	b.t.Helper()
	r, err := keys.Load(keys.Config{Settings: b.set}, keys.Deps{Files: b.files, Log: b.log})
	assert.NilError(b.t, err)
	return r
}

// events takes the numbers of what was logged since the last call.
func (b *bench) events() []int {
	out := []int{}
	for _, e := range b.logs.TakeAll() {
		out = append(out, int(e.ContextMap()[event.FieldEvent].(int64)))
	}
	return out
}

// Symptom: a host goes out of service, or serves with half of a new pair, when
// its files are replaced.
// Sequence: files are copied one by one, or wrong ones are put in place.
// Cause: what was read is put in force before it is checked as a whole.
func TestWhatCannotBeUsedLeavesTheOldInForce(t *testing.T) {
	other, err := pki.New("other")
	assert.NilError(t, err)
	otherCert, _, err := other.Issue("host", pki.WithIPAddress("127.0.0.1"))
	assert.NilError(t, err)
	for _, c := range []struct {
		name  string
		spoil func(b *bench)
		event int
	}{
		{"certificate without its key", func(b *bench) { b.files.Put(certFile, otherCert) }, 1005},
		{"no PEM", func(b *bench) { b.files.Put(keyFile, []byte("half a fi")) }, 1005},
		{"expired", func(b *bench) { b.issue(b.files, b.ca, pki.WithIPAddress("127.0.0.1"), pki.WithExpiredValidity) }, 1005},
		{"another host's", func(b *bench) { b.issue(b.files, b.ca, pki.WithIPAddress("127.0.0.2")) }, 1005},
		{"no authorities", func(b *bench) { b.files.Put(caFile, nil) }, 1005},
		{"short resume key", func(b *bench) { b.files.Put(resumeFile, []byte("short")) }, 1005},
		{"missing", func(b *bench) { b.files.Remove(keyFile) }, 1005},
		{"touched, not changed", func(b *bench) { b.files.Put(caFile, b.ca.PEM()) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			r := b.load()
			signed, err := r.Encode(token.Token{Team: "a", Expires: time.Now().Add(time.Hour).Unix()})
			assert.NilError(t, err)
			c.spoil(b)
			r.Reload()
			r.Reload()
			want := []int{}
			if c.event != 0 {
				want = append(want, c.event) // once, not at each look
			}
			assert.DeepEqual(t, b.events(), want)
			assert.NilError(t, b.connect(r, r), "the old is not in force")
			_, err = r.Decode(signed, "a", time.Now())
			assert.NilError(t, err)
			if c.event != 0 {
				b.issue(b.files, b.ca, pki.WithIPAddress("127.0.0.1"))
				b.files.Put(resumeFile, []byte(strings.Repeat("n", 32)))
				r.Reload()
				assert.DeepEqual(t, b.events(), []int{1004, 1004}) // keys.resume and peer.tls
			}
		})
	}
}

// Symptom: streams cannot be resumed through some hosts while keys rotate.
// Sequence: hosts are at different stages of: new key last, new key first, old
// key dropped; a token signed at one stage is shown to a host at the next or
// the one before.
// Cause: a host signs with a key that another does not accept yet, or any more.
func TestHostsOneStageApartAcceptEachOthersTokens(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		name = filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	old := settings.KeyFile{ID: "k1", File: write("k1", strings.Repeat("1", 32))}
	fresh := settings.KeyFile{ID: "k2", File: write("k2", strings.Repeat("2", 32))}
	example, err := os.ReadFile("../../examples/settings.json")
	assert.NilError(t, err)
	set, faults := settings.Parse(example)
	assert.Equal(t, len(faults), 0, "%v", faults)
	set.Caller.TLS, set.Operator.TLS, set.Peer.TLS = nil, nil, nil
	set.Keys.PrefixSalt = write("salt", strings.Repeat("s", 32))
	stages := [][]settings.KeyFile{{old}, {old, fresh}, {fresh, old}, {fresh}}
	at := func(stage int) string {
		set.Keys.Resume = stages[stage]
		text, err := json.Marshal(set)
		assert.NilError(t, err)
		return string(text)
	}
	for signer := range stages {
		for checker := max(signer-1, 0); checker <= min(signer+1, len(stages)-1); checker++ {
			file := write("settings.json", at(0))
			ring, err := keys.Load(keys.Config{Settings: set, File: file}, keys.Deps{})
			assert.NilError(t, err)
			move := func(stage int) {
				write("settings.json", at(stage)+strings.Repeat(" ", 1+stage)) // another size: the clock of files is coarse
				ring.Reload()
			}
			move(signer)
			signed, err := ring.Encode(token.Token{Team: "a", Expires: time.Now().Add(time.Hour).Unix()})
			assert.NilError(t, err)
			move(checker)
			_, err = ring.Decode(signed, "a", time.Now())
			assert.NilError(t, err, "signed at stage %d, checked at %d", signer, checker)
		}
	}
}

// sameStamp hides changes from all but those who read.
type sameStamp struct{ *pki.Files }

func (sameStamp) Stamp(string) (string, error) { return "same", nil }

// Symptom: a host does not take a new file, or ends with its certificate
// without a word.
// Sequence: a file is replaced by a copy that keeps its time and size; nobody
// replaces a certificate.
// Cause: the file's stamp is taken for its content; nobody looks at its end.
func TestChangesAndEndsAreNoticedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		r, err := keys.Load(keys.Config{Settings: b.set, CheckInterval: time.Minute}, keys.Deps{Files: sameStamp{b.files}, Log: b.log})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		b.files.Put(resumeFile, []byte(strings.Repeat("n", 32)))
		time.Sleep(48 * time.Minute) // 32 looks at the slowest
		synctest.Wait()
		assert.DeepEqual(t, b.events(), []int{1004})
		time.Sleep(23*24*time.Hour - 2*time.Hour) // the certificate lasts 30 days
		synctest.Wait()
		assert.DeepEqual(t, b.events(), []int{})
		time.Sleep(27 * time.Hour)
		synctest.Wait()
		assert.DeepEqual(t, b.events(), []int{1006, 1006}) // once a day
		stop()
		assert.NilError(t, <-done)
	})
}
