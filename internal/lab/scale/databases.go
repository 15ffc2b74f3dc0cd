package scale

import (
	"fmt"

	"sedgestream/internal/standin"
)

// The stand-in databases are nodes in the zones of the target. Each group has a primary and replicas.
const (
	regions          = 2
	zonesPerRegion   = 4
	nodesPerGroup    = 5
	firstGroupNumber = 2
)

// NewDatabases starts stand-in nodes in this process, in groups that are spread over all zones.
func NewDatabases(t standin.TB, count int) []*standin.Node {
	var nodes []*standin.Node
	for n := range count {
		group, position := n/nodesPerGroup, n%nodesPerGroup
		role := "copy"
		if position == 0 {
			role = "source"
		}
		node := standin.NewNode(t, role)
		node.Group = firstGroupNumber + group
		node.Zone = zoneName(group + position)
		node.RejectReplicaWrites, node.SkipRecords = true, true
		nodes = append(nodes, node)
	}
	return nodes
}

// zoneName is the name of the n-th zone; consecutive zones are in different regions.
func zoneName(n int) string {
	zone := n % (regions * zonesPerRegion)
	return fmt.Sprintf("region%d-zone%d", zone%regions, zone/regions)
}
