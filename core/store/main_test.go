package store_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one thread at a time. The race detector's context
// of a synctest bubble's timers is shared by all threads of the bubble, and
// runs of core/daemon on several threads ended in a crash of the runtime.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
