package tree

import (
	"fmt"
	"strings"

	"wisteriarelay.example/core/fleet"
)

// Level is a level of the settings tree, from general to specific.
type Level uint8

// The levels of the settings tree.
const (
	LevelDeployment Level = iota
	LevelRegion
	LevelDataCentre
	LevelWorkspace
	LevelService
	LevelRoute
	levelCount
)

var levelNames = [levelCount]string{"deployment", "region", "data-centre", "workspace", "service", "route"}

// String returns the kebab-case name of the level.
func (l Level) String() string {
	if l >= levelCount {
		return "unknown"
	}
	return levelNames[l]
}

// Path identifies a node of the tree: "/", "/region/R", "/data-centre/D",
// "/workspace/W", "/workspace/W/service/S" or "/workspace/W/service/S/route/N".
type Path string

// Root is the path of the deployment.
const Root Path = "/"

const (
	regionPrefix     = "/region/"
	dataCentrePrefix = "/data-centre/"
	workspacePrefix  = "/workspace/"
	serviceSegment   = "/service/"
	routeSegment     = "/route/"
)

// maxNameLength is the maximum length of a DNS label, because a service id is
// also a label of a host name.
const maxNameLength = 63

// RegionPath returns the path of a region.
func RegionPath(r fleet.Region) Path { return Path(regionPrefix + string(r)) }

// DataCentrePath returns the path of a data centre.
func DataCentrePath(d fleet.DataCentre) Path { return Path(dataCentrePrefix + string(d)) }

// WorkspacePath returns the path of a workspace.
func WorkspacePath(w fleet.WorkspaceID) Path { return Path(workspacePrefix + string(w)) }

// ServicePath returns the path of a service.
func ServicePath(w fleet.WorkspaceID, s fleet.ServiceID) Path {
	return Path(workspacePrefix + string(w) + serviceSegment + string(s))
}

// RoutePath returns the path of a route.
func RoutePath(w fleet.WorkspaceID, s fleet.ServiceID, route string) Path {
	return Path(workspacePrefix + string(w) + serviceSegment + string(s) + routeSegment + route)
}

// location is a parsed path.
type location struct {
	level Level
	// name is the name of the region, data centre or workspace.
	name    string
	service fleet.ServiceID
	route   string
}

func (loc location) serviceKey() serviceKey {
	return serviceKey{workspace: fleet.WorkspaceID(loc.name), id: loc.service}
}

// Level returns the level of the path. The error for a malformed path says what
// is allowed.
func (p Path) Level() (Level, error) {
	loc, err := p.parse()
	return loc.level, err
}

// Contains reports whether q is p or a path below p.
func (p Path) Contains(q Path) bool {
	if p == q || p == Root {
		return true
	}
	return strings.HasPrefix(string(q), string(p)+"/")
}

const pathAllowed = "/, /region/R, /data-centre/D, /workspace/W, /workspace/W/service/S or /workspace/W/service/S/route/N"

// parse splits the path and checks its names.
func (p Path) parse() (location, error) {
	loc, ok := p.split()
	if !ok {
		return location{}, fmt.Errorf("path %q is malformed; allowed: %s", string(p), pathAllowed)
	}
	if loc.level == LevelDeployment {
		return loc, nil
	}
	if !validName(loc.name) || (loc.level == LevelRoute && !validName(loc.route)) {
		return location{}, fmt.Errorf("path %q holds a malformed name; allowed: %s", string(p), nameAllowed)
	}
	if loc.level >= LevelService && !validDNSLabel(string(loc.service)) {
		return location{}, fmt.Errorf("path %q holds a malformed service id; allowed: %s", string(p), labelAllowed)
	}
	return loc, nil
}

// split splits the path without checking its names. It returns false if the path
// has no known form.
func (p Path) split() (location, bool) {
	text := string(p)
	if p == Root {
		return location{level: LevelDeployment}, true
	}
	if name, ok := strings.CutPrefix(text, regionPrefix); ok {
		return location{level: LevelRegion, name: name}, true
	}
	if name, ok := strings.CutPrefix(text, dataCentrePrefix); ok {
		return location{level: LevelDataCentre, name: name}, true
	}
	rest, ok := strings.CutPrefix(text, workspacePrefix)
	if !ok {
		return location{}, false
	}
	name, rest, found := strings.Cut(rest, serviceSegment)
	if !found {
		return location{level: LevelWorkspace, name: name}, true
	}
	service, route, found := strings.Cut(rest, routeSegment)
	if !found {
		return location{level: LevelService, name: name, service: fleet.ServiceID(service)}, true
	}
	return location{level: LevelRoute, name: name, service: fleet.ServiceID(service), route: route}, true
}

const (
	nameAllowed  = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
	labelAllowed = "1 to 63 lower-case letters, digits or '-', starting and ending with a letter or digit"
)

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength || strings.ContainsRune("._-", rune(s[0])) {
		return false
	}
	for _, c := range []byte(s) {
		if !isLower(c) && !isDigit(c) && (c < 'A' || c > 'Z') && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func validDNSLabel(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, c := range []byte(s) {
		if !isLower(c) && !isDigit(c) && c != '-' {
			return false
		}
	}
	return true
}

func isLower(c byte) bool { return c >= 'a' && c <= 'z' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
