package sizing

import (
	"fmt"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// The names that generated settings use.
const (
	customerName = "customer"
	regionName   = "region"
	zoneName     = "zone"
	serviceName  = "service"
)

// servicesPerCustomer is how many services a generated customer has.
const servicesPerCustomer = 10

func customerOf(service int) mesh.Customer {
	return mesh.Customer(fmt.Sprintf("%s-%d", customerName, service/servicesPerCustomer))
}

func serviceOf(service int) mesh.ServiceID {
	return mesh.ServiceID{Customer: customerOf(service), Service: mesh.Service(fmt.Sprintf("%s-%d", serviceName, service))}
}

func regionOf(region int) mesh.Region {
	return mesh.Region(fmt.Sprintf("%s-%d", regionName, region))
}

// settingsPerService counts the settings that serviceEdits gives one service:
// three for its route, and two in each region.
func settingsPerService(regions int) int {
	return 3 + 2*regions
}

// serviceEdits gives one service its route and its settings in each region.
func serviceEdits(service, regions int) (edits []tree.Edit) {
	id := serviceOf(service)
	customer := tree.Join(id.Customer, "", "")
	route := fmt.Sprintf("routes.route%d.", service)
	edits = append(edits,
		tree.Edit{Path: customer, Key: tree.Key(route + "path"), Value: fmt.Sprintf("/%s", id.Service)},
		tree.Edit{Path: customer, Key: tree.Key(route + "service"), Value: string(id.Service)},
		tree.Edit{Path: customer, Key: tree.Key(route + "priority"), Value: "high"},
	)
	for r := range regions {
		path := tree.Join(id.Customer, regionOf(r), id.Service)
		edits = append(edits,
			tree.Edit{Path: path, Key: "limits.queue", Value: fmt.Sprint(100 + r)},
			tree.Edit{Path: path, Key: "timeout", Value: fmt.Sprintf("%ds", 2+r)},
		)
	}
	return edits
}

// editsPerChange makes one change of one customer: a node's budget of calls to
// the platform allows few new chunks in one change.
const editsPerChange = servicesPerCustomer * (3 + 2*fullRegions)

// changes returns the edits of many services, split into changes that one
// submission may carry.
func changes(services, regions int) (list [][]tree.Edit) {
	var edits []tree.Edit
	for s := range services {
		next := serviceEdits(s, regions)
		if len(edits)+len(next) > editsPerChange {
			list = append(list, edits)
			edits = nil
		}
		edits = append(edits, next...)
	}
	return append(list, edits)
}
