package roster

import "time"

// ConfigHolders returns the members that recently reported a configuration with a
// version above newerThan, by version.
func (r *Roster) ConfigHolders(now time.Time, newerThan int64) map[int64][]Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[int64][]Member{}
	for _, e := range r.entries {
		ttl := remoteTTL
		if e.DataCentre == r.self.DataCentre {
			ttl = e.ttl()
		}
		if e.configVersion > newerThan && now.Sub(e.lastHeartbeat) < ttl {
			out[e.configVersion] = append(out[e.configVersion], e.Member)
		}
	}
	return out
}

// IsRemote reports whether the VM is known to be in another data centre.
func (r *Roster) IsRemote(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[vm]
	return e != nil && e.DataCentre != r.self.DataCentre
}
