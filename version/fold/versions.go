package fold

import (
	"slices"

	"github.com/kingcuppitch/kingcuppitch/version/config"
)

// MaxWithdrawn is the number of withdrawn versions of an upstream that the state retains.
const MaxWithdrawn = 64

// Versions is what the moves of an upstream have decided about its versions.
type Versions struct {
	// Active is the target of the last move that was done; empty if none was.
	Active string `json:"active,omitempty"`
	// Since is the offset of the order of that move.
	Since int64 `json:"since,omitempty"`
	// Withdrawn lists the versions whose last move ended without being done, oldest
	// first. They receive no requests until they are ordered again.
	Withdrawn []string `json:"withdrawn,omitempty"`
}

// ActiveVersion returns the version that receives the traffic of an upstream outside of
// a move, or an empty string if its instances announce their versions and no move was
// done yet.
func (s *State) ActiveVersion(upstream string) string {
	if v := s.Versions[upstream].Active; v != "" {
		return v
	}
	u, _ := s.Config.Upstream(upstream)
	return u.Active
}

// IsWithdrawn reports whether the last move to a version was taken back or replaced, and
// the version has not been ordered again.
func (s *State) IsWithdrawn(upstream, version string) bool {
	return slices.Contains(s.Versions[upstream].Withdrawn, version)
}

// MergeVersions adds what is known of the moves of an upstream from elsewhere, such as
// moves that this state has not folded. The later one of two active versions counts.
func (s *State) MergeVersions(upstream string, v Versions) {
	if own := s.Versions[upstream]; v.Active != "" && (own.Active == "" || v.Since > own.Since) {
		s.activate(upstream, v.Active, v.Since)
	}
	for _, version := range v.Withdrawn {
		if m, running := s.Move(upstream); running && m.To == version || version == s.ActiveVersion(upstream) {
			continue
		}
		s.withdraw(upstream, version)
	}
}

// activate makes a version the active one of an announced upstream, as of the order at
// offset since, unless a later move was done.
func (s *State) activate(upstream, version string, since int64) {
	v := s.Versions[upstream]
	if v.Since > since {
		return
	}
	v.Active, v.Since = version, since
	s.setVersions(upstream, v)
	s.unwithdraw(upstream, version)
	s.setConfiguredVersion(upstream, version)
	s.Moves = slices.Clone(s.Moves)
	for i := range s.Moves {
		m := &s.Moves[i]
		if m.Upstream == upstream && m.OrderedAt() > since && (m.State == MoveRunning || m.InForce) {
			m.follow(version)
		}
	}
}

// follow makes the move start from the given active version. A move to that version is
// done at once.
func (m *Move) follow(active string) {
	m.From = active
	switch {
	case m.From == m.To:
		m.State, m.InForce, m.Reason = MoveDone, true, "the version was in force already"
	case m.InForce:
		m.State, m.InForce, m.Reason = MoveRunning, false, ""
	}
}

// setConfiguredVersion sets the active version in the configuration.
func (s *State) setConfiguredVersion(upstream, version string) {
	i := slices.IndexFunc(s.Config.Upstreams, func(u config.Upstream) bool { return u.Name == upstream })
	if i >= 0 {
		s.Config.Upstreams = slices.Clone(s.Config.Upstreams)
		s.Config.Upstreams[i].Active = version
	}
}

// withdraw excludes a version of an announced upstream until it is ordered again.
func (s *State) withdraw(upstream, version string) {
	if version == s.ActiveVersion(upstream) || s.IsWithdrawn(upstream, version) {
		return
	}
	v := s.Versions[upstream]
	v.Withdrawn = append(slices.Clone(v.Withdrawn), version)
	if n := len(v.Withdrawn) - MaxWithdrawn; n > 0 {
		v.Withdrawn = v.Withdrawn[n:]
	}
	s.setVersions(upstream, v)
}

func (s *State) unwithdraw(upstream, version string) {
	if !s.IsWithdrawn(upstream, version) {
		return
	}
	v := s.Versions[upstream]
	v.Withdrawn = slices.DeleteFunc(slices.Clone(v.Withdrawn), func(w string) bool { return w == version })
	s.setVersions(upstream, v)
}

func (s *State) setVersions(upstream string, v Versions) {
	if s.Versions == nil {
		s.Versions = make(map[string]Versions)
	}
	s.Versions[upstream] = v
}
