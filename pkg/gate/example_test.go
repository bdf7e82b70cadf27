package gate_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func ExampleGate() {
	var g gate.Gate
	g.Configure(gate.Config{Slots: 2})
	permit, err := g.Acquire(context.Background(), mesh.Urgent, time.Now().Add(time.Minute))
	fmt.Println(err, g.Load().Percent())
	permit.Release(gate.Result{})

	err = g.Drain(context.Background())
	fmt.Println(err)
	_, err = g.Acquire(context.Background(), mesh.Urgent, time.Time{})
	var rejected *gate.RejectedError
	fmt.Println(errors.As(err, &rejected), rejected.Reason)
	// Output:
	// <nil> 50
	// <nil>
	// true draining
}
