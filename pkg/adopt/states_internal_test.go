package adopt

import (
	"testing"

	"gotest.tools/v3/golden"
)

func TestMachineEqualsItsDrawing(t *testing.T) {
	golden.Assert(t, newMachine().ToGraph(), "../../../docs/machines/adoption.dot")
}
