package tree

import (
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Origin says where an effective value comes from.
type Origin struct {
	// Path is where the value is set; it is empty for a default.
	Path Path `json:"path,omitempty"`
	// Level is the level of Path.
	Level string `json:"level,omitempty"`
	// Default reports that no level sets the key.
	Default bool `json:"default,omitempty"`
	// Preset names the detection preset that determines the default value.
	Preset string `json:"preset,omitempty"`
}

// chainNode is a node of an inheritance chain, with its path.
type chainNode struct {
	path Path
	node *node
}

// inheritanceChain lists the nodes from which a path takes its values, from the
// most specific level to the most general one. Its level is the one of the path.
type inheritanceChain struct {
	level Level
	nodes []chainNode
}

// find returns the entry of the most specific node that sets the key, and the path
// of that node.
func (c inheritanceChain) find(k *Key) (entry, Path, bool) {
	for _, n := range c.nodes {
		if e, found := n.node.findKey(k); found {
			return e, n.path, true
		}
	}
	return entry{}, "", false
}

func (c inheritanceChain) hasInvalidValue() bool {
	for _, n := range c.nodes {
		if n.node.hasInvalidValue() {
			return true
		}
	}
	return false
}

// effective returns the effective value of a key. T must be the type that the
// key's parser returns.
func effective[T any](chain inheritanceChain, k *Key) T {
	if e, _, found := chain.find(k); found {
		return e.parsed.(T)
	}
	return k.defaultValue(chain).(T)
}

// chainOf returns the inheritance chain of a path: route, service, workspace,
// region of the service, deployment. Values of a data centre apply to targets
// only, so the data centre is added by withDataCentre.
func (d *Document) chainOf(loc location) inheritanceChain {
	chain := inheritanceChain{level: loc.level}
	if loc.level >= LevelRoute {
		chain.appendNode(RoutePath(fleet.WorkspaceID(loc.name), loc.service, loc.route), d.node(loc))
	}
	if loc.level >= LevelService {
		chain.appendNode(loc.serviceKey().path(), d.serviceNode(loc.serviceKey()))
	}
	switch loc.level {
	case LevelRegion:
		chain.appendNode(RegionPath(fleet.Region(loc.name)), d.node(loc))
	case LevelDataCentre:
		chain.appendNode(DataCentrePath(fleet.DataCentre(loc.name)), d.node(loc))
	case LevelWorkspace, LevelService, LevelRoute:
		chain.appendNode(WorkspacePath(fleet.WorkspaceID(loc.name)), d.workspaces.find(fleet.WorkspaceID(loc.name)))
	}
	if loc.level >= LevelService {
		region := d.regionOf(loc.serviceKey())
		chain.appendNode(RegionPath(region), d.regions.nodes[string(region)])
	}
	chain.appendNode(Root, d.root)
	return chain
}

// appendNode adds a more general node at the end; a nil node is skipped.
func (c *inheritanceChain) appendNode(p Path, n *node) {
	if n != nil {
		c.nodes = append(c.nodes, chainNode{path: p, node: n})
	}
}

// prepend returns the chain with a node of a more specific level in front.
func (c inheritanceChain) prepend(level Level, p Path, n *node) inheritanceChain {
	nodes := make([]chainNode, 0, len(c.nodes)+1)
	nodes = append(nodes, chainNode{path: p, node: n})
	return inheritanceChain{level: level, nodes: append(nodes, c.nodes...)}
}

// withDataCentre returns the chain of a target of the service: service,
// workspace, data centre of the target, region, deployment.
func (c inheritanceChain) withDataCentre(dataCentre fleet.DataCentre, dataCentreNode *node) inheritanceChain {
	if dataCentreNode == nil {
		return c
	}
	nodes := make([]chainNode, 0, len(c.nodes)+1)
	added := false
	for _, cn := range c.nodes {
		level, _ := cn.path.Level()
		if !added && level <= LevelRegion {
			nodes = append(nodes, chainNode{path: DataCentrePath(dataCentre), node: dataCentreNode})
			added = true
		}
		nodes = append(nodes, cn)
	}
	return inheritanceChain{level: c.level, nodes: nodes}
}

// serviceNode returns the node of a service, or nil.
func (d *Document) serviceNode(key serviceKey) *node {
	if svc := d.services[key]; svc != nil {
		return svc.node
	}
	return nil
}

// regionOf returns the region of a service, or "" if none or an invalid one is set.
func (d *Document) regionOf(key serviceKey) fleet.Region {
	if e, found := d.serviceNode(key).findKey(keyRegion); found && e.problem == nil {
		return fleet.Region(e.parsed.(string))
	}
	return ""
}

// Effective returns the effective value of a key at a path and its origin. The
// error is of kind fault.NotFound for an unknown path, and of kind
// fault.SettingsInvalid for a malformed path or an unknown key.
func (d *Document) Effective(p Path, key string) (Value, Origin, error) {
	loc, k, err := d.locate(p, key)
	if err != nil {
		return Value{}, Origin{}, err
	}
	value, origin := d.chainOf(loc).effectiveWithOrigin(k)
	return value, origin, nil
}

// EffectiveForTarget returns the effective value of a key for a target of the
// service at the path. It takes the values of the target's data centre into account.
func (d *Document) EffectiveForTarget(p Path, id fleet.TargetID, key string) (Value, Origin, error) {
	loc, k, err := d.locate(p, key)
	if err != nil {
		return Value{}, Origin{}, err
	}
	chain := d.chainOf(loc)
	for _, t := range effective[[]TargetEntry](chain, keyTargets) {
		if t.ID == id {
			value, origin := chain.withDataCentre(t.DataCentre, d.dataCentres.nodes[string(t.DataCentre)]).effectiveWithOrigin(k)
			return value, origin, nil
		}
	}
	return Value{}, Origin{}, fault.New(fault.NotFound, "target %q at %s", id, p)
}

// locate resolves the path and the key of a lookup.
func (d *Document) locate(p Path, key string) (location, *Key, error) {
	loc, err := p.parse()
	if err != nil {
		return location{}, nil, invalidError([]Problem{{Path: p, Allowed: pathAllowed}})
	}
	k, found := KeyByName(key)
	if !found {
		return location{}, nil, invalidError([]Problem{{Path: p, Key: key, Allowed: "a key of the registry"}})
	}
	if d.node(loc) == nil {
		return location{}, nil, fault.New(fault.NotFound, "path %s", p)
	}
	return loc, k, nil
}

// effectiveWithOrigin returns the effective value of a key and its origin.
func (c inheritanceChain) effectiveWithOrigin(k *Key) (Value, Origin) {
	if e, p, found := c.find(k); found {
		level, _ := p.Level()
		return Value{Raw: e.raw, Parsed: e.parsed}, Origin{Path: p, Level: level.String()}
	}
	value := k.defaultValue(c)
	origin := Origin{Default: true}
	if k.fromPreset {
		origin.Preset = effective[string](c, keyDetection)
	}
	return Value{Raw: encodeValue(value), Parsed: value}, origin
}
