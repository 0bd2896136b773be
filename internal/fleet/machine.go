package fleet

import (
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// State is the replicated state after one log entry. It is immutable.
type State struct {
	// Index is the log index of the last change; 0 before the first one.
	Index uint64
	// ManifestVersion is the version of the manifest in force; 0 if none is.
	ManifestVersion uint64
	// compressedManifest is the manifest document as accepted, gzip-compressed.
	compressedManifest []byte
	// OutOfService lists the failure domains that get no new work, sorted.
	OutOfService []string
	// Versions lists the software versions that targets run, or ran until versionRetention
	// ago. A stream that nobody remembers may have begun at any version of its service.
	Versions []ServiceVersion
	// Quarantines lists what crashes targets, in the order of the last changes.
	Quarantines []QuarantineRecord
}

// Document decompresses and returns the manifest document as it was accepted.
func (s *State) Document() ([]byte, error) { return decompressDocument(s.compressedManifest) }

// Machine applies the replicated log to the State. The manifest version never
// decreases: a change that does not raise it has no effect.
type Machine struct {
	mu      sync.Mutex
	state   *State
	changed chan struct{}
}

var _ agreement.StateMachine = (*Machine)(nil)

// NewMachine returns a Machine with an empty State.
func NewMachine() *Machine {
	return &Machine{state: &State{}, changed: make(chan struct{})}
}

// State returns the current state and a channel that is closed when it changes.
func (m *Machine) State() (*State, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.changed
}

// Apply applies one committed command. The result is nil, or an error if the
// command cannot be decoded.
func (m *Machine) Apply(index uint64, command []byte) any {
	var change api.FleetChange
	if err := proto.Unmarshal(command, &change); err != nil {
		return resultcode.Newf(resultcode.MessageMalformed, "fleet change at %d: %v", index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := *m.state
	next.Index = index
	switch c := change.GetChange().(type) {
	case *api.FleetChange_Manifest:
		if c.Manifest.GetVersion() <= next.ManifestVersion {
			return nil
		}
		next.ManifestVersion, next.compressedManifest = c.Manifest.GetVersion(), c.Manifest.GetDocument()
	case *api.FleetChange_TakeOut:
		if slices.Contains(next.OutOfService, c.TakeOut) {
			return nil
		}
		next.OutOfService = append(slices.Clone(next.OutOfService), c.TakeOut)
		slices.Sort(next.OutOfService)
	case *api.FleetChange_TakeBack:
		if !slices.Contains(next.OutOfService, c.TakeBack) {
			return nil
		}
		next.OutOfService = slices.DeleteFunc(slices.Clone(next.OutOfService), func(d string) bool { return d == c.TakeBack })
	case *api.FleetChange_AddVersion:
		v := serviceVersionFromProto(c.AddVersion)
		if next.hasVersion(v) || len(next.Versions) >= maxVersions {
			return nil
		}
		next.Versions = append(slices.Clone(next.Versions), v)
	case *api.FleetChange_RemoveVersion:
		v := serviceVersionFromProto(c.RemoveVersion)
		if !next.hasVersion(v) {
			return nil
		}
		next.Versions = slices.DeleteFunc(slices.Clone(next.Versions), func(x ServiceVersion) bool { return x == v })
	case *api.FleetChange_PutQuarantine:
		if !next.putQuarantine(quarantineFromProto(c.PutQuarantine)) {
			return nil
		}
	case *api.FleetChange_RemoveQuarantine:
		if !next.removeQuarantine(quarantineFromProto(c.RemoveQuarantine)) {
			return nil
		}
	default:
		return nil
	}
	m.setState(&next)
	return nil
}

func (m *Machine) setState(s *State) {
	m.state = s
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot encodes the state, including the manifest document.
func (m *Machine) Snapshot() ([]byte, error) {
	s, _ := m.State()
	p := stateToProto(s)
	p.Manifest = s.compressedManifest
	return proto.MarshalOptions{Deterministic: true}.Marshal(p)
}

// Restore replaces the state by a decoded snapshot. It changes nothing if the
// snapshot cannot be decoded.
func (m *Machine) Restore(snapshot []byte) error {
	var p api.FleetState
	if err := proto.Unmarshal(snapshot, &p); err != nil {
		return resultcode.Newf(resultcode.LogCorrupt, "fleet snapshot: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setState(stateFromProto(&p))
	return nil
}

// stateToProto converts a state to its message and leaves out the manifest document.
func stateToProto(s *State) *api.FleetState {
	p := &api.FleetState{Index: s.Index, ManifestVersion: s.ManifestVersion, OutOfService: s.OutOfService}
	for _, v := range s.Versions {
		p.Versions = append(p.Versions, v.toProto())
	}
	for i := range s.Quarantines {
		p.Quarantines = append(p.Quarantines, quarantineToProto(&s.Quarantines[i]))
	}
	return p
}

func stateFromProto(p *api.FleetState) *State {
	s := &State{Index: p.GetIndex(), ManifestVersion: p.GetManifestVersion(), compressedManifest: p.GetManifest(), OutOfService: p.GetOutOfService()}
	for _, v := range p.GetVersions() {
		s.Versions = append(s.Versions, serviceVersionFromProto(v))
	}
	for _, q := range p.GetQuarantines() {
		s.Quarantines = append(s.Quarantines, quarantineFromProto(q))
	}
	return s
}

// ManifestChange returns the encoded command that puts a manifest in force.
func ManifestChange(version uint64, document []byte) ([]byte, error) {
	compressed, err := compressDocument(document)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&api.FleetChange{Change: &api.FleetChange_Manifest{
		Manifest: &api.FleetManifestChange{Version: version, Document: compressed},
	}})
}

// DomainChange returns the encoded command that takes a failure domain out of
// service or puts it back in service. It fails if no failure domain can have the name.
func DomainChange(domain string, inService bool) ([]byte, error) {
	if err := identifier.CheckName(resultcode.SettingsInvalid, "failure domain", domain); err != nil {
		return nil, err
	}
	if inService {
		return proto.Marshal(&api.FleetChange{Change: &api.FleetChange_TakeBack{TakeBack: domain}})
	}
	return proto.Marshal(&api.FleetChange{Change: &api.FleetChange_TakeOut{TakeOut: domain}})
}

var statesToProto = map[TargetState]api.FleetTargetState{
	Ready:    api.FleetTargetState_FLEET_TARGET_STATE_READY,
	Draining: api.FleetTargetState_FLEET_TARGET_STATE_DRAINING,
	Gone:     api.FleetTargetState_FLEET_TARGET_STATE_GONE,
	Silent:   api.FleetTargetState_FLEET_TARGET_STATE_SILENT,
}

var statesFromProto = func() map[api.FleetTargetState]TargetState {
	out := map[api.FleetTargetState]TargetState{}
	for s, p := range maps.All(statesToProto) {
		out[p] = s
	}
	return out
}()
