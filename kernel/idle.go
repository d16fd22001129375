package kernel

const (
	// maxIdlePerNode is the maximum number of idle connections of one node to one endpoint.
	maxIdlePerNode = 8
	// maxIdleShare is the fraction of the connections that an endpoint accepts from all nodes together that may be idle.
	// The rest is for requests in flight.
	maxIdleShare = 0.75
)

// MaxIdleConnections returns how many idle connections each of several nodes may keep to an endpoint that accepts a
// limited number of connections from all of them together. 0 connections stands for no limit. A node that knows of no
// nodes yet, not even itself, keeps none.
func MaxIdleConnections(connections, nodes int) int {
	if connections <= 0 {
		return maxIdlePerNode
	}
	if nodes == 0 {
		return 0
	}
	return min(maxIdlePerNode, int(maxIdleShare*float64(connections))/nodes)
}
