// Package ratecap enforces the rate caps of endpoints. An endpoint may state how many requests per second it accepts
// from all nodes together. A node learns the caps from the endpoints' answers and from other nodes, limits what it
// sends, and publishes the caps that it learns. A few nodes share each cap evenly; any other node asks one of them for
// a permit to send a request in its place. The decisions are made in package kernel (see kernel.CapView).
package ratecap
