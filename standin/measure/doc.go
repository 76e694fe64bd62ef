// Package measure holds the measurements from which docs/CAPACITY.md is worked
// out.
//
// # Usage
//
//	go test -run NONE -bench Call -benchtime 5000x ./measure
package measure
