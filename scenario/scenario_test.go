package scenario

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// TestMain runs the test binary as a relay host if a script started it as one.
func TestMain(m *testing.M) {
	deployment.RunChild()
	os.Exit(m.Run())
}

// Guards against faults that show only in whole processes. The first line of each script names the failure and the
// guarantee.
func TestScenarios(t *testing.T) {
	testscript.Run(t, Params("testdata"))
}
