package member

import (
	"testing"

	"gotest.tools/v3/golden"
)

func TestStateMachineMatchesGraph(t *testing.T) {
	golden.Assert(t, newUpstreamMachine().ToGraph(), "../../../docs/machines/upstream.dot")
}
