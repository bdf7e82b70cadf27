package sizing

import (
	"fmt"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// The prefixes of the names in generated settings.
const (
	customerPrefix = "customer"
	regionPrefix   = "region"
	zonePrefix     = "zone"
	servicePrefix  = "service"
)

const servicesPerCustomer = 10

func customerOf(service int) mesh.Customer {
	return mesh.Customer(fmt.Sprintf("%s-%d", customerPrefix, service/servicesPerCustomer))
}

func serviceOf(service int) mesh.ServiceID {
	return mesh.ServiceID{Customer: customerOf(service), Service: mesh.Service(fmt.Sprintf("%s-%d", servicePrefix, service))}
}

func regionOf(region int) mesh.Region {
	return mesh.Region(fmt.Sprintf("%s-%d", regionPrefix, region))
}

// settingsPerService returns how many settings serviceEdits makes for a service:
// three for its route, and two in each region.
func settingsPerService(regions int) int {
	return 3 + 2*regions
}

// serviceEdits returns the edits for the route of a service and its settings in each
// region.
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

// maxEditsPerChange is the number of edits for one customer. A change must not create
// many chunks, as a node's rate of calls to the platform is limited.
const maxEditsPerChange = servicesPerCustomer * (3 + 2*plannedRegions)

// generateChanges returns the edits of all services, split into changes of at most
// maxEditsPerChange.
func generateChanges(services, regions int) (list [][]tree.Edit) {
	var edits []tree.Edit
	for s := range services {
		next := serviceEdits(s, regions)
		if len(edits)+len(next) > maxEditsPerChange {
			list = append(list, edits)
			edits = nil
		}
		edits = append(edits, next...)
	}
	return append(list, edits)
}
