package manifest

// ValidateNew is Validate for what is required of a manifest that an operator sends, but not of
// one that is in force: an earlier version of the program may have accepted it.
func (m *Manifest) ValidateNew() error {
	if err := m.validateUnused(); err != nil {
		return err
	}
	if err := m.validateKeys(); err != nil {
		return err
	}
	return m.ValidateTexts()
}

// validateUnused returns an error if a route names an unknown service that it does not lead to.
func (m *Manifest) validateUnused() error {
	services := map[string]bool{}
	for _, s := range m.Services {
		services[s.Name] = true
	}
	for i := range m.Routes {
		for _, name := range m.Routes[i].Unused {
			if !services[name] {
				return invalidError("route %q: unknown service %q", m.Routes[i].Name, name)
			}
		}
	}
	return nil
}

// validateKeys returns an error if two client accounts share a key, also if they have the same
// name: which of them a caller with that key has would depend on their order.
func (m *Manifest) validateKeys() error {
	accountOf := map[string]int{}
	for i, a := range m.Accounts {
		for _, k := range a.Keys {
			if other, found := accountOf[k]; found && other != i {
				return invalidError("client accounts %q and %q share a key", m.Accounts[other].Name, a.Name)
			}
			accountOf[k] = i
		}
	}
	return nil
}
