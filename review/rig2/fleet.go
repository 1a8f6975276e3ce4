package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine, as in the settings on the pages.
const memoryMB = 284

// ports are the ports of a daemon, the same on all machines.
type ports struct {
	front, directory, ready, inner, metrics int
}

// Daemon is one process of the deploy file.
type Daemon struct {
	name, ip, settings string
	ports              ports
	record             *Record
	log                *os.File
	cmd                *exec.Cmd
}

// Fleet is the daemons of a small deployment.
type Fleet struct {
	Daemons []*Daemon
	dir     string
}

// randomHost returns a loopback address that other runs hardly use.
func randomHost() string {
	octet := func() int { return 1 + rand.IntN(250) }
	return fmt.Sprintf("127.%d.%d.%d", octet(), octet(), octet())
}

// freePorts returns ports that are free at all hosts.
func freePorts(hosts []string) (ports, error) {
	for range 50 {
		first := 7000 + rand.IntN(2000)*5
		if isFree(hosts, first) {
			return ports{front: first, directory: first + 1, ready: first + 2, inner: first + 3, metrics: first + 4}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func isFree(hosts []string, first int) bool {
	for _, h := range hosts {
		for p := first; p < first+5; p++ {
			l, err := net.Listen("tcp4", net.JoinHostPort(h, strconv.Itoa(p)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// NewFleet writes the settings of a daemon in each of the zones. They have the keys and
// values that deploy/settings.json.tmpl gives for a deployment like those on the pages.
func NewFleet(dir string, store string, zones []string, record *Record) (*Fleet, error) {
	var hosts []string
	for range zones {
		hosts = append(hosts, randomHost())
	}
	p, err := freePorts(hosts)
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir}
	for i, zone := range zones {
		at := func(port int) string { return net.JoinHostPort(hosts[i], strconv.Itoa(port)) }
		var seeds []string
		for _, h := range hosts[:min(3, len(hosts))] {
			seeds = append(seeds, net.JoinHostPort(h, strconv.Itoa(p.ready)))
		}
		d := &Daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: hosts[i], ports: p, record: record}
		d.settings = filepath.Join(dir, d.name+".json")
		settings := map[string]any{
			"vm": d.name, "data-centre": zone, "region": "region-1",
			"caller-address": at(p.front), "address-address": at(p.directory), "ready-address": at(p.ready),
			"inner-address": at(p.inner), "metrics-address": at(p.metrics), "store-address": store,
			"seeds": seeds, "first-start": true, "shutdown-s": 6,
			"retry-budget": map[string]any{"ratio": 0.2, "span-s": 10, "slack": 56},
			"memory-mb":    memoryMB, "cpu-share": 0.32, "cpu-speed": 1, "link-mbit": 1000.0,
		}
		if err := d.write(settings); err != nil {
			return nil, err
		}
		f.Daemons = append(f.Daemons, d)
	}
	return f, nil
}

func (d *Daemon) write(settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, data, 0o600)
}

// setFirstStart says in the settings whether the fleet starts for the first time.
func (d *Daemon) setFirstStart(first bool) error {
	data, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		return err
	}
	settings["first-start"] = first
	return d.write(settings)
}

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start() error {
	if d.log == nil {
		log, err := os.Create(d.settings + ".log")
		if err != nil {
			return err
		}
		d.log = log
	}
	d.cmd = exec.Command("target/wisteriad", "relay")
	d.cmd.Env = append(os.Environ(), "WISTERIARELAY_CONFIG="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	// The daemon ends with the rig, however that ends.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.record.Logf("%s starts", d.name)
	return d.cmd.Start()
}

// Kill ends the process at once.
func (d *Daemon) Kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.record.Logf("%s killed", d.name)
	d.cmd = nil
}

// Front returns the address for consumers.
func (d *Daemon) Front() string {
	return net.JoinHostPort(d.ip, strconv.Itoa(d.ports.front))
}

// directory returns the address for consumers that ask where to connect.
func (d *Daemon) directory() string {
	return net.JoinHostPort(d.ip, strconv.Itoa(d.ports.directory))
}

// Ready asks the daemon whether it is ready, as the platform does.
func (d *Daemon) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(d.ip, strconv.Itoa(d.ports.ready)) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartAll starts all daemons.
func (f *Fleet) StartAll() error {
	for _, d := range f.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// KillAll kills all daemons at the same time.
func (f *Fleet) KillAll() {
	for _, d := range f.Daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
		}
	}
	for _, d := range f.Daemons {
		d.Kill()
	}
}

// AwaitReady waits until all daemons are ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, d := range f.Daemons {
		for !d.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
