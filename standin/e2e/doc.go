// Package e2e holds the end-to-end tests, which run the mesh as real processes
// on loopback addresses. The time limits are the design targets: a version is in
// force everywhere within 4 s, and an availability zone that is out of service
// receives no new work after 5 s.
package e2e
