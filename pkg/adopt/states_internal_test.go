package adopt

import (
	"testing"

	"gotest.tools/v3/golden"
)

func TestStateMachineMatchesDiagram(t *testing.T) {
	golden.Assert(t, newStateMachine().ToGraph(), "../../../docs/machines/adoption.dot")
}
