package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/internal/fakeup"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

var upstreamCommand = command{
	Name:      "upstream",
	Arguments: "CUSTOMER/SERVICE",
	Summary:   "runs a fake upstream that announces itself to its host's node, for trials",
	Example:   "upstream trauerhaus/notices --node 127.0.0.1:8082",
	Prepare: func(flags *flag.FlagSet) runFunc {
		node := addressFlag(flags, "node", "admin `ADDRESS` of the host's node", "127.0.0.1:8082")
		listen := addressFlag(flags, "listen", "`ADDRESS` to serve on", "127.0.0.1:0")
		slots := flags.Int("slots", fakeup.DefaultSlots, "requests that are served concurrently")
		connections := flags.Int("connections", fakeup.DefaultMaxConnections, "maximum number of open connections")
		service := flags.Duration("service-time", 5*time.Millisecond, "time taken to serve a request")
		cold := flags.Duration("cold-start", 0, "time after the start during which requests are served more slowly")
		return func(ctx context.Context, c invocation) error {
			if len(c.args) != 1 {
				return newInputError("want one CUSTOMER/SERVICE")
			}
			id, err := mesh.ParseServiceID(c.args[0])
			if err != nil {
				return &inputError{err: err}
			}
			return runUpstream(ctx, c, fakeup.Options{
				Customer: id.Customer, Service: id.Service, Listen: *listen, Node: *node,
				Slots: *slots, MaxConnections: *connections, ServiceTime: *service, ColdStart: *cold,
			})
		}
	},
}

func runUpstream(ctx context.Context, c invocation, options fakeup.Options) (err error) {
	up := fakeup.New(options)
	if err = up.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "fake upstream listening on %s\n", up.Addr())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), fakeStopTimeout)
	defer cancel()
	return errors.Join(up.Drain(stopCtx), up.Stop(stopCtx))
}
