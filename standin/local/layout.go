package local

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"

	"peridotpier.example/node/settings"
)

// LayoutFile is the name of the file that holds a Layout.
const LayoutFile = "layout.json"

// Layout gives the addresses, keys and settings files of a site whose parts run as
// separate processes.
type Layout struct {
	Site        string        `json:"site"`
	StandIns    string        `json:"stand_ins"` // URL of the platform's services and of the stand-ins' records
	OperatorKey string        `json:"operator_key_file"`
	Team        string        `json:"team"`
	TeamKey     string        `json:"team_key"`
	Entries     []EntryLayout `json:"entries"`
	Engines     []string      `json:"engines"` // IP:port
}

// EntryLayout describes one entry host; `peridotpier serve --settings` runs it.
type EntryLayout struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Settings   string `json:"settings"`
	Caller     string `json:"caller"` // IP:port, as Operator and Peer
	Operator   string `json:"operator"`
	Peer       string `json:"peer"`
}

// ReadLayout reads the layout file of a folder.
func ReadLayout(dir string) (*Layout, error) {
	data, err := os.ReadFile(filepath.Join(dir, LayoutFile))
	if err != nil {
		return nil, eris.Wrap(err, "read layout")
	}
	var l Layout
	return &l, eris.Wrap(json.Unmarshal(data, &l), "read layout")
}

// writeLayout writes the layout file atomically: a process that waits for the file must
// not read an incomplete one.
func writeLayout(dir string, l *Layout) error {
	path := filepath.Join(dir, LayoutFile)
	if err := writeJSON(path+".part", l); err != nil {
		return err
	}
	return eris.Wrap(os.Rename(path+".part", path), "write layout")
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o600), "write")
}

// operatorKeyFile is the name of the file that holds the key of the operator "bench".
const operatorKeyFile = "operator-key"

// writeSecrets writes the secrets that all hosts share, and the operator's key.
func writeSecrets(dir string) error {
	for name, secret := range map[string]string{ResumeKeyFile: ResumeSecret, PrefixSaltFile: PrefixSaltSecret, operatorKeyFile: OperatorKey} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(secret), 0o600); err != nil {
			return eris.Wrap(err, "write key")
		}
	}
	return nil
}

// writeEntry chooses the addresses of an entry host and writes its settings file.
func writeEntry(dir, host, dataCentre, platformURL string) (EntryLayout, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return EntryLayout{}, err
	}
	e := EntryLayout{Host: host, DataCentre: dataCentre, Settings: filepath.Join(dir, host+".json"),
		Caller: addresses[0], Operator: addresses[1], Peer: addresses[2]}
	set := Settings(host, dataCentre)
	set.Caller.Address, set.Operator.Address, set.Peer.Address = e.Caller, e.Operator, e.Peer
	set.Platform = settings.Platform{Table: platformURL, Objects: platformURL, Hosts: platformURL, Weights: platformURL}
	set.Keys = settings.Keys{Resume: []settings.KeyFile{{ID: "k1", File: filepath.Join(dir, ResumeKeyFile)}},
		PrefixSalt: filepath.Join(dir, PrefixSaltFile)}
	set.SetDefaults()
	return e, writeJSON(e.Settings, set)
}

// Hosts get ports below the ephemeral ports of the system. An ephemeral port would often
// be taken by some connection before its host starts, so that the host could not listen.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freeAddresses returns n addresses on loopback whose ports are free now. It listens on
// all of them at once, so that none is returned twice, and closes them for the host that
// will use them.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for port := firstPort + rand.IntN(lastPort-firstPort); len(out) < n; port++ {
		if port > lastPort {
			return nil, eris.New("no free ports")
		}
		ln, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // port in use
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
