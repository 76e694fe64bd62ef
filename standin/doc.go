// Package standin holds test doubles of the platform and its upstreams, a process
// launcher and the end-to-end tests. It is not part of a release.
package standin
