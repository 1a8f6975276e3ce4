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
	// Default says that no level sets the key.
	Default bool `json:"default,omitempty"`
	// Preset names the detection preset that gives the default.
	Preset string `json:"preset,omitempty"`
}

// link is one level of an inheritance chain.
type link struct {
	path Path
	node *node
}

// view is the inheritance chain of one path, from special to general.
type view struct {
	level Level
	links []link
}

func (v view) find(k *Key) (entry, Path, bool) {
	for _, l := range v.links {
		if e, found := l.node.find(k); found {
			return e, l.path, true
		}
	}
	return entry{}, "", false
}

func (v view) faulty() bool {
	for _, l := range v.links {
		if l.node.faulty() {
			return true
		}
	}
	return false
}

// get returns the effective typed value of a key; the type is the one that the
// key's parser returns.
func get[T any](v view, k *Key) T {
	if e, _, found := v.find(k); found {
		return e.val.(T)
	}
	return k.fallback(v).(T)
}

// viewOf returns the chain of a path: route, service, workspace, the region of
// the service, deployment. Data centre values apply to targets only and so
// stand in the chain of a target alone.
func (d *Doc) viewOf(s spot) view {
	v := view{level: s.level}
	if s.level >= LevelRoute {
		v.add(RoutePath(fleet.WorkspaceID(s.name), s.service, s.route), d.node(s))
	}
	if s.level >= LevelService {
		v.add(s.serviceKey().path(), d.ownOf(s.serviceKey()))
	}
	switch s.level {
	case LevelRegion:
		v.add(RegionPath(fleet.Region(s.name)), d.node(s))
	case LevelDataCentre:
		v.add(DataCentrePath(fleet.DataCentre(s.name)), d.node(s))
	case LevelWorkspace, LevelService, LevelRoute:
		v.add(WorkspacePath(fleet.WorkspaceID(s.name)), d.spaces.find(fleet.WorkspaceID(s.name)))
	}
	if s.level >= LevelService {
		region := d.regionOf(s.serviceKey())
		v.add(RegionPath(region), d.regions.nodes[string(region)])
	}
	v.add(Root, d.root)
	return v
}

func (v *view) add(p Path, n *node) {
	if n != nil {
		v.links = append(v.links, link{path: p, node: n})
	}
}

// below returns the chain with one more special level in front.
func (v view) below(l Level, p Path, n *node) view {
	links := make([]link, 0, len(v.links)+1)
	links = append(links, link{path: p, node: n})
	return view{level: l, links: append(links, v.links...)}
}

// atTarget returns the chain of a target: service, workspace, data centre,
// region, deployment.
func (v view) atTarget(centre fleet.DataCentre, n *node) view {
	if n == nil {
		return v
	}
	links := make([]link, 0, len(v.links)+1)
	added := false
	for _, l := range v.links {
		level, _ := l.path.Level()
		if !added && level <= LevelRegion {
			links = append(links, link{path: DataCentrePath(centre), node: n})
			added = true
		}
		links = append(links, l)
	}
	return view{level: v.level, links: links}
}

func (d *Doc) ownOf(key serviceKey) *node {
	if svc := d.services[key]; svc != nil {
		return svc.own
	}
	return nil
}

func (d *Doc) regionOf(key serviceKey) fleet.Region {
	if e, found := d.ownOf(key).find(keyRegion); found && e.bad == nil {
		return fleet.Region(e.val.(string))
	}
	return ""
}

// Effective returns the value of a key at a path and where it comes from. It
// returns fault.NotFound for an unknown path and fault.SettingsInvalid for an
// unknown key.
func (d *Doc) Effective(p Path, key string) (Value, Origin, error) {
	s, k, err := d.locate(p, key)
	if err != nil {
		return Value{}, Origin{}, err
	}
	value, origin := d.viewOf(s).explain(k)
	return value, origin, nil
}

// EffectiveTarget returns the value of a key for one target of the service at
// the path, which includes the values of the target's data centre.
func (d *Doc) EffectiveTarget(p Path, id fleet.TargetID, key string) (Value, Origin, error) {
	s, k, err := d.locate(p, key)
	if err != nil {
		return Value{}, Origin{}, err
	}
	v := d.viewOf(s)
	for _, t := range get[[]TargetEntry](v, keyTargets) {
		if t.ID == id {
			value, origin := v.atTarget(t.DataCentre, d.centres.nodes[string(t.DataCentre)]).explain(k)
			return value, origin, nil
		}
	}
	return Value{}, Origin{}, fault.New(fault.NotFound, "target %q at %s", id, p)
}

func (d *Doc) locate(p Path, key string) (spot, *Key, error) {
	s, err := p.parse()
	if err != nil {
		return spot{}, nil, invalid([]Problem{{Path: p, Allowed: pathAllowed}})
	}
	k, known := KeyFor(key)
	if !known {
		return spot{}, nil, invalid([]Problem{{Path: p, Key: key, Allowed: "a key of the registry"}})
	}
	if d.node(s) == nil {
		return spot{}, nil, fault.New(fault.NotFound, "path %s", p)
	}
	return s, k, nil
}

func (v view) explain(k *Key) (Value, Origin) {
	if e, p, found := v.find(k); found {
		level, _ := p.Level()
		return Value{Raw: e.raw, Parsed: e.val}, Origin{Path: p, Level: level.String()}
	}
	val := k.fallback(v)
	origin := Origin{Default: true}
	if k.preset {
		origin.Preset = get[string](v, keyDetection)
	}
	return Value{Raw: encodeValue(val), Parsed: val}, origin
}
