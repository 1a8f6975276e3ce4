package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/tailscale/hujson"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/daemon"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
)

const (
	daemonsPerDataCentre = 2
	loopbackAddress      = "127.0.0.1:0"
	// startTimeout limits the time until all daemons are ready.
	startTimeout = 20 * time.Second
)

// Fleet consists of the platform, the targets and the daemons of a demo.
type Fleet struct {
	Platform        *stand.Platform
	Doc             *tree.Document
	Region          fleet.Region
	DataCentres     []fleet.DataCentre
	authority       *inner.Authority
	logger          log.Logger
	listeners       map[string]net.Listener
	servers         []*http.Server
	platformAddress string

	// mu guards listeners and daemons once the daemons are started.
	mu      sync.Mutex
	targets map[fleet.TargetID]*stand.Target
	daemons []*Node
}

// Node is one daemon of the fleet.
type Node struct {
	*daemon.Daemon
	VM fleet.VM
}

// settingsReason returns the reason why the daemon's settings are or are not ready.
func (n *Node) settingsReason() string {
	parts, _ := n.State("settings").(map[string]any)
	if state, ok := parts["settings"].(*settle.FollowerState); ok {
		return state.Reason
	}
	return ""
}

// NewFleet starts the platform and the targets that the settings file names. The
// targets get loopback addresses instead of those in the file.
func NewFleet(settingsFile string, logger log.Logger) (*Fleet, error) {
	authority, err := inner.NewAuthority()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Platform:  stand.NewPlatform(),
		authority: authority,
		logger:    logger,
		listeners: map[string]net.Listener{},
		targets:   map[fleet.TargetID]*stand.Target{},
	}
	if f.platformAddress, err = f.serve(f.Platform); err != nil {
		return nil, err
	}
	if err := f.loadSettings(settingsFile); err != nil {
		return nil, err
	}
	changelog := settle.NewChangelog(f.Platform.Table(), settle.WithObjects(f.Platform.Objects()))
	_, _, err = changelog.Bootstrap(context.Background(), f.Doc, f.Doc.Owners()[0])
	return f, err
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s server) run() {
	_ = s.http.Serve(s.listener)
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	f.servers = append(f.servers, s)
	go server{http: s, listener: l}.run()
	return l.Addr().String(), nil
}

// loadSettings reads the settings file, starts a stand-in for each of its targets
// and sets a short address TTL.
func (f *Fleet) loadSettings(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fault.Wrap(err, fault.ConfigInvalid, "settings file cannot be read")
	}
	if data, err = hujson.Standardize(data); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "%s: not valid JSON with comments", file)
	}
	var nodes map[string]map[string]json.RawMessage
	if err := json.Unmarshal(data, &nodes); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "%s: not an object of paths", file)
	}
	for path, keys := range nodes {
		f.addLocation(path)
		if err := f.startTargets(keys); err != nil {
			return err
		}
	}
	slices.Sort(f.DataCentres)
	nodes["/"]["address-ttl"] = json.RawMessage(`"2s"`)
	if data, err = json.Marshal(nodes); err != nil {
		return err
	}
	f.Doc, err = tree.Decode(data)
	return err
}

// addLocation records the region or the data centre that a settings path declares.
func (f *Fleet) addLocation(path string) {
	if name, ok := strings.CutPrefix(path, "/data-centre/"); ok {
		f.DataCentres = append(f.DataCentres, fleet.DataCentre(name))
	}
	if name, ok := strings.CutPrefix(path, "/region/"); ok {
		f.Region = fleet.Region(name)
	}
}

// targetEntry is one entry of the settings key "targets".
type targetEntry struct {
	ID         fleet.TargetID   `json:"id"`
	Address    string           `json:"address"`
	DataCentre fleet.DataCentre `json:"data-centre"`
}

// startTargets starts a stand-in for each target of a service and replaces the
// target's address in the settings.
func (f *Fleet) startTargets(keys map[string]json.RawMessage) error {
	raw, ok := keys["targets"]
	if !ok {
		return nil
	}
	var entries []targetEntry
	if err := json.Unmarshal(raw, &entries); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "key targets")
	}
	for i := range entries {
		t := stand.NewTarget(string(entries[i].ID))
		address, err := f.serve(t)
		if err != nil {
			return err
		}
		entries[i].Address = address
		f.targets[entries[i].ID] = t
	}
	changed, err := json.Marshal(entries)
	keys["targets"] = changed
	return err
}

