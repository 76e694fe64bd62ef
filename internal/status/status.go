// Package status tells which texts and numbers are the status of an answer. net/http
// accepts others: 000 and 600 to 999 over HTTP/1.1, and any integer over HTTP/2, such as
// 0200, which it takes for 200.
//
// # Usage
//
//	if !status.Is(text) {
//		return errMalformed
//	}
package status

import "net/http"

// last is the largest status.
const last = 599

// Digits is the number of digits of a status.
const Digits = 3

// Is reports whether text is a status: three digits from 100 to 599.
func Is(text string) bool {
	if len(text) != Digits {
		return false
	}
	n := 0
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return false
		}
		n = 10*n + int(c-'0')
	}
	return http.StatusContinue <= n && n <= last
}

// IsFinal reports whether a number is the status of an answer that ends a request.
func IsFinal(n int) bool { return http.StatusOK <= n && n <= last }
