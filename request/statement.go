package request

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
)

const (
	// MinRateLimit is the least rate limit, in requests per second. Only an answer
	// shows that a limit has ended, so a limited instance gets some requests.
	MinRateLimit = 0.2
	// maxRateLimit is the largest rate limit, in requests per second; a larger one
	// does not bind either.
	maxRateLimit = 1e6
)

// Statement is what an upstream says about itself in the header of an answer.
type Statement struct {
	// RateLimit is the number of requests per second that the upstream takes from all
	// daemons together; zero means that it names no limit.
	RateLimit float64
	// Leaving means that the upstream is about to stop.
	Leaving bool
}

// Statement reads the statement in the header of an answer. A limit between zero and
// MinRateLimit counts as MinRateLimit. Of several limits the lowest counts. The error
// describes values that could not be read; the statement holds the others.
func (n Headers) Statement(h http.Header) (s Statement, err error) {
	var errs []error
	if n.RateLimit != "" {
		for _, text := range splitList(h.Values(n.RateLimit)) {
			limit, err := parseRateLimit(text)
			if err != nil {
				errs = append(errs, fmt.Errorf("header %s: %w", n.RateLimit, err))
			} else if s.RateLimit == 0 || limit < s.RateLimit {
				s.RateLimit = limit
			}
		}
	}
	if n.Leaving != "" {
		for _, text := range splitList(h.Values(n.Leaving)) {
			leaving, err := strconv.ParseBool(text)
			if err != nil {
				errs = append(errs, fmt.Errorf("header %s: %q is not 1 or 0", n.Leaving, text))
			}
			s.Leaving = s.Leaving || leaving
		}
	}
	return s, errors.Join(errs...)
}

// splitList returns the members of a list header.
func splitList(values []string) (list []string) {
	for _, v := range values {
		for text := range strings.SplitSeq(v, ",") {
			list = append(list, strings.TrimSpace(text))
		}
	}
	return list
}

func parseRateLimit(text string) (float64, error) {
	limit, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrRange) {
		err = nil // limit is infinite or zero
	}
	if err != nil || math.IsNaN(limit) || limit < 0 {
		return 0, fmt.Errorf("%q is not a number of requests per second", text)
	}
	return min(max(limit, MinRateLimit), maxRateLimit), nil
}
