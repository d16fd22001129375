// Package operator implements the HTTP API for operators: settings, status, endpoints, records of requests, health and
// metrics. All calls except the health and readiness checks require the operators' token.
package operator
