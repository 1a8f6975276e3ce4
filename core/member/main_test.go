package member

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one thread at a time. In a synctest bubble, all threads
// share one race detector context for timers; tests of core/daemon on several
// threads crashed the runtime.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
