package lease

import (
	"testing"

	"gotest.tools/v3/golden"
)

func TestStateMachineMatchesItsDiagram(t *testing.T) {
	golden.Assert(t, newStateMachine().ToGraph(), "../../../docs/machines/lease.dot")
}
