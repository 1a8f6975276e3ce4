package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
)

// The ports of each daemon, which has a loopback address of its own.
const (
	frontPort     = 8548
	readyPort     = 8542
	controlPort   = 8544
	directoryPort = 8546
	innerPort     = 7540
	innerPortLast = 7555
)

// The bounds of a small deployment, as in DEPLOY.md.
var bounds = map[string]any{
	"grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56,
}

// daemon is one process of the project.
type daemon struct {
	name, zone, ip string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
}

func (d *daemon) address(port int) string { return net.JoinHostPort(d.ip, strconv.Itoa(port)) }

// randomIP returns an address of the loopback network, so that the ports there are free.
func randomIP() string {
	octet := func() int { return 1 + rand.IntN(250) }
	return fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(250), octet(), octet())
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// render fills the template of the deploy file in.
func render(template string, fields map[string]any) (string, error) {
	var missing error
	out := placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value, ok := lookup(fields, strings.Split(m[1], "."))
		if !ok {
			missing = fmt.Errorf("no field %q for the template", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			missing = err
		}
		return string(data)
	})
	return out, missing
}

func lookup(v any, path []string) (any, bool) {
	if len(path) == 0 {
		return v, true
	}
	switch t := v.(type) {
	case map[string]any:
		next, ok := t[path[0]]
		if !ok {
			return nil, false
		}
		return lookup(next, path[1:])
	case []int:
		i, err := strconv.Atoi(path[0])
		if err != nil || i >= len(t) {
			return nil, false
		}
		return t[i], true
	}
	return nil, false
}

// writeSettings renders the settings of the daemon.
func (d *daemon) writeSettings(root, storeAddress string, seeds []string, firstStart bool) error {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.json.tmpl"))
	if err != nil {
		return err
	}
	text, err := render(string(template), map[string]any{
		"node_name": d.name, "zone": d.zone, "region": "ar-costa", "ip": d.ip,
		"listen": map[string]any{
			"front": d.address(frontPort), "ready": d.address(readyPort),
			"control": d.address(controlPort), "directory": d.address(directoryPort),
		},
		"internal_ports": []int{innerPort, innerPortLast},
		"platform":       map[string]any{"address": storeAddress},
		"seeds":          seeds,
		"first_start":    firstStart,
		"bounds":         bounds,
		"limits":         map[string]any{"memory_mb": 284, "cpu_share": 0.32, "cores": 1, "link_mbps": 1000.0},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(root string) error {
	d.cmd = exec.Command(filepath.Join(root, "target", "wisteriad"), "relay")
	d.cmd.Dir = root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WISTERIARELAY_CONFIG=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	// The process ends with this one.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.cmd.Start()
}

func (d *daemon) kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
	}
}
