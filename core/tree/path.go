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

// Path names a node of the tree: "/", "/region/R", "/data-centre/D",
// "/workspace/W", "/workspace/W/service/S" or "/workspace/W/service/S/route/N".
type Path string

// Root is the path of the deployment.
const Root Path = "/"

const (
	regionPrefix     = "/region/"
	dataCentrePrefix = "/data-centre/"
	workspacePrefix  = "/workspace/"
	servicePart      = "/service/"
	routePart        = "/route/"
)

// maxName is the longest DNS label; a service id is also a host name label.
const maxName = 63

// RegionPath returns the path of a region.
func RegionPath(r fleet.Region) Path { return Path(regionPrefix + string(r)) }

// DataCentrePath returns the path of a data centre.
func DataCentrePath(d fleet.DataCentre) Path { return Path(dataCentrePrefix + string(d)) }

// WorkspacePath returns the path of a workspace.
func WorkspacePath(w fleet.WorkspaceID) Path { return Path(workspacePrefix + string(w)) }

// ServicePath returns the path of a service.
func ServicePath(w fleet.WorkspaceID, s fleet.ServiceID) Path {
	return Path(workspacePrefix + string(w) + servicePart + string(s))
}

// RoutePath returns the path of a route.
func RoutePath(w fleet.WorkspaceID, s fleet.ServiceID, route string) Path {
	return Path(workspacePrefix + string(w) + servicePart + string(s) + routePart + route)
}

// spot is a parsed path.
type spot struct {
	level Level
	// name is the region, data centre or workspace.
	name    string
	service fleet.ServiceID
	route   string
}

func (s spot) serviceKey() serviceKey {
	return serviceKey{workspace: fleet.WorkspaceID(s.name), id: s.service}
}

// Level returns the level of the path, or an error that says what is allowed.
func (p Path) Level() (Level, error) {
	s, err := p.parse()
	return s.level, err
}

// Contains reports whether q is p or lies below p.
func (p Path) Contains(q Path) bool {
	if p == q || p == Root {
		return true
	}
	return strings.HasPrefix(string(q), string(p)+"/")
}

const pathAllowed = "/, /region/R, /data-centre/D, /workspace/W, /workspace/W/service/S or /workspace/W/service/S/route/N"

func (p Path) parse() (spot, error) {
	s, ok := p.split()
	if !ok {
		return spot{}, fmt.Errorf("path %q is malformed; allowed: %s", string(p), pathAllowed)
	}
	if s.level == LevelDeployment {
		return s, nil
	}
	if !validName(s.name) || (s.level == LevelRoute && !validName(s.route)) {
		return spot{}, fmt.Errorf("path %q holds a malformed name; allowed: %s", string(p), nameAllowed)
	}
	if s.level >= LevelService && !validLabel(string(s.service)) {
		return spot{}, fmt.Errorf("path %q holds a malformed service id; allowed: %s", string(p), labelAllowed)
	}
	return s, nil
}

func (p Path) split() (spot, bool) {
	text := string(p)
	if p == Root {
		return spot{level: LevelDeployment}, true
	}
	if name, ok := strings.CutPrefix(text, regionPrefix); ok {
		return spot{level: LevelRegion, name: name}, true
	}
	if name, ok := strings.CutPrefix(text, dataCentrePrefix); ok {
		return spot{level: LevelDataCentre, name: name}, true
	}
	rest, ok := strings.CutPrefix(text, workspacePrefix)
	if !ok {
		return spot{}, false
	}
	name, rest, below := strings.Cut(rest, servicePart)
	if !below {
		return spot{level: LevelWorkspace, name: name}, true
	}
	service, route, below := strings.Cut(rest, routePart)
	if !below {
		return spot{level: LevelService, name: name, service: fleet.ServiceID(service)}, true
	}
	return spot{level: LevelRoute, name: name, service: fleet.ServiceID(service), route: route}, true
}

const (
	nameAllowed  = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
	labelAllowed = "1 to 63 lower-case letters, digits or '-', starting and ending with a letter or digit"
)

func validName(s string) bool {
	if s == "" || len(s) > maxName || strings.ContainsRune("._-", rune(s[0])) {
		return false
	}
	for _, c := range []byte(s) {
		if !isLower(c) && !isDigit(c) && (c < 'A' || c > 'Z') && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func validLabel(s string) bool {
	if s == "" || len(s) > maxName || s[0] == '-' || s[len(s)-1] == '-' {
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
