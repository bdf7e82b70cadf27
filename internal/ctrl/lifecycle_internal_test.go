package ctrl

import (
	"testing"

	"gotest.tools/v3/golden"
)

func TestLifecycleMachineMatchesDiagram(t *testing.T) {
	golden.Assert(t, newLifecycleMachine().ToGraph(), "../../../docs/machines/node.dot")
}
