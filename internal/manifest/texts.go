package manifest

import (
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// ValidateTexts returns an error with code SettingsInvalid if a name, host, path prefix,
// key or region is one that a header, a log or another process cannot hold.
func (m *Manifest) ValidateTexts() error {
	for i := range m.Services {
		if err := identifier.CheckName(resultcode.SettingsInvalid, "service", m.Services[i].Name); err != nil {
			return err
		}
	}
	for i := range m.Routes {
		if err := m.Routes[i].validateTexts(); err != nil {
			return err
		}
	}
	for i := range m.Accounts {
		if err := m.Accounts[i].validateTexts(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validateTexts() error {
	for _, err := range []error{
		identifier.CheckOptionalName(resultcode.SettingsInvalid, "route", r.Name),
		identifier.CheckOptionalName(resultcode.SettingsInvalid, "host", r.Host),
		identifier.CheckText(resultcode.SettingsInvalid, "path prefix", r.PathPrefix),
	} {
		if err != nil {
			return err
		}
	}
	return validateRegions(r.Regions)
}

func (a *ClientAccount) validateTexts() error {
	if err := a.validateName(); err != nil {
		return err
	}
	for _, k := range a.Keys {
		if identifier.CheckText(resultcode.SettingsInvalid, "key", k) != nil {
			return invalidError("client account %q: a key must be 1 to %d bytes of UTF-8 without control characters", a.Name, identifier.MaxTextBytes)
		}
	}
	return validateRegions(a.Regions)
}

// validateName returns an error unless the account's name can be sent to targets.
func (a *ClientAccount) validateName() error {
	return identifier.CheckOptionalName(resultcode.SettingsInvalid, "client account", a.Name)
}

func validateRegions(regions []string) error {
	for _, region := range regions {
		if err := identifier.CheckName(resultcode.SettingsInvalid, "region", region); err != nil {
			return err
		}
	}
	return nil
}
