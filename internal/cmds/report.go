package cmds

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"text/tabwriter"

	"arbutusstep.example/arbutusstep/internal/client"
	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/burn"
)

var reportCommand = command{
	Name:     "report",
	Summary:  "reports on the mesh",
	Commands: []command{reportBurnCommand},
}

var reportBurnCommand = command{
	Name:    "burn",
	Summary: "prints how fast services use up their error budgets, the worst first",
	Example: "report burn --node 10.0.0.1:8082,10.0.0.2:8082 --output html",
	Prepare: func(flags *flag.FlagSet) runFunc {
		nodes := flags.String("node", defaultAdminAddress, "admin `ADDRESSES` of nodes, separated by commas, whose reports are merged")
		output := flags.String("output", outputText, "`FORMAT` of the output: text, json or html")
		return func(ctx context.Context, c invocation) (err error) {
			if err = rejectArguments(c); err != nil {
				return err
			}
			if err = checkOutput(*output, outputText, outputJSON, outputHTML); err != nil {
				return err
			}
			addresses, err := parseAddresses(*nodes)
			if err != nil {
				return err
			}
			return reportBurn(ctx, c, addresses, *output)
		}
	},
}

func parseAddresses(text string) (addresses []netip.AddrPort, err error) {
	for part := range strings.SplitSeq(text, ",") {
		address, errParse := netip.ParseAddrPort(strings.TrimSpace(part))
		if errParse != nil {
			return nil, newInputError("--node %q must be an IP address and port", part)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// reportBurn merges the reports of the nodes. It fails if a node does not
// respond, since the report would be incomplete.
func reportBurn(ctx context.Context, c invocation, addresses []netip.AddrPort, output string) (err error) {
	reports := make([]burn.Report, 0, len(addresses))
	for _, a := range addresses {
		node := &client.Client{Address: a}
		body, errRead := node.Burn(ctx)
		if errRead != nil {
			return describeError(errRead, nil)
		}
		report, errReport := body.Report()
		if errReport != nil {
			return errReport
		}
		reports = append(reports, report)
	}
	body := forms.FromBurn(burn.Merge(reports...))
	switch output {
	case outputJSON:
		return printJSON(c, body)
	case outputHTML:
		return burnPage.Execute(c.out, body)
	default:
		return writeBurn(c, body)
	}
}

func writeBurn(c invocation, body forms.Burn) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tPRIORITY\tOBJECTIVE\tATTAINED\tBUDGET LEFT\tBURN 5M\tBURN 1H\tREQUESTS 1H")
	for _, r := range body.Rows {
		_, _ = fmt.Fprintf(table, "%s/%s\t%s\t%g%% in %s\t%.3f%%\t%.1f%%\t%.2f\t%.2f\t%d\n",
			r.Customer, r.Service, r.Priority, r.Objective.Percent, r.Objective.Latency,
			r.Attainment, r.BudgetLeft, r.ShortBurnRate, r.LongBurnRate, r.LongWindow.Total)
	}
	_, _ = fmt.Fprintln(table, "\nPRIORITY\tP50\tP99")
	for _, l := range body.Latencies {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", l.Priority, l.P50, l.P99)
	}
	return table.Flush()
}
