package ctrl

import (
	"testing"

	"gotest.tools/v3/golden"
)

func TestLifeMachineEqualsItsDrawing(t *testing.T) {
	golden.Assert(t, newLifeMachine().ToGraph(), "../../../docs/machines/node.dot")
}
