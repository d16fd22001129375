// Package share divides the capacity of pools among customers.
package share
