// Package standin holds stand-ins for the platform and its upstreams, a
// launcher and the end-to-end tests. It does not ship.
package standin
