package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// placeholder is one placeholder of a settings template, see DEPLOY.md.
var placeholder = regexp.MustCompile(`\{\{([#^/]?)([a-z_0-9.]+)(\|json)?\}\}|\{\{\.\}\}`)

// fill fills a settings template in. It knows the placeholders and sections that
// deploy/host.json.tmpl uses.
func fill(template string, fields map[string]any) string {
	for {
		at := placeholder.FindStringSubmatchIndex(template)
		if at == nil {
			return template
		}
		if at[2] < 0 {
			panic("placeholder of an entry outside of a section")
		}
		kind, name, asJSON := template[at[2]:at[3]], template[at[4]:at[5]], at[6] >= 0
		value, ok := lookUp(fields, name)
		if kind == "" {
			template = template[:at[0]] + render(value, ok, asJSON) + template[at[1]:]
			continue
		}
		end := "{{/" + name + "}}"
		inner, rest, found := strings.Cut(template[at[1]:], end)
		if !found {
			panic("section " + name + " has no end")
		}
		holds := ok && value != false
		if holds == (kind == "^") {
			inner = ""
		}
		template = template[:at[0]] + strings.ReplaceAll(inner, "{{.}}", render(value, ok, false)) + rest
	}
}

func lookUp(fields map[string]any, name string) (any, bool) {
	var at any = fields
	for _, part := range strings.Split(name, ".") {
		switch x := at.(type) {
		case map[string]any:
			v, ok := x[part]
			if !ok {
				return nil, false
			}
			at = v
		case []int:
			at = x[0] // the template uses the first port only
		default:
			return nil, false
		}
	}
	return at, true
}

func render(v any, ok, asJSON bool) string {
	if !ok {
		return ""
	}
	if s, isText := v.(string); isText && !asJSON {
		return s
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// machine is one machine of the system, with its process.
type machine struct {
	name, ip, zone             string
	front, ready, control, hop string // addresses
	settings                   string // path of the filled-in template
	log                        string
	cmd                        *exec.Cmd
	ended                      chan struct{}
}

// deployment is a small deployment of the system on loopback addresses.
type deployment struct {
	command  []string // that the deploy file names
	template string
	dir      string // for settings and logs
	machines []*machine
}

// deployFile is where the project says how it is built and run.
const deployFile = "deploy/system.toml"

// newDeployment reads the deploy file and prepares machines in the zones named.
func newDeployment(dir, store string, zones []string) (*deployment, error) {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	run, template := "", ""
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(v, `"`)
		}
		if v, ok := strings.CutPrefix(line, "template = "); ok {
			template = strings.Trim(v, `"`)
		}
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	d := &deployment{command: strings.Fields(run), template: string(text), dir: dir}
	d.stopOnSignal()
	var seeds []string
	for i, zone := range zones {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 11+i)}
		if err := freeAddresses(m.ip, &m.front, &m.ready, &m.control, &m.hop); err != nil {
			return nil, err
		}
		d.machines = append(d.machines, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.control)
		}
	}
	for _, m := range d.machines {
		if err := d.writeSettings(m, store, seeds); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freeAddresses finds different addresses at which nothing listens.
func freeAddresses(ip string, addresses ...*string) error {
	for _, a := range addresses {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer ln.Close() // once all are found
		*a = ln.Addr().String()
	}
	return nil
}

// writeSettings fills the template in with the fields of the small deployment of
// gfl-trims.
func (d *deployment) writeSettings(m *machine, store string, seeds []string) error {
	_, hopPort, _ := net.SplitHostPort(m.hop)
	var port int
	fmt.Sscan(hopPort, &port)
	fields := map[string]any{
		"node_name": m.name, "zone": m.zone, "ip": m.ip, "seeds": seeds, "first_start": true, "heartbeat_ms": 1200,
		"listen_addresses": map[string]any{"front": m.front, "ready": m.ready, "control": m.control},
		"internal_ports":   []int{port, port + 1},
		"platform":         map[string]any{"address": store},
		"limits":           map[string]any{"memory_mb": 284, "cpu_share": 0.4, "cores": 1, "link_mbps": 1000},
		"bounds": map[string]any{"grace_s": 8, "drain_ms": 2000, "budget_ratio": 0.2, "budget_slack": 52, "budget_window_s": 10,
			"lease_ms": 3000, "ceiling_window_s": 5, "ceiling_over": 1.1},
	}
	text := fill(d.template, fields)
	// The metrics port is fixed in the template; each machine has its own address.
	m.settings, m.log = filepath.Join(d.dir, m.name+".json"), filepath.Join(d.dir, m.name+".log")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts a machine's process.
func (d *deployment) start(m *machine) error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(d.command[0], d.command[1:]...)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTPIER_NODE_FILE=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) { _ = c.Wait(); close(ended) }(m.cmd, m.ended)
	return nil
}

// isReady asks a machine as the platform does.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until they are ready.
func (d *deployment) startAll(timeout time.Duration) error {
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			return err
		}
	}
	until := time.Now().Add(timeout)
	for _, m := range d.machines {
		for !m.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready within %v", m.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stopOnSignal ends all processes, and this one, when it is asked to end.
func (d *deployment) stopOnSignal() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-asked
		d.stopAll()
		os.Exit(noRun)
	}()
}

// stopAll ends all processes that were started.
func (d *deployment) stopAll() {
	for _, m := range d.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			<-m.ended
		}
	}
}
