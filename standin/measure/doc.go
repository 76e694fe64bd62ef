// Package measure holds the measurements on which the figures in docs/CAPACITY.md
// are based.
//
// # Usage
//
//	go test -run NONE -bench Call -benchtime 5000x ./measure
package measure