// Target returns the stand-in of a target, or nil if there is none.
func (f *Fleet) Target(id fleet.TargetID) *stand.Target {
	return f.targets[id]
}

// RunCounts returns how often each order key was executed, summed over all targets.
func (f *Fleet) RunCounts() map[string]int {
	counts := map[string]int{}
	for _, t := range f.targets {
		for _, r := range t.Executions() {
			counts[strings.Trim(r.Key, `"`)]++
		}
	}
	return counts
}

// StartDaemons starts the daemons of all data centres and waits until they are ready.
func (f *Fleet) StartDaemons(ctx context.Context) error {
	for _, dc := range f.DataCentres {
		for i := range daemonsPerDataCentre {
			vm, err := f.reserveVM(fleet.VMID(fmt.Sprintf("%s-%d", dc, i+1)), dc)
			if err != nil {
				return err
			}
			if err := f.Platform.PutVM(ctx, vm); err != nil {
				return err
			}
			f.daemons = append(f.daemons, &Node{VM: vm})
		}
	}
	for _, n := range f.daemons {
		if err := f.startNode(ctx, n); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// reserveVM opens the listeners of a VM, so that its addresses are known before its
// daemon starts.
func (f *Fleet) reserveVM(id fleet.VMID, dc fleet.DataCentre) (fleet.VM, error) {
	vm := fleet.VM{ID: id, Region: f.Region, DataCentre: dc}
	for _, address := range []*string{&vm.CallerAddress, &vm.PeerAddress, &vm.AdminAddress} {
		l, err := net.Listen("tcp", loopbackAddress)
		if err != nil {
			return vm, err
		}
		*address = l.Addr().String()
		f.mu.Lock()
		f.listeners[*address] = l
		f.mu.Unlock()
	}
	return vm, nil
}

// reservedListener returns the listener that reserveVM opened for an address.
func (f *Fleet) reservedListener(address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listeners[address], nil
}

// startNode starts the daemon of a VM whose listeners are open already. Its seeds are
// other daemons of the fleet.
func (f *Fleet) startNode(ctx context.Context, n *Node) error {
	id, err := f.authority.Issue(n.VM.ID)
	if err != nil {
		return err
	}
	s := config.Defaults()
	s.VM, s.Region, s.DataCentre = n.VM.ID, n.VM.Region, n.VM.DataCentre
	s.CallerAddress, s.InnerAddress, s.AdminAddress = n.VM.CallerAddress, n.VM.PeerAddress, n.VM.AdminAddress
	s.PlatformURL = "http://" + f.platformAddress
	s.FleetSecrets = []config.Secret{config.Secret("demo-secret-0123456789")}
	s.Operators = f.operators()
	for _, other := range f.Nodes() {
		if other.VM.ID != n.VM.ID && len(s.Seeds) < maxSeeds {
			s.Seeds = append(s.Seeds, other.VM.PeerAddress)
		}
	}
	n.Daemon, err = daemon.New(s, daemon.WithIdentity(id), daemon.WithListen(f.reservedListener), daemon.WithLogger(f.logger))
	if err != nil {
		return err
	}
	return n.Start(ctx)
}

const maxSeeds = 3

// Nodes returns all daemons of the fleet, including those that have stopped.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.daemons)
}

// AddDaemon starts one more daemon in a data centre. It is missing from the VM list
// if the platform does not accept writes.
func (f *Fleet) AddDaemon(ctx context.Context, id fleet.VMID, dc fleet.DataCentre) (*Node, error) {
	vm, err := f.reserveVM(id, dc)
	if err != nil {
		return nil, err
	}
	_ = f.Platform.PutVM(ctx, vm)
	n := &Node{VM: vm}
	if err := f.startNode(ctx, n); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.daemons = append(f.daemons, n)
	f.mu.Unlock()
	return n, nil
}

func (f *Fleet) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range f.Nodes() {
		for !n.Ready() {
			if !sleep(ctx, readyPollInterval) || time.Now().After(deadline) {
				return fault.New(fault.NotReady, "daemon %s is not ready", n.VM.ID)
			}
		}
	}
	return nil
}

const readyPollInterval = 20 * time.Millisecond

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// targetState returns a target's state and the reason for it, as seen by the first
// daemon that carries its service.
func (f *Fleet) targetState(id fleet.TargetID) (state, reason string) {
	for _, n := range f.Nodes() {
		if s, r, ok := n.TargetState(id); ok {
			return s, r
		}
	}
	return "", ""
}

// Close stops all daemons and servers immediately, without a graceful shutdown.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		n.Kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}
