// Package kingcuppitch distributes configuration in a service mesh and carries
// the calls that the configuration governs.
package kingcuppitch
