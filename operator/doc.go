// Package operator speaks HTTP and JSON to operators: settings, status, endpoints, what
// happened to a request, health and metrics. Every call but health needs the token.
package operator
