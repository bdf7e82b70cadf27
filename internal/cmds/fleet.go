package cmds

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"arbutusstep.example/arbutusstep/internal/forms"
)

var fleetCommand = command{
	Name:    "fleet",
	Summary: "prints the availability zones and relays, as the relays report them",
	Example: "fleet",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newNodeFlags(flags)
		return func(ctx context.Context, c invocation) error { return showFleet(ctx, c, f) }
	},
}

func showFleet(ctx context.Context, c invocation, f nodeFlags) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if err = rejectArguments(c); err != nil {
		return err
	}
	body, err := f.client().Fleet(ctx)
	if err != nil {
		return describeError(err, nil)
	}
	return f.print(c, body, func() error { return writeFleet(c, body) })
}

func writeFleet(c invocation, body forms.Fleet) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "newest version reported: %d\n\n", body.Version)
	_, _ = fmt.Fprintln(table, "ZONE\tSTATE\tVERSION\tNODES\tBEHIND")
	for _, z := range body.Zones {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\n", z.Zone, z.State, z.Version, z.Nodes, z.Behind)
		for _, r := range z.Refusals {
			_, _ = fmt.Fprintf(table, "  %s refuses version %d: %s\n", r.Host, r.Version, r.Reason)
		}
	}
	_, _ = fmt.Fprintln(table, "\nRELAY\tREGION\tZONE\tSLOT\tADDRESS\tNODES")
	for _, r := range body.Relays {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\n", r.Host, r.Region, r.Zone, r.Slot, r.Node, r.Nodes)
	}
	return table.Flush()
}
