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
	Summary:   "runs a stand-in for a back end that announces itself to its host's node, for trials",
	Example:   "upstream trauerhaus/notices --node 127.0.0.1:8082",
	Prepare: func(flags *flag.FlagSet) action {
		node := addressFlag(flags, "node", "admin `ADDRESS` of the host's node", "127.0.0.1:8082")
		listen := addressFlag(flags, "listen", "`ADDRESS` to serve on", "127.0.0.1:0")
		slots := flags.Int("slots", fakeup.DefaultSlots, "requests that run at once")
		connections := flags.Int("connections", fakeup.DefaultMaxConnections, "open connections at most")
		service := flags.Duration("service-time", 5*time.Millisecond, "how long a request runs")
		cold := flags.Duration("cold-start", 0, "for how long it is slower at first")
		return func(ctx context.Context, c call) error {
			if len(c.args) != 1 {
				return invalid("want one CUSTOMER/SERVICE")
			}
			id, err := mesh.ParseServiceID(c.args[0])
			if err != nil {
				return &invalidError{err: err}
			}
			return runUpstream(ctx, c, fakeup.Options{
				Customer: id.Customer, Service: id.Service, Listen: *listen, Node: *node,
				Slots: *slots, MaxConnections: *connections, ServiceTime: *service, ColdStart: *cold,
			})
		}
	},
}

func runUpstream(ctx context.Context, c call, options fakeup.Options) (err error) {
	up := fakeup.New(options)
	if err = up.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "upstream stand-in on %s\n", up.Addr())
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), standInStop)
	defer cancel()
	return errors.Join(up.Drain(stopping), up.Stop(stopping))
}
