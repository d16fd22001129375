package kernel

const (
	// maxIdlePerNode bounds the idle connections of one node to one endpoint.
	maxIdlePerNode = 8
	// idleShare is the share of the connections that an endpoint accepts of all nodes together which may be idle; the
	// rest is for requests under way.
	idleShare = 0.75
)

// MaxIdleConnections returns how many idle connections one of several nodes may keep to an endpoint that accepts so many of all of
// them together; 0 connections stand for no bound. While a node knows of no node, itself among them, it keeps none.
func MaxIdleConnections(connections, nodes int) int {
	if connections <= 0 {
		return maxIdlePerNode
	}
	if nodes == 0 {
		return 0
	}
	return min(maxIdlePerNode, int(idleShare*float64(connections))/nodes)
}
