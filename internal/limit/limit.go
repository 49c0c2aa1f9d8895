// Package limit adapts the number of requests that an endpoint may run at once.
package limit
