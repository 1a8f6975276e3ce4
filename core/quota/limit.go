package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards into which workspaces are divided; each has a
// coordinator.
const ShardCount = 4

// Shard is the number of a shard, from 0 to ShardCount-1.
type Shard uint8

// WorkspaceHash stands for the name of a workspace in messages.
type WorkspaceHash uint64

// HashWorkspace returns the hash of the name of a workspace.
func HashWorkspace(name string) WorkspaceHash {
	return WorkspaceHash(xxhash.Sum64String(name))
}

// Shard returns the shard of the workspace.
func (h WorkspaceHash) Shard() Shard {
	return Shard(h % ShardCount)
}

// Limit is the quota of a workspace: Rate requests per second and Burst requests besides.
// A rate of 0 means no limit.
type Limit struct {
	Rate  float64
	Burst float64
}

// DefaultWindow is the window of the bound if the settings have none.
const DefaultWindow = 5 * time.Second

// Policy is the bound on what the fleet executes for a workspace: in each Window at most
// rate x Window + burst, multiplied by 1 + Overage, plus Slack requests.
type Policy struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// burstPart is the part of the tolerance by which buckets are larger than the burst. The
// requests of callers and the tokens that daemons hold do not arrive as evenly as one
// bucket for the whole fleet would see them.
const burstPart = 0.25

// tolerance returns the number of requests in a window beyond rate x Window + burst that
// the bound allows.
func (p *Policy) tolerance(l Limit) float64 {
	return p.Overage*(l.Rate*p.Window.Seconds()+l.Burst) + p.Slack
}

// capacity returns the size of the bucket of a coordinator that holds a fraction of the
// shares. With any share it holds a token, because a smaller bucket would never grant one.
func (p *Policy) capacity(l Limit, fraction float64) float64 {
	if fraction <= 0 {
		return 0
	}
	return max(1, fraction*(l.Burst+burstPart*p.tolerance(l)))
}
